package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// drawFailure draws the failure of an attempt, without the state of its request.
func drawFailure(rt *rapid.T) Failure {
	kinds := []Kind{
		KindNoGrant, KindConnectRefused, KindRefused, KindSilent, KindBroken, KindIncomplete, KindEngineError, KindCrashed,
	}
	f := Failure{
		Kind:        rapid.SampledFrom(kinds).Draw(rt, "kind"),
		NoResume:    rapid.Bool().Draw(rt, "no resume"),
		ServerAlive: rapid.Bool().Draw(rt, "alive"),
		Verdict: rapid.SampledFrom([]suspect.Verdict{suspect.Clear, suspect.Suspected, suspect.Pending}).Draw(rt,
			"verdict"),
	}
	switch f.Kind {
	case KindNoGrant:
		grants := []protocol.RefusalKind{protocol.RefusalBusy, protocol.RefusalLeaving, protocol.RefusalSuspect}
		f.GrantRefusal = rapid.SampledFrom(grants).Draw(rt, "grant")
	case KindConnectRefused:
	case KindRefused:
		f.Sent = true
		refusals := []string{engineapi.RefusalBusy, engineapi.RefusalLeaving, engineapi.RefusalInvalid}
		f.EngineRefusal = rapid.SampledFrom(refusals).Draw(rt, "engine")
	default:
		f.Sent = true
	}
	return f
}

// TestNoRequestRunsTwice follows requests through random failures. A request must not be retried once output has
// reached the caller or, if it is not idempotent, once an attempt may have run. The outcome must be NotRun exactly if
// no attempt may have run, and never Failed for a request that is not idempotent.
func TestNoRequestRunsTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &Policy{BudgetBurst: 100}
		idempotent, streaming := rapid.Bool().Draw(rt, "idempotent"), rapid.Bool().Draw(rt, "streaming")
		var delivered int64
		var reportedMayHaveRun, mayHaveRun bool
		attempt, resumes := uint32(1), 0
		for step := 0; ; step++ {
			f := drawFailure(rt)
			mayRun := f.Sent && f.Kind != KindRefused
			if streaming && mayRun {
				delivered += rapid.Int64Range(0, 2).Draw(rt, "tokens")
			}
			f.Idempotent, f.Streaming, f.OutputTokens = idempotent, streaming, delivered
			f.Attempt, f.Resumes, f.MayHaveRun, f.TimeLeft = attempt, resumes, reportedMayHaveRun, time.Minute
			d := p.Decide(start, "w", f)
			mayHaveRun = mayHaveRun || mayRun
			reportedMayHaveRun = d.MayHaveRun
			switch d.Action {
			case ActionRetry:
				if delivered > 0 || !idempotent && mayHaveRun {
					rt.Fatalf("retried a request that must not run again, after %+v", f)
				}
				attempt, resumes = attempt+1, 0
			case ActionGiveUp:
				if (d.Outcome == outcome.NotRun) == mayHaveRun || !idempotent && d.Outcome == outcome.Failed {
					rt.Fatalf("gave up with outcome %s after %+v", d.Outcome, f)
				}
				return
			default:
				resumes++
			}
			if step > 4*DefaultMaxAttempts {
				rt.Fatal("the request has not ended")
			}
		}
	})
}
