package relay

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

const (
	// How much later than predicted the first event of a stream may come before the server counts as silent.
	firstEventSlack = 1000 * time.Millisecond
	// Least silence limit between the events of a stream. It is also the extra wait of any call that is not retried.
	minStreamSilence = 1000 * time.Millisecond
	// Least silence limit of a non-streaming call that may be retried.
	minResponseSilence   = 500 * time.Millisecond
	responseTargetFactor = 5 // the limit otherwise is this multiple of the first-event target
)

// maxSilenceOf returns how long the server of a plan may be silent until the first event of a stream, or until the end of a
// response that is not a stream.
func maxSilenceOf(c *call.Call, plan *planner.Plan) time.Duration {
	if c.Stream {
		return plan.FirstEventTime + firstEventSlack
	}
	return max(responseTargetFactor*c.FirstTarget, minResponseSilence)
}

// onSilence is called when the server of attempt a has been silent too long; reachable says whether new connections to it
// can be made. It returns how much longer to wait for it, or 0 if the attempt is to end because a hedge has got further.
// Silence alone never ends an attempt, since the server may go on after it.
func (t *transfer) onSilence(a *attempt, reachable bool) time.Duration {
	switch {
	case t.hedgeAttempt != nil:
		return 0 // the parser of the head drops some errors and reads again
	case t.progress.retryMode == call.RetryNever:
		return minStreamSilence
	}
	if t.hedge != nil && t.hedge.overdue() && t.progress.mayRetryBesideTwo() {
		t.cancelHedge()
	}
	if t.hedge == nil {
		if reachable {
			if wait := t.relay.PlannerClient.ExtraWait(t.ctx, a.placement.ID); wait > 0 {
				return wait
			}
		}
		if !t.progress.mayRetryIfCurrentFails() || !t.takeRetry() {
			return minStreamSilence
		}
		t.startHedge(a)
		return hedgePollInterval
	}
	r, ok := t.hedge.poll()
	if !ok {
		return hedgePollInterval
	}
	t.takeHedgeResult(r)
	if t.hedgeAttempt != nil {
		return 0
	}
	return minStreamSilence
}
