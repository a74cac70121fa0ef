package relay

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

// finishCompleted ends a call that attempt a has completed.
func (t *transfer) finishCompleted(a *attempt) {
	t.countAttempt(planner.OutcomeCompleted)
	t.recordTimings()
	t.relay.recordEnd(t.call, "completed", slog.String("replica", a.placement.Plan.Replica.ID),
		eventlog.Milliseconds("first_ms", t.firstEventDelay), eventlog.Milliseconds("gap_ms", t.longestPause),
		slog.Int("events", t.events.forwarded), slog.String("through", a.through()))
}

// finishRefused ends a call for which the planner has no server.
func (t *transfer) finishRefused(r *planner.Refusal) {
	t.closeHedge()
	t.relay.Metrics.Tagged(map[string]string{"cause": string(r.Cause), "prompt_length": promptLengthClass(t.call)}).
		Counter("refusals").Inc(1)
	t.relay.recordEnd(t.call, "refused", slog.String("cause", string(r.Cause)),
		eventlog.Milliseconds("retry_after_ms", r.RetryAfter), slog.Bool("ran", t.progress.mayHaveRun()),
		slog.Bool("cut", t.headWritten.Load()))
	t.finishIncomplete(http.StatusBadGateway, r.RetryAfter, string(r.Cause))
}

// finishFailed ends a call whose last attempt failed and that is not retried for the given limit: that of its attempts, or
// the retry budget.
func (t *transfer) finishFailed(o planner.Outcome, limit string) {
	t.closeHedge()
	t.relay.recordEnd(t.call, "failed", slog.String("cause", string(o)), slog.String("limit", limit), slog.Int("runs", t.progress.runs),
		slog.Int("refusals", t.progress.refused), slog.Int("unreachable", t.progress.unreachable), slog.Bool("cut", t.headWritten.Load()))
	t.finishIncomplete(http.StatusBadGateway, defaultRetryAfter, string(o))
}

// finishExpired ends a call whose context has ended. It panics with http.ErrAbortHandler if the caller has
// disconnected; otherwise the deadline has passed, or the host stops, and the caller gets a response.
func (t *transfer) finishExpired() {
	t.closeHedge()
	outcome := "timeout"
	disconnected := t.callerCtx.Err() != nil
	switch {
	case disconnected:
		outcome = "canceled"
	case errors.Is(t.ctx.Err(), context.Canceled):
		outcome = "stopped"
	}
	t.relay.recordEnd(t.call, outcome, slog.Bool("ran", t.progress.mayHaveRun()), slog.Int("events", t.events.forwarded),
		slog.Bool("cut", t.headWritten.Load() && !disconnected))
	if disconnected {
		panic(http.ErrAbortHandler)
	}
	t.finishIncomplete(http.StatusGatewayTimeout, defaultRetryAfter, outcome)
}

// finishIncomplete ends a call that was not completed. It aborts the connection if a response has begun, and otherwise
// forwards the error response of a server if there is one. Otherwise the caller gets the given status or, if the call
// has not run, a refusal with Retry-After.
func (t *transfer) finishIncomplete(status int, retryAfter time.Duration, cause string) {
	switch {
	case t.headWritten.Load():
		t.relay.Metrics.Tagged(map[string]string{"cause": cause}).Counter("responses_cut").Inc(1)
		panic(http.ErrAbortHandler)
	case t.serverFailure != nil:
		t.writeResponse(t.serverFailure)
	case t.progress.mayHaveRun():
		t.relay.Fail(t.writer, t.call.ID, status, cause)
	default:
		t.relay.Refuse(t.writer, t.call.ID, retryAfter, cause)
	}
}

// defaultRetryAfter is the Retry-After time of a call that servers refused, or that expired, before it ran.
const defaultRetryAfter = 300 * time.Millisecond
