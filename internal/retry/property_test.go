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

// drawFailure draws any failure of an attempt.
func drawFailure(rt *rapid.T) Failure {
	kinds := []Kind{
		KindNoGrant, KindConnectRefused, KindRefused, KindSilent, KindBroken, KindIncomplete, KindEngineError, KindCrashed,
	}
	f := Failure{
		Kind:        rapid.SampledFrom(kinds).Draw(rt, "kind"),
		NoResume:    rapid.Bool().Draw(rt, "no resume"),
		ServerAlive: rapid.Bool().Draw(rt, "alive"),
		Verdict:     rapid.SampledFrom([]suspect.Verdict{suspect.Clear, suspect.Suspected, suspect.Held}).Draw(rt, "verdict"),
	}
	switch f.Kind {
	case KindNoGrant:
		grants := []protocol.RefusalKind{protocol.RefusalBusy, protocol.RefusalLeaving, protocol.RefusalSuspect}
		f.Grant = rapid.SampledFrom(grants).Draw(rt, "grant")
	case KindConnectRefused:
	case KindRefused:
		f.Sent = true
		refusals := []string{engineapi.RefusalBusy, engineapi.RefusalLeaving, engineapi.RefusalInvalid}
		f.Engine = rapid.SampledFrom(refusals).Draw(rt, "engine")
	default:
		f.Sent = true
	}
	return f
}

// TestNoRequestRunsTwice follows requests through failures and checks what their callers are told.
func TestNoRequestRunsTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := &Policy{BudgetBurst: 100}
		idempotent, streaming := rapid.Bool().Draw(rt, "idempotent"), rapid.Bool().Draw(rt, "streaming")
		var delivered int64
		var carried, mayHaveRun bool
		attempt, resumes := uint32(1), 0
		for step := 0; ; step++ {
			f := drawFailure(rt)
			runs := f.Sent && f.Kind != KindRefused
			if streaming && runs {
				delivered += rapid.Int64Range(0, 2).Draw(rt, "tokens")
			}
			f.Idempotent, f.Streaming, f.Delivered = idempotent, streaming, delivered
			f.Attempt, f.Resumes, f.MayHaveRun, f.TimeLeft = attempt, resumes, carried, time.Minute
			d := p.Decide(start, "w", f)
			mayHaveRun = mayHaveRun || runs
			carried = d.MayHaveRun
			switch d.Action {
			case ActionRetry:
				if delivered > 0 || !idempotent && mayHaveRun {
					rt.Fatalf("ran again after %+v", f)
				}
				attempt, resumes = attempt+1, 0
			case ActionGiveUp:
				if (d.Outcome == outcome.NotRun) == mayHaveRun || !idempotent && d.Outcome == outcome.Failed {
					rt.Fatalf("told %s after %+v", d.Outcome, f)
				}
				return
			default:
				resumes++
			}
			if step > 4*DefaultMaxAttempts {
				rt.Fatal("no end")
			}
		}
	})
}
