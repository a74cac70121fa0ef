package relay

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/budget"
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/crossing"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/pause"
	"github.com/turmericshunt/turmericshunt/internal/payload"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// PlannerClient is what the relay needs of the client of the planner, which is placement.Client.
//
// Place requests a placement for a call; Started and Ended report the placement's first event and its outcome, with the pause that
// the server has asked for. ExtraWait returns for how long a silent server of a placement needs no action, 0 if it seems to have
// failed. MaySend reports whether the limit still allows to send what the planner has placed.
//
// Leaving reports a replica that has announced that it leaves, Misdirected one at whose address another server has responded.
// NamedLimit reports what a response to a request that was sent at sentAt has said of the limit of its server's requests a second,
// NamedCold for how long the server of a response stays cold.
//
// HasLeft reports whether a replica takes no new requests, since it has announced that, drains or is gone. IsEvacuated reports
// whether a plan uses a replica of an evacuated failure domain; EvacuatedReplicas returns the IDs of those of a service.
type PlannerClient interface {
	Place(ctx context.Context, req planner.Request) (planner.Result, error)
	Started(id string)
	Ended(id string, outcome planner.Outcome, pause planner.Pause)
	ExtraWait(ctx context.Context, id string) time.Duration
	Leaving(r replica.Replica)
	Misdirected(at replica.Location)
	HasLeft(r replica.Replica) bool
	IsEvacuated(plan *planner.Plan) bool
	EvacuatedReplicas(service string) []string
	NamedLimit(r replica.Replica, sentAt time.Time, limited bool, perSecond float64)
	NamedCold(r replica.Replica, sentAt time.Time, remaining time.Duration)
	MaySend(result planner.Result) bool
}

// Regions knows the regions of replicas and hosts, which is placement.Client: AllowPlan reports whether all replicas of a plan are
// known to be in one of the allowed regions, AllowHost whether a host is.
type Regions interface {
	AllowPlan(allowed []string, p *planner.Plan) bool
	AllowHost(allowed []string, host netip.AddrPort) bool
}

// MemoryReserver reserves memory at engines. Reserve also renews a reservation that the engine holds under the same ticket; a
// reservation that is not renewed expires when its lease ends. Confirm returns nil if the engine is at its address. Their errors
// wrap a *backend.Error with KindMisdirected if another server has the engine's address, which then has done nothing.
type MemoryReserver interface {
	Reserve(ctx context.Context, engine replica.Location, ticket string, tokens int, lease time.Duration) error
	Release(ctx context.Context, engine replica.Location, ticket string) error
	Confirm(ctx context.Context, engine replica.Location) error
}

// ResponseMarker sets the request ID in a response that the host itself generates.
type ResponseMarker interface {
	SetRequestID(h http.Header, id string)
}

// Relay forwards calls. Its exported fields must be set before use.
type Relay struct {
	Pool          *backend.Pool
	PlannerClient PlannerClient
	Regions       Regions // nil if none are known: calls with allowed regions aren't sent
	Memory        MemoryReserver
	Budget        *budget.Budget
	Payloads      *payload.Budget // of responses that are read as a whole
	Crossings     *crossing.Meter
	Marker        ResponseMarker
	Log           *eventlog.Log
	Metrics       tally.Scope

	pauses          pause.Table   // that backend servers have asked this host for
	stop            hostStop      // planned stop of this host
	lastPlacementID atomic.Uint64 // number from which the ID of the last placement request was made
	inFlight        atomic.Int64  // calls without a complete response
}

// InFlight returns how many calls are in progress, that is, have no complete response yet.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// SetReplicas takes over the active replicas: pauses end with the start that asked for them.
func (r *Relay) SetReplicas(replicas []replica.Replica) { r.pauses.Restarted(replicas) }

// Serve forwards c and writes the response to w. It panics with http.ErrAbortHandler if a response that has begun can't
// be completed, or if the caller has disconnected. The context must end when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, c *call.Call) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	r.Budget.RecordRequest(c.Received, c.Service)
	remaining := c.Deadline().Sub(steady.Now()) - responseMargin
	controller := http.NewResponseController(w)
	// Without it, a caller that takes no more data would hold the call beyond its deadline. A writer without deadlines is
	// that of a test.
	_ = controller.SetWriteDeadline(time.Now().Add(max(remaining, 0) + writeMargin))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	deadlineCtx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	t := &transfer{
		relay:       r,
		call:        c,
		writer:      w,
		callerCtx:   ctx,
		ctx:         deadlineCtx,
		progress:    progress{retryMode: c.RetryMode, maxRuns: c.MaxAttempts},
		fingerprint: fingerprint(c),
		pending:     pendingMemory{payloads: r.Payloads},
	}
	if c.ResumesStream {
		t.events.lastID = c.LastEvent
		t.events.hasLastID = true
	}
	unregister := r.stop.onUnansweredEnd(func() {
		if !t.headWritten.Load() {
			cancel()
		}
	})
	defer unregister()
	t.run()
}

// responseMargin is reserved before a call's deadline, so that an error response of the host reaches the caller in
// time.
const responseMargin = 20 * time.Millisecond

// writeMargin is how long after a call's deadline a response may still be written.
const writeMargin = time.Second

// fingerprint returns a hash that is equal for requests of one workspace with the same method, target and body, which
// do the same work.
func fingerprint(c *call.Call) uint64 {
	d := xxhash.New()
	// Writes to the digest can't fail.
	_, _ = d.WriteString(c.Workspace + "\x00" + c.Method + "\x00" + c.Target + "\x00")
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// Refuse responds with status 503 to a call that has not run. Retry-After tells the caller when to retry.
func (r *Relay) Refuse(w http.ResponseWriter, id string, retryAfter time.Duration, cause string) {
	r.respond(w, id, http.StatusServiceUnavailable, retryAfter, cause)
}

// Fail responds to a call with an error that the host itself generates.
func (r *Relay) Fail(w http.ResponseWriter, id string, status int, cause string) {
	r.respond(w, id, status, 0, cause)
}

func (r *Relay) respond(w http.ResponseWriter, id string, status int, retryAfter time.Duration, cause string) {
	h := w.Header()
	r.Marker.SetRequestID(h, id)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(cause)+1))
	w.WriteHeader(status)
	// If the caller has disconnected, its context ends; a write error needs no handling here.
	_, _ = w.Write([]byte(cause + "\n"))
}

// recordEnd logs and counts the outcome of a call.
func (r *Relay) recordEnd(c *call.Call, outcome string, fields ...slog.Attr) {
	fields = append([]slog.Attr{
		slog.String("request_id", c.ID),
		slog.String("route", c.Route),
		slog.String("service", c.Service),
		slog.String("outcome", outcome),
		slog.Int64("config_version", c.ConfigVersion),
		slog.Int("prompt_tokens", c.PromptTokens),
		eventlog.Milliseconds("took_ms", steady.Now().Sub(c.Received)),
	}, fields...)
	r.Log.Event("request_ended", fields...)
	r.Metrics.Tagged(map[string]string{"outcome": outcome, "prompt_length": promptLengthClass(c)}).
		Counter("requests").Inc(1)
}

// logPanic logs and counts a panic in a goroutine that works for one request.
func (r *Relay) logPanic(requestID string, cause any) {
	r.Metrics.Counter("panics").Inc(1)
	r.Log.Warn("request_panicked", slog.String("request_id", requestID), slog.Any("cause", cause),
		slog.String("stack", string(debug.Stack())))
}

// promptLengthClass returns the value of the metrics label for the length of the call's prompt.
func promptLengthClass(c *call.Call) string {
	const smallest, largest = 8, 512 // 1,024 tokens
	if c.PromptTokens == 0 {
		return "none"
	}
	for limit := smallest; limit <= largest; limit *= 2 {
		if c.PromptTokens <= limit<<10 {
			return "up_to_" + strconv.Itoa(limit) + "k"
		}
	}
	return "over_" + strconv.Itoa(largest) + "k"
}

// recordTimings records the metrics of a complete response: the delay of its first event and its longest pause.
func (t *transfer) recordTimings() {
	scope := t.relay.Metrics.Tagged(map[string]string{"prompt_length": promptLengthClass(t.call)})
	scope.Timer("first_event").Record(t.firstEventDelay)
	if t.longestPause > 0 {
		scope.Timer("longest_pause").Record(t.longestPause)
	}
}
