package relay

import (
	"log/slog"
	"net/http"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
)

// refused answers a call for which the planner has no server.
func (t *transfer) refused(r *planner.Refusal) {
	t.relay.Meters.Tagged(map[string]string{"cause": string(r.Cause)}).Counter("refusals").Inc(1)
	t.relay.end(t.call, "refused", slog.String("cause", string(r.Cause)),
		eventlog.Milliseconds("retry_after_ms", r.RetryAfter), slog.Bool("ran", t.progress.ran()))
	switch {
	case t.began:
		panic(http.ErrAbortHandler)
	case t.failure != nil:
		t.pass(t.failure)
	case t.progress.ran():
		t.relay.Fail(t.writer, t.call.ID, http.StatusBadGateway, string(r.Cause))
	default:
		t.relay.Refuse(t.writer, t.call.ID, r.RetryAfter, string(r.Cause))
	}
}

// fail answers a call that is not sent again.
func (t *transfer) fail(o planner.Outcome) {
	t.relay.end(t.call, "failed", slog.String("cause", string(o)), slog.Int("runs", t.progress.runs),
		slog.Int("refusals", t.progress.refusals))
	switch {
	case t.began:
		panic(http.ErrAbortHandler)
	case t.failure != nil:
		t.pass(t.failure)
	case t.progress.ran():
		t.relay.Fail(t.writer, t.call.ID, http.StatusBadGateway, string(o))
	default:
		t.relay.Refuse(t.writer, t.call.ID, refusedRetry, string(o))
	}
}

// giveUp answers a call whose deadline has passed, or ends one whose caller has left.
func (t *transfer) giveUp() {
	if t.client.Err() != nil {
		t.relay.end(t.call, "canceled", slog.Bool("ran", t.progress.ran()), slog.Int("events", t.events.count))
		panic(http.ErrAbortHandler)
	}
	t.relay.end(t.call, "timeout", slog.Bool("ran", t.progress.ran()), slog.Int("events", t.events.count))
	switch {
	case t.began:
		panic(http.ErrAbortHandler)
	case t.failure != nil:
		t.pass(t.failure)
	case t.progress.ran():
		t.relay.Fail(t.writer, t.call.ID, http.StatusGatewayTimeout, "timeout")
	default:
		t.relay.Refuse(t.writer, t.call.ID, refusedRetry, "timeout")
	}
}
