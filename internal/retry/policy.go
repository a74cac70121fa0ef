package retry

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Actions after a failure.
const (
	ActionGiveUp   Action = iota // return Outcome and Kind to the caller at once
	ActionRetry                  // start another attempt after Backoff, on another backend server
	ActionResume                 // continue the same attempt on the same backend server over a new connection
	ActionReadBack               // fetch the response of the same attempt from its backend server; nothing runs again
)

// Defaults of a Policy's exported fields.
const (
	DefaultBudgetRatio     = 0.1
	DefaultBudgetPerSecond = 0.05
	DefaultBudgetBurst     = 5
	DefaultMaxAttempts     = 4
	DefaultMaxResumes      = 3
	DefaultBackoff         = 20 * time.Millisecond
	DefaultMaxBackoff      = time.Second
	DefaultRetryAfter      = 2 * time.Second
)

const (
	openVerdictBackoff  = 100 * time.Millisecond // minimum backoff while the verdict on the prompt is still open
	maxWorkspaceBudgets = 1024                   // number of workspaces above which idle budgets are dropped
	idleBudgetAge       = 10 * time.Minute       // time since its last refill after which a budget is idle
)

type (
	// Action says what follows a failure.
	Action uint8

	// Decision is the result of Policy.Decide.
	Decision struct {
		Action     Action
		Outcome    outcome.Outcome // with ActionGiveUp
		Kind       outcome.Kind    // with ActionGiveUp
		RetryAfter time.Duration   // time after which the caller may retry; 0 if a retry is of no use
		Backoff    time.Duration   // time to wait before a retry or resume
		RunApart   bool            // the next attempt must not share a backend server with other suspects
		MayHaveRun bool            // an attempt may have run; to be copied to the next Failure of the request
	}
)

// Policy decides what follows a failed attempt. It is safe for concurrent use.
type Policy struct {
	BudgetRatio     float64       // retries per request, per host and per workspace; 0 means DefaultBudgetRatio
	BudgetPerSecond float64       // further retries allowed per second; 0 means DefaultBudgetPerSecond
	BudgetBurst     float64       // maximum number of retries available at once; 0 means DefaultBudgetBurst
	MaxAttempts     uint32        // maximum number of attempts of one request; 0 means DefaultMaxAttempts
	MaxResumes      int           // maximum resumes of one attempt without new output; 0 means DefaultMaxResumes
	Backoff         time.Duration // backoff after the first attempt, then doubled each time; 0 means DefaultBackoff
	MaxBackoff      time.Duration // maximum backoff before jitter; 0 means DefaultMaxBackoff
	RetryAfter      time.Duration // returned to callers if the refusal names no time; 0 means DefaultRetryAfter
	Rand            *rand.Rand    // source of jitter; nil means no jitter

	mu               sync.Mutex
	hostBudget       budget
	workspaceBudgets map[string]*budget

	ignoreBudgets bool // set by tests that show what the budgets prevent
}

// RecordRequest records a new request of the workspace, which adds to the budgets of the host and of the workspace.
func (p *Policy) RecordRequest(now time.Time, workspace string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostBudget.addRequest(now, p)
	p.workspaceBudget(now, workspace).addRequest(now, p)
}

// RecordSuccess records that a request of the workspace got a complete response. It adds nothing to the budgets but the
// refill over time.
func (p *Policy) RecordSuccess(now time.Time, workspace string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostBudget.refill(now, p)
	p.workspaceBudget(now, workspace).refill(now, p)
}

// Decide returns what follows the failure f of a request of the workspace.
func (p *Policy) Decide(now time.Time, workspace string, f Failure) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.decide(now, workspace, &f)
	d.MayHaveRun = f.MayHaveRun || f.attemptMayHaveRun()
	if d.Action == ActionGiveUp {
		d.Outcome = finalOutcome(&f)
	}
	return d
}

func (p *Policy) decide(now time.Time, workspace string, f *Failure) Decision {
	switch {
	case f.Verdict == suspect.Quarantined || f.Kind == KindNoGrant && f.GrantRefusal == protocol.RefusalCrashing:
		return Decision{Kind: outcome.KindCrashesServer}
	case f.TimeLeft <= 0:
		return p.giveUp(f, outcome.KindDeadline)
	case f.Kind == KindRefused && f.EngineRefusal == engineapi.RefusalInvalid:
		return p.giveUp(f, outcome.KindBadRequest)
	case p.canResume(f):
		return p.resume(f)
	case !f.Idempotent && (f.Sent || f.MayHaveRun):
		return p.giveUp(f, giveUpKind(f))
	case f.Streaming && f.OutputTokens > 0:
		return p.giveUp(f, outcome.KindResponseIncomplete)
	case f.Kind == KindNoGrant:
		return p.decideNoGrant(f)
	case f.Attempt >= cmp.Or(p.MaxAttempts, DefaultMaxAttempts):
		return p.giveUp(f, giveUpKind(f))
	case f.attemptMayHaveRun() && !p.takeRetry(now, workspace):
		return p.giveUp(f, outcome.KindUnavailable)
	default:
		return p.retry(f)
	}
}

// finalOutcome returns the outcome to report after giving up. It claims no more than is known: NotRun only if no
// attempt can have run, Unknown if one may have run and the request is not idempotent, else Failed.
func finalOutcome(f *Failure) outcome.Outcome {
	switch {
	case !f.attemptMayHaveRun() && !f.MayHaveRun:
		return outcome.NotRun
	case f.Idempotent:
		return outcome.Failed
	default:
		return outcome.Unknown
	}
}

// giveUpKind returns the kind of error to report when the request is given up after its failure f.
func giveUpKind(f *Failure) outcome.Kind {
	switch {
	case f.Kind == KindRefused && f.EngineRefusal == engineapi.RefusalMemory:
		return outcome.KindOverloaded
	case !f.Idempotent && (f.attemptMayHaveRun() || f.MayHaveRun):
		return outcome.KindOutcomeUnknown
	case !f.attemptMayHaveRun():
		return outcome.KindUnavailable
	default:
		return outcome.KindResponseIncomplete
	}
}

// canResume reports whether the same attempt can continue at its current offset.
func (p *Policy) canResume(f *Failure) bool {
	if f.NoResume || !f.Sent || !f.ServerAlive || f.Resumes >= cmp.Or(p.MaxResumes, DefaultMaxResumes) {
		return false
	}
	return f.Kind == KindSilent || f.Kind == KindBroken || f.Kind == KindIncomplete
}

// resume returns the decision to resume the attempt or, if it is not idempotent and has no output yet, to read it back.
func (p *Policy) resume(f *Failure) Decision {
	action := ActionResume
	if !f.Idempotent && f.OutputTokens == 0 {
		action = ActionReadBack
	}
	var backoff time.Duration
	if f.Resumes > 0 {
		backoff = p.backoff(f.Resumes)
	}
	return Decision{Action: action, Backoff: backoff}
}

// decideNoGrant decides after a refusal by a scheduler. Such a refusal costs the backend servers no work, so a retry is
// not charged to the budgets.
func (p *Policy) decideNoGrant(f *Failure) Decision {
	switch f.GrantRefusal {
	case protocol.RefusalDeadline, protocol.RefusalBusy:
		return p.giveUp(f, outcome.KindOverloaded)
	case protocol.RefusalQuota:
		return p.giveUp(f, outcome.KindWorkspaceLimit)
	case protocol.RefusalMemory:
		return Decision{Kind: outcome.KindPromptTooLong}
	}
	if f.Attempt >= cmp.Or(p.MaxAttempts, DefaultMaxAttempts) {
		return p.giveUp(f, outcome.KindUnavailable)
	}
	return p.retry(f)
}

// retry returns the decision to start another attempt, or to give up if the backoff would reach the deadline.
func (p *Policy) retry(f *Failure) Decision {
	d := Decision{
		Action:   ActionRetry,
		Backoff:  p.backoff(int(f.Attempt)),
		RunApart: f.Verdict == suspect.Suspected || f.Verdict == suspect.Pending,
	}
	if f.Verdict == suspect.Pending {
		d.Backoff = max(d.Backoff, openVerdictBackoff)
	}
	if d.Backoff >= f.TimeLeft {
		return p.giveUp(f, outcome.KindDeadline)
	}
	return d
}

// giveUp returns the decision to give up. It sets RetryAfter if the caller may retry an error of this kind.
func (p *Policy) giveUp(f *Failure, kind outcome.Kind) Decision {
	d := Decision{Kind: kind}
	e := outcome.Error{Kind: kind}
	if e.Retryable() {
		d.RetryAfter = cmp.Or(f.RetryAfter, p.jitter(cmp.Or(p.RetryAfter, DefaultRetryAfter)))
	}
	return d
}

// takeRetry takes one retry from the budgets of the host and of the workspace. It takes none and returns false if
// either budget has less than one. If ignoreBudgets is set, it takes none and returns true.
func (p *Policy) takeRetry(now time.Time, workspace string) bool {
	w := p.workspaceBudget(now, workspace)
	p.hostBudget.refill(now, p)
	w.refill(now, p)
	if p.ignoreBudgets {
		return true
	}
	if p.hostBudget.available < 1 || w.available < 1 {
		return false
	}
	p.hostBudget.available--
	w.available--
	return true
}

// workspaceBudget returns the budget of a workspace and creates it if needed.
func (p *Policy) workspaceBudget(now time.Time, name string) *budget {
	if b := p.workspaceBudgets[name]; b != nil {
		return b
	}
	if p.workspaceBudgets == nil {
		p.workspaceBudgets = make(map[string]*budget)
	}
	if len(p.workspaceBudgets) >= maxWorkspaceBudgets {
		p.dropIdleBudgets(now)
	}
	b := new(budget)
	p.workspaceBudgets[name] = b
	return b
}

// dropIdleBudgets drops the budgets of workspaces whose last refill is more than idleBudgetAge ago.
func (p *Policy) dropIdleBudgets(now time.Time) {
	for name, b := range p.workspaceBudgets {
		if now.Sub(b.lastRefill) > idleBudgetAge {
			delete(p.workspaceBudgets, name)
		}
	}
}

// backoff returns the time to wait after the given number of attempts or resumes. It doubles with each of them up to a
// maximum and is spread by jitter.
func (p *Policy) backoff(attempts int) time.Duration {
	limit := cmp.Or(p.MaxBackoff, DefaultMaxBackoff)
	d := cmp.Or(p.Backoff, DefaultBackoff)
	for i := 1; i < attempts && d < limit; i++ {
		d *= 2
	}
	return p.jitter(min(d, limit))
}

// jitter returns a random duration between half of d and one and a half of d, or d itself if p.Rand is nil.
func (p *Policy) jitter(d time.Duration) time.Duration {
	if p.Rand == nil {
		return d
	}
	return d/2 + time.Duration(p.Rand.Int64N(int64(d)))
}

func (p *Policy) ratio() float64     { return cmp.Or(p.BudgetRatio, DefaultBudgetRatio) }
func (p *Policy) perSecond() float64 { return cmp.Or(p.BudgetPerSecond, DefaultBudgetPerSecond) }
func (p *Policy) burst() float64     { return cmp.Or(p.BudgetBurst, DefaultBudgetBurst) }
