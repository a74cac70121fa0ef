package grant

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/queue"
)

// Longest short prompt and longest medium prompt, in tokens.
const (
	shortMaxTokens  = 4_000
	mediumMaxTokens = 32_000
)

// Priority by prompt length within an urgency class. A shorter prompt has a higher priority.
const (
	shortPriority       = 3
	mediumPriority      = 2
	aboveMediumPriority = 1
	longPriority        = 0
)

// advancePrefill updates the predicted prefill progress of the granted prompts to now. The engine is assumed to
// prefill one prompt after the other, the highest priority first.
func (s *Scheduler) advancePrefill(now time.Time) {
	elapsed := now.Sub(s.progressTime).Seconds()
	if elapsed <= 0 {
		return
	}
	at := s.progressTime
	s.progressTime = now
	for _, r := range s.pendingPrefills() {
		rate := s.prefillRate(r.req.Model)
		need := r.prefillLeft / rate
		if need > elapsed {
			r.prefillLeft -= elapsed * rate
			return
		}
		r.prefillLeft = 0
		elapsed -= need
		at = at.Add(seconds(need))
		r.prefillEnd = at
	}
}

// pendingPrefills returns the reservations whose prompts the engine still has to prefill, in the order in which it
// prefills them.
func (s *Scheduler) pendingPrefills() []*reservation {
	var list []*reservation
	for _, r := range s.reservations {
		if r.prefilling && r.prefillLeft > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *reservation) int {
		return cmp.Or(cmp.Compare(b.grant.Priority, a.grant.Priority), cmp.Compare(a.number, b.number))
	})
	return list
}

// priority returns the priority by which the engine orders prefills, raised by the aging of the request.
func (s *Scheduler) priority(now time.Time, w *waiter) int {
	return s.queueItem(w).AgedPriority(now)
}

// basePriority returns the priority of a request before aging: by urgency class, then by prompt length.
func (s *Scheduler) basePriority(req protocol.GrantRequest) int {
	p := (int(protocol.ClassBatch) - int(min(req.Class, protocol.ClassBatch))) * queue.ClassStep
	switch tokens := req.PromptTokens; {
	case tokens <= shortMaxTokens:
		return p + shortPriority
	case tokens <= mediumMaxTokens:
		return p + mediumPriority
	case !s.isLong(tokens):
		return p + aboveMediumPriority
	default:
		return p + longPriority
	}
}

// isLong reports whether a prompt of that many tokens is long.
func (s *Scheduler) isLong(tokens int64) bool {
	if s.LongTokens > 0 {
		return tokens > s.LongTokens
	}
	return tokens > s.Objective.LongTokens()
}

// prefillAhead returns the predicted time that the engine spends on the prefill of granted prompts before it starts a
// new one of the given priority.
func (s *Scheduler) prefillAhead(priority int) time.Duration {
	var wait time.Duration
	for _, r := range s.reservations {
		if r.prefilling && r.prefillLeft > 0 && r.grant.Priority >= priority {
			wait += seconds(r.prefillLeft / s.prefillRate(r.req.Model))
		}
	}
	return wait
}

// predictedWait returns the predicted time until a new request could start. Before the first load report it is the
// rest of the time in which that report is awaited.
func (s *Scheduler) predictedWait(now time.Time, w *waiter) time.Duration {
	if s.reported.IsZero() {
		return max(s.started.Add(orDefault(s.FirstReportTimeout, DefaultFirstReportTimeout)).Sub(now), 0)
	}
	return s.predictedWaitAt(now, w, s.queueItem(w))
}

// predictedWaitAt returns the predicted time until a request could start that has the queue position of it.
func (s *Scheduler) predictedWaitAt(now time.Time, w *waiter, it queue.Item) time.Duration {
	estimate := s.waitEstimate(now)
	s.queue.EachBefore(now, it, func(other queue.Item) { estimate.add(s.waiting[other.ID]) })
	return estimate.wait(now, w)
}

// waitEstimate predicts the waits of requests that start one after the other: add appends a request, and wait returns
// the wait of the next one.
type waitEstimate struct {
	s              *Scheduler
	window         backfillWindow
	freeBytes      int64         // memory left after the added requests that fit
	fittingPrefill time.Duration // prefill time of the added requests that fit into memory
	totalPrefill   time.Duration // prefill time of all added requests
}

// waitEstimate returns an estimate with no added requests.
func (s *Scheduler) waitEstimate(now time.Time) *waitEstimate {
	return &waitEstimate{s: s, window: s.backfillWindow(now), freeBytes: s.load.MemoryBytes - s.usedBytes()}
}

// add appends a request that starts before those that follow.
func (e *waitEstimate) add(w *waiter) {
	prefill := e.s.prefillTime(w.req)
	e.totalPrefill += prefill
	if w.bytes <= e.freeBytes {
		e.freeBytes -= w.bytes
		e.fittingPrefill += prefill
	}
}

// wait returns the predicted time until a request could start after those that were added. Added requests that wait for
// memory don't delay one that fits. It returns 0 before the first load report.
func (e *waitEstimate) wait(now time.Time, w *waiter) time.Duration {
	if e.s.reported.IsZero() {
		return 0
	}
	prefillBefore := e.fittingPrefill
	if w.bytes > e.freeBytes {
		prefillBefore = e.totalPrefill
	}
	ahead := e.s.prefillAhead(e.s.priority(now, w)) + prefillBefore
	return max(e.s.extendByDemand(w.req, ahead), e.s.predictedFitWait(now, w, e.window))
}

// extendByDemand returns the wait of a request, extended for a prompt longer than mediumMaxTokens by the prefill of
// shorter prompts that are expected to arrive during the wait and to go first.
func (s *Scheduler) extendByDemand(req protocol.GrantRequest, wait time.Duration) time.Duration {
	if s.basePriority(req)%queue.AgedStep >= mediumPriority {
		return wait
	}
	return seconds(wait.Seconds() / (1 - min(s.demand.grantedUpToMedium/s.prefillRate(req.Model), maxDemandShare)))
}

// maxDemandShare limits the share of the prefill rate that prompts of higher priority are expected to use.
const maxDemandShare = 0.8

// predictedEnd returns the predicted end of a grant, at the latest its expiry. A grant that has already run longer than
// predicted is expected to run for another quarter of the time since it was made.
func (s *Scheduler) predictedEnd(now time.Time, r *reservation) time.Time {
	firstToken := now
	switch {
	case r.req.Bytes > 0:
		// The other replicas of a split prompt prefill their parts before or after this one.
		firstToken = r.granted.Add(assumedParts * s.prefillTime(r.req))
	case r.prefilling:
		firstToken = now.Add(seconds(r.prefillLeft / s.prefillRate(r.req.Model)))
	case r.prefillEnd.After(r.granted):
		firstToken = r.prefillEnd
	}
	end := firstToken.Add(s.decodeTime(r.req))
	if end.Before(now) {
		end = now.Add(now.Sub(r.granted) / 4)
	}
	if end.After(r.expires) {
		return r.expires
	}
	return end
}

// assumedParts is the number of prefill parts of a split prompt during which each replica is expected to hold its
// memory.
const assumedParts = 3

// prefillTime returns the predicted time that the engine spends on the prefill of the prompt tokens that are not
// cached.
func (s *Scheduler) prefillTime(req protocol.GrantRequest) time.Duration {
	return seconds(float64(max(req.PromptTokens-s.cachedTokens(req), 0)) / s.prefillRate(req.Model))
}

// decodeTime returns the predicted time from the first output token to the last.
func (s *Scheduler) decodeTime(req protocol.GrantRequest) time.Duration {
	st := s.statsOf(req.Model)
	return seconds(float64(req.OutputTokens) * st.outputRatio * s.tokenGap(st))
}

// tokenGap returns the expected time between output tokens, in seconds: the measured one, else the one that the engine
// has reported, else an assumed one.
func (s *Scheduler) tokenGap(st *modelStats) float64 {
	switch {
	case st.tokenGap > 0:
		return st.tokenGap
	case s.load.DecodePerSecond > 0:
		return 1 / s.load.DecodePerSecond
	}
	return 1 / assumedDecode
}

// serviceTime returns the time from start to the last output token that nearly all requests of this kind stay within.
// It returns 0 before the engine's first load report, so that no request is refused because of an assumed rate.
func (s *Scheduler) serviceTime(req protocol.GrantRequest) time.Duration {
	if s.reported.IsZero() {
		return 0
	}
	st := s.statsOf(req.Model)
	return s.prefillTime(req) + seconds(float64(req.OutputTokens)*st.outputRatioHigh*s.tokenGap(st))
}

// prefillRate returns the predicted prefill rate in tokens per second.
func (s *Scheduler) prefillRate(model string) float64 {
	rate := s.load.PrefillPerSecond
	if rate <= 0 {
		rate = assumedPrefill
	}
	return rate * s.statsOf(model).prefillRatio
}

// seconds converts a number of seconds to a Duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
