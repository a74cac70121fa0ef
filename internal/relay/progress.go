package relay

import (
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

// maxNotRun is the largest number of attempts that did not run a call, because the server refused it or couldn't be
// reached, after which the call is still sent to another server.
const maxNotRun = 4

// progress counts the attempts of a call and decides whether the call may be retried. It does no I/O.
type progress struct {
	retryMode call.RetryMode
	maxRuns   int // limit of attempts that may have run the call, each at another replica

	runs   int // attempts that may have run the call
	notRun int // attempts that did not run the call: refused or unreachable
}

// record counts the outcome of one attempt.
func (p *progress) record(o planner.Outcome) {
	switch o {
	case planner.OutcomeRefused, planner.OutcomeUnreachable:
		p.notRun++
	default:
		p.runs++
	}
}

// mayRetry reports whether the call may be sent once more. o is the outcome that was recorded last.
func (p *progress) mayRetry(o planner.Outcome) bool {
	switch o {
	case planner.OutcomeRefused, planner.OutcomeUnreachable:
		return p.notRun <= maxNotRun && (p.runs == 0 || p.retryMode != call.RetryNever)
	case planner.OutcomeBroken, planner.OutcomeSilent, planner.OutcomeFailed:
		return p.retryMode != call.RetryNever && p.runs < p.maxRuns
	default:
		return false
	}
}

// mayRetryIfCurrentFails reports whether the call may be sent once more if the attempt in progress ends without a
// response.
func (p *progress) mayRetryIfCurrentFails() bool {
	return p.retryMode != call.RetryNever && p.runs+1 < p.maxRuns && p.notRun <= maxNotRun
}

// mayRetryBesideTwo reports whether the call may be sent once more while the attempt in progress and another one have no
// response.
func (p *progress) mayRetryBesideTwo() bool {
	return p.retryMode != call.RetryNever && p.runs+2 < p.maxRuns && p.notRun <= maxNotRun
}

// mayHaveRun reports whether a server may have run the call.
func (p *progress) mayHaveRun() bool { return p.runs > 0 }
