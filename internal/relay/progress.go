package relay

import (
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

// maxRefusals is how often a call is offered to another server after one said that it didn't run it.
const maxRefusals = 4

// progress is what has become of a call so far. It decides what may follow and does no I/O.
type progress struct {
	repeat   call.Repeat
	attempts int // replicas that may run the call

	runs     int // sendings after which the call may have run
	refusals int // sendings after which it has not run
}

// note takes the outcome of one sending.
func (p *progress) note(o planner.Outcome) {
	switch o {
	case planner.OutcomeRefused, planner.OutcomeUnreachable:
		p.refusals++
	default:
		p.runs++
	}
}

// again tells whether the call may be sent once more after outcome o was noted.
func (p *progress) again(o planner.Outcome) bool {
	switch o {
	case planner.OutcomeRefused, planner.OutcomeUnreachable:
		return p.refusals <= maxRefusals && (p.runs == 0 || p.repeat != call.RepeatNever)
	case planner.OutcomeBroken, planner.OutcomeSilent, planner.OutcomeFailed:
		return p.repeat != call.RepeatNever && p.runs < p.attempts
	default:
		return false
	}
}

// mayRepeat tells whether the call may be sent once more if the sending under way ends without an answer.
func (p *progress) mayRepeat() bool {
	return p.repeat != call.RepeatNever && p.runs+1 < p.attempts
}

// ran tells whether the call may have run.
func (p *progress) ran() bool { return p.runs > 0 }
