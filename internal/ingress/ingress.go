package ingress

import (
	"context"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/relay"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// Bounds for callers before a configuration is known; idle connections are kept longer than callers use them.
	headerTime   = 5 * time.Second
	idleTime     = 75 * time.Second
	headerBytes  = 64 << 10
	defaultBody  = 4 << 20
	maxDiscard   = 8 << 20
	bodyTimeout  = 10 * time.Second
	retryNoProof = 500 * time.Millisecond
	retryLeaving = 200 * time.Millisecond
	// A key must have been valid so much less than the bound ago, since callers send before a host receives.
	proofMargin = 300 * time.Millisecond
	// How long a host that stops goes on taking requests from open connections.
	leavingTime = 2500 * time.Millisecond
)

// Decoder decodes the head of a caller's request.
type Decoder interface {
	Call(r *http.Request, received time.Time) (*call.Call, error)
}

// Ingress is the callers' HTTP interface; its fields must be set before Run.
type Ingress struct {
	Feed    *feed.Feed
	Relay   *relay.Relay
	Decoder Decoder
	Log     *eventlog.Log
	Meters  tally.Scope

	server  *http.Server
	leaving atomic.Int64 // steady time of the order to stop, in nanoseconds; 0 before
	active  atomic.Int64
	revoke  atomic.Int64 // bound on the use of keys that were taken away, in nanoseconds
}

// SetRevokeTime bounds how long a key may be used after it was taken away; 0 means no bound.
func (g *Ingress) SetRevokeTime(d time.Duration) { g.revoke.Store(int64(d)) }

// Run serves callers on listener until Stop ends it.
func (g *Ingress) Run(listener net.Listener) error {
	err := g.server.Serve(listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// Init makes the server; it must be called before Run.
func (g *Ingress) Init() {
	g.server = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          log.New(serverErrors{g.Log}, "", 0),
	}
}

// serverErrors takes what net/http reports, panics with their stacks among it, into the log.
type serverErrors struct{ log *eventlog.Log }

func (e serverErrors) Write(text []byte) (int, error) {
	e.log.Warn("server_error", slog.String("error", strings.TrimSpace(string(text))))
	return len(text), nil
}

// Ready tells whether new connections are welcome.
func (g *Ingress) Ready() bool {
	return g.leaving.Load() == 0 && g.Feed.Catalog() != nil && g.fresh(steady.Now())
}

// Leave makes each answer the last of its connection and closes idle connections.
func (g *Ingress) Leave() {
	g.leaving.Store(steady.Now().UnixNano())
	g.server.SetKeepAlivesEnabled(false)
}

// Stop ends the server once all answers are out or ctx ends.
func (g *Ingress) Stop(ctx context.Context) error { return g.server.Shutdown(ctx) }

// Active returns how many requests are being served.
func (g *Ingress) Active() int { return int(g.active.Load()) }

// fresh tells whether a key that was valid by the configuration in force may still be used.
func (g *Ingress) fresh(now time.Time) bool {
	bound := time.Duration(g.revoke.Load())
	return bound == 0 || now.Sub(g.Feed.Proof()) < bound-proofMargin
}

// ServeHTTP admits one request.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	received := steady.Now()
	c, err := g.Decoder.Call(r, received)
	if err != nil {
		g.reject(w, "", http.StatusBadRequest, "improper head", slog.String("error", err.Error()))
		return
	}
	if !g.admit(w, c) || !g.readBody(w, r, c) {
		return
	}
	g.Relay.Serve(r.Context(), w, c)
}

// admit checks a call against the configuration in force and fills in what that says.
func (g *Ingress) admit(w http.ResponseWriter, c *call.Call) bool {
	config := g.Feed.Catalog()
	if config == nil {
		g.refuse(w, c, retryNoProof, "no configuration yet")
		return false
	}
	if since := g.leaving.Load(); since != 0 && c.Received.UnixNano()-since > int64(leavingTime) {
		g.refuse(w, c, retryLeaving, "host is stopping")
		return false
	}
	route := config.Route(c.Host, c.Path())
	if route == nil {
		g.reject(w, c.ID, http.StatusNotFound, "no route", slog.Int64("config_version", config.Version),
			slog.String("call_host", c.Host), slog.String("path", c.Path()))
		return false
	}
	fill(c, config, route)
	workspace := config.Workspace(c.Key)
	switch {
	case workspace != nil:
		c.Workspace = workspace.Name
		if workspace.HasRank {
			c.Rank = workspace.Rank
		}
	case config.NeedsKey(route):
		g.reject(w, c.ID, http.StatusUnauthorized, "unknown key", slog.Int64("config_version", config.Version))
		return false
	}
	if workspace != nil && !g.fresh(c.Received) {
		g.refuse(w, c, retryNoProof, "configuration may be out of date",
			eventlog.Milliseconds("proof_age_ms", c.Received.Sub(g.Feed.Proof())))
		return false
	}
	return true
}

func fill(c *call.Call, config *catalog.Catalog, route *catalog.Route) {
	c.Route = route.Name
	c.Service = route.Pick(rand.Float64())
	c.Repeat = route.Repeat
	c.Stream = route.Stream
	c.Attempts = route.Attempts
	c.Limit = route.Limit
	if c.Limit <= 0 {
		c.Limit = c.Patience
	}
	c.FirstAim = route.FirstAim
	c.GapAim = route.GapAim
	c.Rank = route.Rank
	c.ConfigSeen = config.Version
}

// readBody reads the whole body, which may have to be sent more than once.
func (g *Ingress) readBody(w http.ResponseWriter, r *http.Request, c *call.Call) bool {
	limit := int64(defaultBody)
	if config := g.Feed.Catalog(); config.Limits.BodyBytes > 0 {
		limit = config.Limits.BodyBytes
	}
	if r.ContentLength > limit {
		// A caller that still writes when the connection closes may not see the answer.
		_, _ = io.CopyN(io.Discard, r.Body, min(r.ContentLength, maxDiscard))
		g.reject(w, c.ID, http.StatusRequestEntityTooLarge, "body too long", slog.Int64("bytes", r.ContentLength))
		return false
	}
	control := http.NewResponseController(w)
	// A connection without deadlines is still bounded by the caller's own.
	_ = control.SetReadDeadline(time.Now().Add(min(bodyTimeout, c.Patience)))
	body, err := readAll(r, limit)
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		g.Log.Event("body_broken", slog.String("request_id", c.ID), slog.String("error", err.Error()))
		panic(http.ErrAbortHandler)
	case int64(len(body)) > limit:
		g.reject(w, c.ID, http.StatusRequestEntityTooLarge, "body too long", slog.Int64("limit", limit))
		return false
	}
	c.Body = body
	return true
}

func readAll(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(r.Body, limit+1))
}

// reject answers a request that the configuration doesn't allow.
func (g *Ingress) reject(w http.ResponseWriter, id string, status int, cause string, fields ...slog.Attr) {
	fields = append(fields, slog.String("request_id", id), slog.Int("status", status), slog.String("cause", cause))
	g.Log.Event("request_rejected", fields...)
	g.Meters.Tagged(map[string]string{"cause": cause}).Counter("requests_not_admitted").Inc(1)
	g.Relay.Fail(w, id, status, cause)
}

// refuse answers a request that this host can't serve now; it has not run.
func (g *Ingress) refuse(w http.ResponseWriter, c *call.Call, after time.Duration, cause string, fields ...slog.Attr) {
	fields = append(fields, slog.String("request_id", c.ID), slog.String("cause", cause))
	g.Log.Event("request_refused", fields...)
	g.Meters.Tagged(map[string]string{"cause": cause}).Counter("requests_not_admitted").Inc(1)
	g.Relay.Refuse(w, c.ID, after, cause)
}
