package retry

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

var start = time.Unix(1000, 0)

// TestDecide checks the decision after each kind of failure.
func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		f       Failure
		action  Action
		outcome outcome.Outcome
		kind    outcome.Kind
	}{
		{"connection refused", Failure{Kind: KindConnectRefused, Idempotent: true}, ActionRetry, "", ""},
		{"crashed before output", Failure{Kind: KindCrashed, Sent: true, Idempotent: true}, ActionRetry, "", ""},
		{
			"crashed after output",
			Failure{Kind: KindCrashed, Sent: true, Idempotent: true, Streaming: true, OutputTokens: 3},
			ActionGiveUp, outcome.Failed, outcome.KindResponseIncomplete,
		},
		{
			"crashed with buffered output",
			Failure{Kind: KindCrashed, Sent: true, Idempotent: true, OutputTokens: 3},
			ActionRetry, "", "",
		},
		{
			"silent, but the server knows the attempt",
			Failure{Kind: KindSilent, Sent: true, Idempotent: true, Streaming: true, OutputTokens: 3, ServerAlive: true},
			ActionResume, "", "",
		},
		{
			"silent after the last resume",
			Failure{
				Kind: KindSilent, Sent: true, Idempotent: true, Streaming: true, OutputTokens: 3, ServerAlive: true, Resumes: 3,
			},
			ActionGiveUp, outcome.Failed, outcome.KindResponseIncomplete,
		},
		{
			"service that keeps no responses",
			Failure{Kind: KindBroken, Sent: true, Idempotent: true, ServerAlive: true, NoResume: true},
			ActionRetry, "", "",
		},
		{"non-idempotent, not sent", Failure{Kind: KindConnectRefused}, ActionRetry, "", ""},
		{
			"non-idempotent, sent to a service",
			Failure{Kind: KindBroken, Sent: true, NoResume: true},
			ActionGiveUp, outcome.Unknown, outcome.KindOutcomeUnknown,
		},
		{"non-idempotent, sent to an engine", Failure{Kind: KindBroken, Sent: true, ServerAlive: true}, ActionReadBack, "", ""},
		{
			"non-idempotent, refused by the engine",
			Failure{Kind: KindRefused, EngineRefusal: engineapi.RefusalBusy, Sent: true},
			ActionGiveUp, outcome.NotRun, outcome.KindUnavailable,
		},
		{
			"refused as invalid",
			Failure{Kind: KindRefused, EngineRefusal: engineapi.RefusalInvalid, Idempotent: true},
			ActionGiveUp, outcome.NotRun, outcome.KindBadRequest,
		},
		{
			"deadline passed",
			Failure{Kind: KindSilent, Sent: true, Idempotent: true, TimeLeft: -1},
			ActionGiveUp, outcome.Failed, outcome.KindDeadline,
		},
		{
			"no grant before the deadline",
			Failure{Kind: KindNoGrant, GrantRefusal: protocol.RefusalDeadline, Idempotent: true},
			ActionGiveUp, outcome.NotRun, outcome.KindOverloaded,
		},
		{
			"no grant after an attempt that may have run",
			Failure{Kind: KindNoGrant, GrantRefusal: protocol.RefusalBusy, Idempotent: true, MayHaveRun: true},
			ActionGiveUp, outcome.Failed, outcome.KindOverloaded,
		},
		{
			"server takes no new work",
			Failure{Kind: KindNoGrant, GrantRefusal: protocol.RefusalLeaving, Idempotent: true},
			ActionRetry, "", "",
		},
		{
			"prompt content quarantined",
			Failure{Kind: KindCrashed, Sent: true, Idempotent: true, Verdict: suspect.Quarantined},
			ActionGiveUp, outcome.Failed, outcome.KindCrashesServer,
		},
		{
			"refused by a scheduler as crashing",
			Failure{Kind: KindNoGrant, GrantRefusal: protocol.RefusalCrashing, Idempotent: true},
			ActionGiveUp, outcome.NotRun, outcome.KindCrashesServer,
		},
		{
			"last attempt",
			Failure{Kind: KindConnectRefused, Idempotent: true, Attempt: DefaultMaxAttempts},
			ActionGiveUp, outcome.NotRun, outcome.KindUnavailable,
		},
	}
	for _, tt := range tests {
		p := &Policy{}
		if tt.f.TimeLeft == 0 {
			tt.f.TimeLeft = time.Minute
		}
		d := p.Decide(start, "w", tt.f)
		if d.Action != tt.action || d.Outcome != tt.outcome || d.Kind != tt.kind {
			t.Errorf("%s: got %+v", tt.name, d)
		}
		if e := (&outcome.Error{Kind: d.Kind}); d.Action == ActionGiveUp && e.Retryable() != (d.RetryAfter > 0) {
			t.Errorf("%s: the error kind and RetryAfter %v disagree on whether to retry", tt.name, d.RetryAfter)
		}
	}
}

// TestBudgetIsPerWorkspace checks that a workspace that has used up its budget leaves the retries of others alone.
func TestBudgetIsPerWorkspace(t *testing.T) {
	p := &Policy{BudgetBurst: 2}
	f := Failure{Kind: KindCrashed, Sent: true, Idempotent: true, TimeLeft: time.Minute}
	for range 2 {
		p.RecordRequest(start, "a")
		if d := p.Decide(start, "a", f); d.Action != ActionRetry {
			t.Fatalf("within the budget: got %+v", d)
		}
	}
	if d := p.Decide(start, "a", f); d.Kind != outcome.KindUnavailable || d.Outcome != outcome.Failed || d.RetryAfter == 0 {
		t.Errorf("over the budget: got %+v", d)
	}
	later := start.Add(time.Minute)
	if d := p.Decide(later, "b", f); d.Action != ActionRetry {
		t.Errorf("another workspace: got %+v", d)
	}
}

// TestSuspectsRunAlone checks that the retry of a suspect must run apart from other suspects, and that the policy
// remembers that an attempt may have run.
func TestSuspectsRunAlone(t *testing.T) {
	f := Failure{Kind: KindCrashed, Sent: true, Idempotent: true, TimeLeft: time.Minute, Verdict: suspect.Suspected}
	if d := new(Policy).Decide(start, "w", f); !d.RunApart || !d.MayHaveRun {
		t.Errorf("got %+v", d)
	}
}

// TestDecisionsAllocateNothing checks that the policy allocates no memory for a workspace that it knows.
func TestDecisionsAllocateNothing(t *testing.T) {
	p := &Policy{BudgetBurst: 1e9}
	f := Failure{Kind: KindCrashed, Sent: true, Idempotent: true, TimeLeft: time.Minute}
	n := testing.AllocsPerRun(100, func() {
		p.RecordRequest(start, "w")
		p.Decide(start, "w", f)
		p.RecordSuccess(start, "w")
	})
	if n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkDecide(b *testing.B) {
	p := &Policy{BudgetBurst: 1e9}
	f := Failure{Kind: KindCrashed, Sent: true, Idempotent: true, TimeLeft: time.Minute}
	for b.Loop() {
		p.Decide(start, "w", f)
	}
}
