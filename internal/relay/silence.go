package relay

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

const (
	// How much later than predicted the first event of a stream may come before the server counts as silent.
	firstEventSlack = 1000 * time.Millisecond
	// Lower limit of the silence in a stream after which the server counts as silent.
	minStreamSilence = 1000 * time.Millisecond
	// Lower limit of the silence before the response to a non-streaming call that may be retried.
	minResponseSilence   = 500 * time.Millisecond
	responseTargetFactor = 5 // multiple of the first-event target after which such a server counts as silent
)

// initialMaxSilence returns how long the server may be silent before the first bytes of its response. It returns 0, no
// limit, for a call that must not be repeated.
func (t *transfer) initialMaxSilence(plan *planner.Plan) time.Duration {
	switch {
	case t.call.RetryMode == call.RetryNever:
		return 0
	case t.call.Stream:
		return plan.FirstEventTime + firstEventSlack
	default:
		return max(responseTargetFactor*t.call.FirstTarget, minResponseSilence)
	}
}

// extraWait returns how much longer to wait for a server that has been silent too long. It returns 0 if the attempt is
// to end so that the call is sent to another server; the retry is then already taken from the budget. Silence alone
// doesn't end a call that can't be retried.
func (t *transfer) extraWait(placementID string) time.Duration {
	if wait := t.relay.Placer.ExtraWait(t.ctx, placementID); wait > 0 {
		return wait
	}
	if !t.progress.mayRetryIfCurrentFails() || !t.takeRetry() {
		return minStreamSilence
	}
	return 0
}
