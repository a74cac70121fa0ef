package relay

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/budget"
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// Desk places calls and takes the news of how they fare.
type Desk interface {
	Ask(ctx context.Context, a planner.Ask) (planner.Answer, error)
	Started(id string)
	Ended(id string, outcome planner.Outcome)
	Patience(ctx context.Context, id string) time.Duration
}

// Memory reserves memory at engines.
type Memory interface {
	Reserve(ctx context.Context, engine netip.AddrPort, ticket string, tokens int, hold time.Duration) error
	Release(ctx context.Context, engine netip.AddrPort, ticket string) error
}

// Marker marks an answer of the system's own with the call that it answers.
type Marker interface {
	Mark(h http.Header, id string)
}

// Relay forwards calls; its fields must be set before use.
type Relay struct {
	Pool   *backend.Pool
	Desk   Desk
	Memory Memory
	Budget *budget.Budget
	Marker Marker
	Log    *eventlog.Log
	Meters tally.Scope

	asks     atomic.Uint64
	underWay atomic.Int64
}

// UnderWay returns how many calls have no whole answer yet.
func (r *Relay) UnderWay() int { return int(r.underWay.Load()) }

// Serve answers c on w; it panics with http.ErrAbortHandler where an answer that has begun can't be completed. The
// context must end when the caller leaves.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, c *call.Call) {
	r.underWay.Add(1)
	defer r.underWay.Add(-1)
	r.Budget.Request(c.Received, c.Service)
	left := c.Deadline().Sub(steady.Now()) - answerTime
	limited, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	t := &transfer{
		relay:    r,
		call:     c,
		writer:   w,
		client:   ctx,
		ctx:      limited,
		progress: progress{repeat: c.Repeat, attempts: c.Attempts},
		hash:     fingerprint(c),
	}
	if c.Resumes {
		t.events.last = c.LastEvent
		t.events.hasLast = true
	}
	t.run()
}

// answerTime is left for an answer of the system's own to reach the caller before its deadline.
const answerTime = 20 * time.Millisecond

// fingerprint is the same for requests that do the same work for the same caller.
func fingerprint(c *call.Call) uint64 {
	d := xxhash.New()
	// The digest's writes can't fail.
	_, _ = d.WriteString(c.Workspace + "\x00" + c.Method + "\x00" + c.Target + "\x00")
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// Refuse answers a call that has not run, and tells the caller when to come back.
func (r *Relay) Refuse(w http.ResponseWriter, id string, after time.Duration, cause string) {
	r.answer(w, id, http.StatusServiceUnavailable, after, cause)
}

// Fail answers a call with an error of the system's own.
func (r *Relay) Fail(w http.ResponseWriter, id string, status int, cause string) {
	r.answer(w, id, status, 0, cause)
}

func (r *Relay) answer(w http.ResponseWriter, id string, status int, after time.Duration, cause string) {
	h := w.Header()
	r.Marker.Mark(h, id)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(cause)+1))
	w.WriteHeader(status)
	// A caller that has left is noticed by its context.
	_, _ = w.Write([]byte(cause + "\n"))
}

// end logs how a call ended.
func (r *Relay) end(c *call.Call, outcome string, fields ...slog.Attr) {
	fields = append([]slog.Attr{
		slog.String("request_id", c.ID),
		slog.String("route", c.Route),
		slog.String("service", c.Service),
		slog.String("outcome", outcome),
		slog.Int64("config_version", c.ConfigSeen),
		slog.Int("prompt_tokens", c.PromptTokens),
		eventlog.Milliseconds("took_ms", steady.Now().Sub(c.Received)),
	}, fields...)
	r.Log.Event("request_ended", fields...)
	r.Meters.Tagged(map[string]string{"outcome": outcome, "prompt_length": promptLength(c)}).Counter("requests").Inc(1)
}

// promptLength returns the class of prompts by length that metrics tell apart.
func promptLength(c *call.Call) string {
	const (
		short = 8 << 10  // tokens
		mid   = 64 << 10 // tokens
	)
	switch {
	case c.PromptTokens == 0:
		return "none"
	case c.PromptTokens <= short:
		return "up_to_8k"
	case c.PromptTokens <= mid:
		return "up_to_64k"
	default:
		return "over_64k"
	}
}

// meterAnswer records the times of a whole answer.
func (t *transfer) meterAnswer() {
	scope := t.relay.Meters.Tagged(map[string]string{"prompt_length": promptLength(t.call)})
	scope.Timer("first_event").Record(t.first)
	if t.gap > 0 {
		scope.Timer("longest_pause").Record(t.gap)
	}
}
