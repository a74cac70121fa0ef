package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/retry"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
	"github.com/turmericshunt/turmericshunt/internal/wait"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const crashingMessage = "this prompt has crashed backend servers"

// A verdict that is held is asked for again after this time.
const verdictInterval = 100 * time.Millisecond

// One prompt on its way through its attempts.
type run struct {
	d     *Dispatcher
	job   *Job
	sink  Sink
	began time.Time
	ask   protocol.Ask

	attempt    uint32
	exclude    []string
	mayHaveRun bool
	alone      bool
	text       strings.Builder // of the current attempt, when the answer is not streamed
	output     int64           // tokens received by the current attempt
	firstToken time.Duration
}

// What follows a failed attempt.
type setback struct {
	failure  retry.Failure
	decision retry.Decision
}

func (r *run) loop(ctx context.Context) (Answer, error) {
	for {
		r.attempt++
		r.ask.ID.Attempt = r.attempt
		r.text.Reset()
		r.output = 0
		answer, back := r.try(ctx)
		if back == nil {
			answer.Attempts = r.attempt
			answer.FirstToken = r.firstToken
			return answer, nil
		}
		if callerLeft(ctx) {
			return Answer{}, r.giveUp(&retry.Decision{Kind: outcome.KindUnavailable, Outcome: outcome.Failed}, "the caller has left")
		}
		if back.decision.Action != retry.ActionRetry {
			return Answer{}, r.giveUp(&back.decision, describe(&back.failure))
		}
		r.prepareRetry(ctx, back)
	}
}

func (r *run) prepareRetry(ctx context.Context, back *setback) {
	r.d.Metrics.Tagged(map[string]string{"after": string(back.failure.Kind)}).Counter("retries").Inc(1)
	r.mayHaveRun = back.decision.MayHaveRun
	r.alone = back.decision.Alone
	if back.failure.Server != "" {
		r.exclude = append(r.exclude, back.failure.Server)
	}
	wait.For(ctx, back.decision.Backoff)
}

func (r *run) try(ctx context.Context) (Answer, *setback) {
	verdict := r.settledVerdict(ctx)
	if verdict == suspect.Condemned || verdict == suspect.Held {
		return Answer{}, r.setback(retry.Failure{Kind: retry.KindNoGrant, Grant: protocol.RefusalSuspect})
	}
	r.alone = r.alone || verdict == suspect.Suspected
	if !fitsOne(r.d.Fleet.View(), r.ask) {
		return r.runLong(ctx)
	}
	h, failure := r.obtain(ctx)
	if failure != nil {
		return Answer{}, r.setback(*failure)
	}
	return r.execute(ctx, h)
}

func (r *run) verdict() suspect.Verdict {
	return r.d.Suspects.Check(time.Now(), r.job.Workspace, r.ask.Fingerprint)
}

// Waits within the request's time while the cause of a crash that the prompt may have to do with is not settled.
func (r *run) settledVerdict(ctx context.Context) suspect.Verdict {
	for {
		verdict := r.verdict()
		if verdict != suspect.Held || ctx.Err() != nil {
			return verdict
		}
		wait.For(ctx, verdictInterval)
	}
}

// Completes what is known of a failure and decides what follows it.
func (r *run) setback(f retry.Failure) *setback {
	now := time.Now()
	f.Attempt = r.attempt
	f.MayHaveRun = r.mayHaveRun
	f.Idempotent = true
	f.Streaming = r.job.Streaming
	f.TimeLeft = r.job.Deadline.Sub(now)
	f.Verdict = r.d.Suspects.Check(now, r.job.Workspace, r.ask.Fingerprint)
	return &setback{failure: f, decision: r.d.Retry.Decide(now, r.job.Workspace, f)}
}

func (r *run) giveUp(d *retry.Decision, message string) *outcome.Error {
	return &outcome.Error{Op: "run", Kind: d.Kind, Outcome: d.Outcome, Message: message, RetryAfter: d.RetryAfter}
}

func (r *run) usedTokens() int64 { return r.job.PromptTokens + r.output }

// Passes a piece on to the caller, or keeps it until the answer is whole.
func (r *run) deliver(text string, tokens int64) error {
	if r.firstToken == 0 && tokens > 0 {
		r.firstToken = time.Since(r.began)
	}
	r.output += tokens
	if text == "" {
		return nil
	}
	if !r.job.Streaming {
		r.text.WriteString(text)
		return nil
	}
	return r.sink.Deliver(text)
}

// Hands over a whole answer that was kept.
func (r *run) complete() error {
	if r.job.Streaming {
		return nil
	}
	return r.sink.Deliver(r.text.String())
}

func describe(f *retry.Failure) string {
	text := "the last attempt failed: " + string(f.Kind)
	switch {
	case f.Verdict == suspect.Condemned:
		text = crashingMessage
	case f.Grant != "":
		text = "no backend server could take the request: " + string(f.Grant)
	case f.Engine != "":
		text += " (" + f.Engine + ")"
	}
	return text
}
