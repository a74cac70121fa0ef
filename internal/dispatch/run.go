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

// verdictPollInterval is the time after which a verdict that is still open is checked again.
const verdictPollInterval = 100 * time.Millisecond

// run is the state of one prompt across its attempts.
type run struct {
	d            *Dispatcher
	job          *Job
	sink         Sink
	started      time.Time
	grantRequest protocol.GrantRequest

	attempt          uint32          // number of the current attempt, from 1
	excluded         []string        // backend servers that have failed this request
	mayHaveRun       bool            // an earlier attempt may have run
	runApart         bool            // the next attempt must not share a backend server with other suspects
	bufferedText     strings.Builder // output of the current attempt, unless the response is streamed
	outputTokens     int64           // number of tokens that the current attempt has received
	timeToFirstToken time.Duration   // time from the start of Run to the first token; 0 before it
}

// failedAttempt is the failure of an attempt and the decision on what follows.
type failedAttempt struct {
	failure  retry.Failure
	decision retry.Decision
}

// runAttempts runs attempts until one succeeds, the caller has disconnected or the retry policy gives up.
func (r *run) runAttempts(ctx context.Context) (Result, error) {
	for {
		r.attempt++
		r.grantRequest.ID.Attempt = r.attempt
		r.bufferedText.Reset()
		r.outputTokens = 0
		result, failed := r.runAttempt(ctx)
		if failed == nil {
			result.Attempts = r.attempt
			result.TimeToFirstToken = r.timeToFirstToken
			return result, nil
		}
		if callerDisconnected(ctx) {
			return Result{}, r.giveUpError(&retry.Decision{Kind: outcome.KindUnavailable, Outcome: outcome.Failed},
				"the caller has left")
		}
		if failed.decision.Action != retry.ActionRetry {
			return Result{}, r.giveUpError(&failed.decision, failureMessage(&failed.failure))
		}
		r.prepareRetry(ctx, failed)
	}
}

// prepareRetry applies the decision on the failed attempt to the next one and waits for the backoff.
func (r *run) prepareRetry(ctx context.Context, failed *failedAttempt) {
	r.d.Metrics.Tagged(map[string]string{"after": string(failed.failure.Kind)}).Counter("retries").Inc(1)
	r.mayHaveRun = failed.decision.MayHaveRun
	r.runApart = failed.decision.RunApart
	if failed.failure.Server != "" {
		r.excluded = append(r.excluded, failed.failure.Server)
	}
	wait.For(ctx, failed.decision.Backoff)
}

// runAttempt runs a single attempt, which may be resumed.
func (r *run) runAttempt(ctx context.Context) (Result, *failedAttempt) {
	verdict := r.awaitVerdict(ctx)
	if verdict == suspect.Quarantined || verdict == suspect.Pending {
		return Result{}, r.decide(retry.Failure{Kind: retry.KindNoGrant, GrantRefusal: protocol.RefusalSuspect})
	}
	r.runApart = r.runApart || verdict == suspect.Suspected
	if !fitsOneServer(r.d.Fleet.View(), r.grantRequest) {
		return r.runLong(ctx)
	}
	grant, failure := r.obtainGrant(ctx)
	if failure != nil {
		return Result{}, r.decide(*failure)
	}
	return r.execute(ctx, grant)
}

// verdict returns the current verdict on whether the prompt content may crash backend servers.
func (r *run) verdict() suspect.Verdict {
	return r.d.Suspects.Check(time.Now(), r.job.Workspace, r.grantRequest.Fingerprint)
}

// awaitVerdict waits while the cause of a crash in which the prompt may be involved is still being determined, and
// returns the verdict. If ctx ends before, the verdict is still suspect.Pending.
func (r *run) awaitVerdict(ctx context.Context) suspect.Verdict {
	for {
		verdict := r.verdict()
		if verdict != suspect.Pending || ctx.Err() != nil {
			return verdict
		}
		wait.For(ctx, verdictPollInterval)
	}
}

// decide adds the state of the request to the failure of an attempt and lets the retry policy decide what follows.
func (r *run) decide(f retry.Failure) *failedAttempt {
	now := time.Now()
	f.Attempt = r.attempt
	f.MayHaveRun = r.mayHaveRun
	f.Idempotent = true
	f.Streaming = r.job.Streaming
	f.TimeLeft = r.job.Deadline.Sub(now)
	f.Verdict = r.d.Suspects.Check(now, r.job.Workspace, r.grantRequest.Fingerprint)
	return &failedAttempt{failure: f, decision: r.d.Retry.Decide(now, r.job.Workspace, f)}
}

// giveUpError returns the error with which the request ends.
func (r *run) giveUpError(d *retry.Decision, message string) *outcome.Error {
	return &outcome.Error{Op: "run", Kind: d.Kind, Outcome: d.Outcome, Message: message, RetryAfter: d.RetryAfter}
}

// usedTokens returns the number of tokens charged to the workspace: the prompt and the output of the last attempt.
func (r *run) usedTokens() int64 { return r.job.PromptTokens + r.outputTokens }

// deliver passes a piece of output to the caller if the response is streamed, else it buffers the piece until the
// response is complete.
func (r *run) deliver(text string, tokens int64) error {
	if r.timeToFirstToken == 0 && tokens > 0 {
		r.timeToFirstToken = time.Since(r.started)
	}
	r.outputTokens += tokens
	if text == "" {
		return nil
	}
	if !r.job.Streaming {
		r.bufferedText.WriteString(text)
		return nil
	}
	return r.sink.Deliver(text)
}

// deliverBuffered passes a complete response to the caller if it was buffered.
func (r *run) deliverBuffered() error {
	if r.job.Streaming {
		return nil
	}
	return r.sink.Deliver(r.bufferedText.String())
}

// failureMessage returns the message to the caller about the failure of the last attempt.
func failureMessage(f *retry.Failure) string {
	text := "the last attempt failed: " + string(f.Kind)
	switch {
	case f.Verdict == suspect.Quarantined:
		text = crashingMessage
	case f.GrantRefusal != "":
		text = "no backend server could take the request: " + string(f.GrantRefusal)
	case f.EngineRefusal != "":
		text += " (" + f.EngineRefusal + ")"
	}
	return text
}
