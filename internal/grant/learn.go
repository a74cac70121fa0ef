package grant

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

const (
	// Weight of a new observation in the moving averages.
	averageWeight = 0.05

	// Range of the averages.
	minPrefillRatio = 0.1
	maxPrefillRatio = 10.0
	minOutputRatio  = 0.05

	// Shortest predicted and measured prefill that is used to update the average.
	minObservedTime = 10 * time.Millisecond

	// Quantile that outputRatioHigh estimates, and the step by which an observation moves the estimate.
	outputQuantile     = 0.97
	outputQuantileStep = 0.02
)

// modelStats are running averages of what was measured with a model on this backend server.
type modelStats struct {
	prefillRatio    float64 // measured prefill rate divided by the one that the engine reports
	outputRatio     float64 // output tokens divided by the requested ones, on average
	outputRatioHigh float64 // the same ratio at outputQuantile: that share of the responses stays below it
	tokenGap        float64 // seconds between output tokens; 0 before the first measured response
}

// statsOf returns the stats of a model, or of the first loaded one if the name is empty.
func (s *Scheduler) statsOf(model string) *modelStats {
	if model == "" && len(s.load.Models) > 0 {
		model = s.load.Models[0]
	}
	st, ok := s.stats[model]
	if !ok {
		st = &modelStats{prefillRatio: 1, outputRatio: 1, outputRatioHigh: 1}
		s.stats[model] = st
	}
	return st
}

// observePrefill updates the prefill ratio from the measured and the predicted time to the first token.
func (s *Scheduler) observePrefill(now time.Time, r *reservation) {
	if r.req.Bytes > 0 {
		return // a prefill part of a split prompt, which waits for the parts before it
	}
	expected := r.prefillEnd
	if r.prefillLeft > 0 {
		expected = now.Add(seconds(r.prefillLeft / s.prefillRate(r.req.Model)))
	}
	predicted, actual := expected.Sub(r.granted), now.Sub(r.granted)
	if predicted < minObservedTime || actual < minObservedTime {
		return
	}
	st := s.statsOf(r.req.Model)
	sample := st.prefillRatio * predicted.Seconds() / actual.Seconds()
	st.prefillRatio = min(max(st.prefillRatio+averageWeight*(sample-st.prefillRatio), minPrefillRatio), maxPrefillRatio)
}

// observeFinish updates the stats from the length of a response and the time between its tokens. It ignores attempts
// whose backend server crashed and responses of fewer than two tokens.
func (s *Scheduler) observeFinish(now time.Time, r *reservation, fin protocol.GrantRelease) {
	if fin.Crashed || fin.OutputTokens < 2 || r.req.OutputTokens <= 0 {
		return
	}
	st := s.statsOf(r.req.Model)
	sample := float64(fin.OutputTokens) / float64(r.req.OutputTokens)
	st.outputRatio = min(max(st.outputRatio+averageWeight*(sample-st.outputRatio), minOutputRatio), 1)
	if sample > st.outputRatioHigh {
		st.outputRatioHigh = min(st.outputRatioHigh+outputQuantileStep*outputQuantile, 1)
	} else {
		st.outputRatioHigh = max(st.outputRatioHigh-outputQuantileStep*(1-outputQuantile), minOutputRatio)
	}
	if r.firstToken.IsZero() {
		return
	}
	gap := now.Sub(r.firstToken).Seconds() / float64(fin.OutputTokens-1)
	if st.tokenGap == 0 {
		st.tokenGap = gap
	}
	st.tokenGap += averageWeight * (gap - st.tokenGap)
}
