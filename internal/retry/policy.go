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
	ActionGiveUp   Action = iota // tell the caller Outcome and Kind at once
	ActionRetry                  // start another attempt after Backoff, on another backend server
	ActionResume                 // continue the same attempt on the same backend server over a new connection
	ActionReadBack               // fetch the answer of the same attempt from its backend server; nothing runs again
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
	heldBackoff   = 100 * time.Millisecond // until a verdict that is still open is asked for again
	maxWorkspaces = 1024
	idleWorkspace = 10 * time.Minute
)

type (
	// Action is what follows a failure.
	Action uint8

	// Decision is the answer to a Failure.
	Decision struct {
		Action     Action
		Outcome    outcome.Outcome // with ActionGiveUp
		Kind       outcome.Kind    // with ActionGiveUp
		RetryAfter time.Duration   // when the caller may come back; 0 when repeating is of no use
		Backoff    time.Duration   // before a retry or resume
		Alone      bool            // the next attempt must run apart from other suspects
		MayHaveRun bool            // to be passed on in the next Failure of the request
	}
)

// Policy decides what follows a failed attempt; it is safe for concurrent use.
type Policy struct {
	BudgetRatio     float64 // retries per request, for the host and for each workspace; 0 means DefaultBudgetRatio
	BudgetPerSecond float64 // further retries a second; 0 means DefaultBudgetPerSecond
	BudgetBurst     float64 // most retries saved up; 0 means DefaultBudgetBurst
	MaxAttempts     uint32  // of one request; 0 means DefaultMaxAttempts
	MaxResumes      int     // of one attempt without new output; 0 means DefaultMaxResumes
	Backoff         time.Duration
	MaxBackoff      time.Duration
	RetryAfter      time.Duration // told to callers when nothing better is known; 0 means DefaultRetryAfter
	Rand            *rand.Rand    // for jitter; nil means none

	mu         sync.Mutex
	host       budget
	workspaces map[string]*budget

	unlimited bool // ignores the budgets; for tests that show what they are for
}

// Began records a new request, which adds to the budgets.
func (p *Policy) Began(now time.Time, workspace string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host.earn(now, p)
	p.workspace(now, workspace).earn(now, p)
}

// Succeeded records a whole answer.
func (p *Policy) Succeeded(now time.Time, workspace string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host.refill(now, p)
	p.workspace(now, workspace).refill(now, p)
}

// Decide says what follows the failure f of a request of the workspace.
func (p *Policy) Decide(now time.Time, workspace string, f Failure) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.decide(now, workspace, &f)
	d.MayHaveRun = f.MayHaveRun || f.ran()
	if d.Action == ActionGiveUp {
		d.Outcome = finalOutcome(&f)
	}
	return d
}

func (p *Policy) decide(now time.Time, workspace string, f *Failure) Decision {
	switch {
	case f.Verdict == suspect.Condemned || f.Kind == KindNoGrant && f.Grant == protocol.RefusalCrashing:
		return Decision{Kind: outcome.KindCrashing}
	case f.TimeLeft <= 0:
		return p.giveUp(f, outcome.KindDeadline)
	case f.Kind == KindRefused && f.Engine == engineapi.RefusalInvalid:
		return p.giveUp(f, outcome.KindBadRequest)
	case p.resumable(f):
		return p.resume(f)
	case !f.Idempotent && (f.Sent || f.MayHaveRun):
		return p.giveUp(f, lastKind(f))
	case f.Streaming && f.Delivered > 0:
		return p.giveUp(f, outcome.KindBroken)
	case f.Kind == KindNoGrant:
		return p.noGrant(f)
	case f.Attempt >= cmp.Or(p.MaxAttempts, DefaultMaxAttempts):
		return p.giveUp(f, lastKind(f))
	case f.ran() && !p.spend(now, workspace):
		return p.giveUp(f, outcome.KindUnavailable)
	default:
		return p.retry(f)
	}
}

// finalOutcome tells a caller no more than is known.
func finalOutcome(f *Failure) outcome.Outcome {
	switch {
	case !f.ran() && !f.MayHaveRun:
		return outcome.NotRun
	case f.Idempotent:
		return outcome.Failed
	default:
		return outcome.Unknown
	}
}

// lastKind names the reason for giving up on a request after its failure f.
func lastKind(f *Failure) outcome.Kind {
	switch {
	case f.Kind == KindRefused && f.Engine == engineapi.RefusalMemory:
		return outcome.KindOverloaded
	case !f.Idempotent && (f.ran() || f.MayHaveRun):
		return outcome.KindOutcomeUnknown
	case !f.ran():
		return outcome.KindUnavailable
	default:
		return outcome.KindBroken
	}
}

// resumable reports whether the same attempt can go on at its offset.
func (p *Policy) resumable(f *Failure) bool {
	if f.NoResume || !f.Sent || !f.ServerAlive || f.Resumes >= cmp.Or(p.MaxResumes, DefaultMaxResumes) {
		return false
	}
	return f.Kind == KindSilent || f.Kind == KindBroken || f.Kind == KindIncomplete
}

func (p *Policy) resume(f *Failure) Decision {
	action := ActionResume
	if !f.Idempotent && f.Delivered == 0 {
		action = ActionReadBack
	}
	var backoff time.Duration
	if f.Resumes > 0 {
		backoff = p.backoff(f.Resumes)
	}
	return Decision{Action: action, Backoff: backoff}
}

// noGrant decides after refusals by schedulers, which cost no work on backend servers.
func (p *Policy) noGrant(f *Failure) Decision {
	switch f.Grant {
	case protocol.RefusalDeadline, protocol.RefusalBusy:
		return p.giveUp(f, outcome.KindOverloaded)
	case protocol.RefusalQuota:
		return p.giveUp(f, outcome.KindQuota)
	case protocol.RefusalMemory:
		return Decision{Kind: outcome.KindTooLong}
	}
	if f.Attempt >= cmp.Or(p.MaxAttempts, DefaultMaxAttempts) {
		return p.giveUp(f, outcome.KindUnavailable)
	}
	return p.retry(f)
}

func (p *Policy) retry(f *Failure) Decision {
	d := Decision{
		Action:  ActionRetry,
		Backoff: p.backoff(int(f.Attempt)),
		Alone:   f.Verdict == suspect.Suspected || f.Verdict == suspect.Held,
	}
	if f.Verdict == suspect.Held {
		d.Backoff = max(d.Backoff, heldBackoff)
	}
	if d.Backoff >= f.TimeLeft {
		return p.giveUp(f, outcome.KindDeadline)
	}
	return d
}

func (p *Policy) giveUp(f *Failure, kind outcome.Kind) Decision {
	d := Decision{Kind: kind}
	e := outcome.Error{Kind: kind}
	if e.Retryable() {
		d.RetryAfter = cmp.Or(f.RetryAfter, p.spread(cmp.Or(p.RetryAfter, DefaultRetryAfter)))
	}
	return d
}

// spend takes one retry from both budgets if each has one.
func (p *Policy) spend(now time.Time, workspace string) bool {
	w := p.workspace(now, workspace)
	p.host.refill(now, p)
	w.refill(now, p)
	if p.unlimited {
		return true
	}
	if p.host.retries < 1 || w.retries < 1 {
		return false
	}
	p.host.retries--
	w.retries--
	return true
}

func (p *Policy) workspace(now time.Time, name string) *budget {
	if b := p.workspaces[name]; b != nil {
		return b
	}
	if p.workspaces == nil {
		p.workspaces = make(map[string]*budget)
	}
	if len(p.workspaces) >= maxWorkspaces {
		p.forgetIdle(now)
	}
	b := new(budget)
	p.workspaces[name] = b
	return b
}

func (p *Policy) forgetIdle(now time.Time) {
	for name, b := range p.workspaces {
		if now.Sub(b.updated) > idleWorkspace {
			delete(p.workspaces, name)
		}
	}
}

// backoff doubles with each try up to its maximum and is spread by jitter.
func (p *Policy) backoff(tries int) time.Duration {
	limit := cmp.Or(p.MaxBackoff, DefaultMaxBackoff)
	d := cmp.Or(p.Backoff, DefaultBackoff)
	for i := 1; i < tries && d < limit; i++ {
		d *= 2
	}
	return p.spread(min(d, limit))
}

// spread moves d by up to half of it.
func (p *Policy) spread(d time.Duration) time.Duration {
	if p.Rand == nil {
		return d
	}
	return d/2 + time.Duration(p.Rand.Int64N(int64(d)))
}

func (p *Policy) ratio() float64     { return cmp.Or(p.BudgetRatio, DefaultBudgetRatio) }
func (p *Policy) perSecond() float64 { return cmp.Or(p.BudgetPerSecond, DefaultBudgetPerSecond) }
func (p *Policy) burst() float64     { return cmp.Or(p.BudgetBurst, DefaultBudgetBurst) }
