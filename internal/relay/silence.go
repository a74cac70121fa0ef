package relay

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

const (
	// How much later than predicted the first event may come before its server is taken as silent.
	firstSlack = 1000 * time.Millisecond
	// The shortest silence in a stream after which its server is taken as silent.
	minGap = 1000 * time.Millisecond
	// The shortest silence before the answer to a plain call that may run again.
	minPlainSilence = 500 * time.Millisecond
	plainAims       = 5 // silence before such an answer, in aims
)

// silence returns how long nothing may come before the answer's first bytes.
func (t *transfer) silence(plan *planner.Plan) time.Duration {
	switch {
	case t.call.Repeat == call.RepeatNever:
		return 0
	case t.call.Stream:
		return plan.First + firstSlack
	default:
		return max(plainAims*t.call.FirstAim, minPlainSilence)
	}
}

// patience returns how much longer to wait after a silence; 0 means that the call is sent to another server. Silence alone
// doesn't end a call that can't be sent again.
func (t *transfer) patience(id string) time.Duration {
	if wait := t.relay.Desk.Patience(t.ctx, id); wait > 0 {
		return wait
	}
	if !t.progress.mayRepeat() || !t.pay() {
		return minGap
	}
	return 0
}
