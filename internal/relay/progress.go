package relay

import (
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

const (
	// The largest number of servers that have refused a call after which it is still sent to another one.
	maxRefused = 4
	// The same for servers that couldn't be reached, to which the call was not sent.
	maxUnreachable = 8
)

// progress counts the attempts of a call and decides whether the call may be retried. It does no I/O.
type progress struct {
	retryMode call.RetryMode
	maxRuns   int // limit of attempts that may have run the call, each at another replica

	runs        int // attempts that may have run the call
	refused     int // attempts that a server has refused
	unreachable int // attempts whose server couldn't be reached
}

// record counts the outcome of one attempt.
func (p *progress) record(o planner.Outcome) {
	switch o {
	case planner.OutcomeRefused:
		p.refused++
	case planner.OutcomeUnreachable:
		p.unreachable++
	default:
		p.runs++
	}
}

// mayRetry reports whether the call may be sent once more. o is the outcome that was recorded last.
func (p *progress) mayRetry(o planner.Outcome) bool {
	switch o {
	case planner.OutcomeRefused, planner.OutcomeUnreachable:
		return p.mayBeRefused() && (p.runs == 0 || p.retryMode != call.RetryNever)
	case planner.OutcomeBroken, planner.OutcomeSilent, planner.OutcomeFailed:
		return p.retryMode != call.RetryNever && p.runs < p.maxRuns
	default:
		return false
	}
}

// mayBeRefused reports whether the call may be sent to another server after those that did not run it.
func (p *progress) mayBeRefused() bool {
	return p.refused <= maxRefused && p.unreachable <= maxUnreachable
}

// mayRetryIfCurrentFails reports whether the call may be sent once more if the attempt in progress ends without a
// response.
func (p *progress) mayRetryIfCurrentFails() bool {
	return p.retryMode != call.RetryNever && p.runs+1 < p.maxRuns && p.mayBeRefused()
}

// mayRetryBesideTwo reports whether the call may be sent once more while the attempt in progress and another one have no
// response.
func (p *progress) mayRetryBesideTwo() bool {
	return p.retryMode != call.RetryNever && p.runs+2 < p.maxRuns && p.mayBeRefused()
}

// mayHaveRun reports whether a server may have run the call.
func (p *progress) mayHaveRun() bool { return p.runs > 0 }
