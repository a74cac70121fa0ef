package relay

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

// refused answers a call for which the planner has no server.
func (t *transfer) refused(r *planner.Refusal) {
	t.relay.Meters.Tagged(map[string]string{"cause": string(r.Cause)}).Counter("refusals").Inc(1)
	t.relay.end(t.call, "refused", slog.String("cause", string(r.Cause)),
		eventlog.Milliseconds("retry_after_ms", r.RetryAfter), slog.Bool("ran", t.progress.ran()))
	t.finish(http.StatusBadGateway, r.RetryAfter, string(r.Cause))
}

// fail answers a call that is not sent again.
func (t *transfer) fail(o planner.Outcome) {
	t.relay.end(t.call, "failed", slog.String("cause", string(o)), slog.Int("runs", t.progress.runs),
		slog.Int("refusals", t.progress.refusals))
	t.finish(http.StatusBadGateway, refusedRetry, string(o))
}

// giveUp answers a call whose deadline has passed, or ends one whose caller has left.
func (t *transfer) giveUp() {
	outcome := "timeout"
	left := t.client.Err() != nil
	if left {
		outcome = "canceled"
	}
	t.relay.end(t.call, outcome, slog.Bool("ran", t.progress.ran()), slog.Int("events", t.events.count))
	if left {
		panic(http.ErrAbortHandler)
	}
	t.finish(http.StatusGatewayTimeout, refusedRetry, "timeout")
}

// finish ends the answer to a call that no server completes: an answer that has begun is cut, a server's failure is
// passed on, and else the caller gets the given status, or, if the call has not run, when it may come back.
func (t *transfer) finish(status int, after time.Duration, cause string) {
	switch {
	case t.began:
		panic(http.ErrAbortHandler)
	case t.failure != nil:
		t.pass(t.failure)
	case t.progress.ran():
		t.relay.Fail(t.writer, t.call.ID, status, cause)
	default:
		t.relay.Refuse(t.writer, t.call.ID, after, cause)
	}
}

// refusedRetry is when a caller may come back whose call several servers refused.
const refusedRetry = 300 * time.Millisecond
