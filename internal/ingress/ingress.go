package ingress

import (
	"context"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/account"
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/drain"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/intake"
	"github.com/turmericshunt/turmericshunt/internal/payload"
	"github.com/turmericshunt/turmericshunt/internal/relay"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// Limits for callers. Of these, the configuration can replace maxHeaderBytes and defaultMaxBody. Idle connections are kept open
	// for longer than callers use them.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// The largest limit that the configuration can set in place of maxHeaderBytes.
	mostHeaderBytes = 1 << 20
	headSlack       = 4 << 10 // bytes that a head may have over the limit, as with net/http
	defaultMaxBody  = 4 << 20 // bytes, if the configuration sets no limit
	maxDiscard      = 8 << 20 // bytes of a body over the limit that are read and dropped before the response
	bodyTimeout     = 10 * time.Second
	// workBytes is what a request takes beside its head and body while a replica works on it: stacks and buffers of its
	// goroutines, and its placement.
	workBytes = 48 << 10
	// Retry-After times of refusals: configuration missing or not verified recently enough, host stopping, and no memory for
	// the body.
	retryUnverified = 500 * time.Millisecond
	retryStopping   = 200 * time.Millisecond
	retryNoMemory   = time.Second
	// After a refusal because the route and the workspace allow no common region. Only another configuration can change that.
	retryNoRegion = time.Minute
	// The configuration must have been verified more recently than the limit by this margin, to allow for the
	// time that a request takes to arrive.
	verificationMargin = 300 * time.Millisecond
	// How long a host that is stopping still admits requests; it refuses those that arrive later. The gateway's
	// minStopTime is as long.
	stoppingTime = 2500 * time.Millisecond
	// How long a host that has closed its listener waits for the first requests on connections that it had accepted.
	firstRequestTime = time.Second
)

// Decoder decodes the request line and header of a caller's request.
type Decoder interface {
	DecodeRequestHead(r *http.Request, received time.Time) (*call.Call, error)
}

// Configurations provides the active configuration, which is feed.Cache. Active returns it together with the time at
// which it was last verified to be the newest; it is nil if there is none yet.
type Configurations interface {
	Active() (config *catalog.Configuration, verifiedAt time.Time)
}

// Ingress is the HTTP server for callers. Its exported fields must be set before Init.
type Ingress struct {
	Cache    Configurations
	Relay    *relay.Relay
	Decoder  Decoder
	Payloads *payload.Budget  // of requests
	Account  *account.Account // of what callers make the host hold; nil for no limits
	Fields   int              // header fields of a request at most; 0 means as many as the header's size allows
	Log      *eventlog.Log
	Metrics  tally.Scope

	server          *drain.Server
	stoppingSince   atomic.Int64 // boot-time clock at the call of BeginStop, in nanoseconds; 0 before
	active          atomic.Int64 // requests being served
	revocationLimit atomic.Int64 // how long a revoked key may still be used, in nanoseconds; 0 for no limit
}

// SetRevocationTime limits how long a key may still be used after it was revoked; 0 means no limit.
func (g *Ingress) SetRevocationTime(d time.Duration) { g.revocationLimit.Store(int64(d)) }

// Run serves callers on listener until Stop is called; it returns nil in that case.
func (g *Ingress) Run(listener net.Listener) error {
	if g.Account != nil {
		bounded := &intake.Listener{Listener: listener, Account: g.Account, Limits: g.headLimits}
		g.server.ConnState = bounded.ConnState
		g.server.HTTP.ConnContext = intake.ConnContext
		listener = bounded
	}
	err := g.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Init creates the server. It must be called before Run.
func (g *Ingress) Init() {
	g.server = &drain.Server{FirstRequestTime: firstRequestTime, HTTP: &http.Server{
		DisableGeneralOptionsHandler: true, // no request has a response without a route
		Handler:                      g.handler(),
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ErrorLog:                     log.New(serverErrorLog{g.Log}, "", 0),
	}}
	if g.Account != nil {
		g.server.HTTP.MaxHeaderBytes = mostHeaderBytes + headSlack // intake.Listener keeps the limit in force
	}
}

// handler returns the handler of the server.
func (g *Ingress) handler() http.Handler {
	if g.Account == nil {
		return g
	}
	return intake.Handler(g)
}

// headLimits returns the limits of a head by the active configuration.
func (g *Ingress) headLimits() intake.Limits {
	limits := intake.Limits{HeaderBytes: maxHeaderBytes, Fields: g.Fields}
	if config, _ := g.Cache.Active(); config != nil && config.Limits.MaxHeaderBytes > 0 {
		limits.HeaderBytes = config.Limits.MaxHeaderBytes
	}
	limits.HeaderBytes = min(limits.HeaderBytes, mostHeaderBytes) + headSlack
	return limits
}

// serverErrorLog writes the messages of net/http, including panics with their stacks, to the log.
type serverErrorLog struct{ log *eventlog.Log }

func (e serverErrorLog) Write(text []byte) (int, error) {
	e.log.Warn("server_error", slog.String("error", strings.TrimSpace(string(text))))
	return len(text), nil
}

// Ready reports whether the host should get new connections: it isn't stopping, and it has a configuration that was
// verified recently enough.
func (g *Ingress) Ready() bool {
	config, verifiedAt := g.Cache.Active()
	return g.stoppingSince.Load() == 0 && config != nil && g.recentlyVerified(steady.Now(), verifiedAt)
}

// BeginStop begins to stop the host: each response is the last on its connection, and idle connections are closed.
func (g *Ingress) BeginStop() {
	g.stoppingSince.Store(steady.Now().UnixNano())
	g.server.BeginStop()
}

// Stop closes the listener and waits until the requests on connections that were accepted have their responses, or ctx
// ends.
func (g *Ingress) Stop(ctx context.Context) error { return g.server.Stop(ctx) }

// Active returns the number of requests being served.
func (g *Ingress) Active() int { return int(g.active.Load()) }

// recentlyVerified reports whether keys may be accepted that are valid by a configuration that was last verified to be
// the newest at verifiedAt. That is so if there is no revocation limit, or if verifiedAt is less than the limit minus
// verificationMargin ago: a key in the configuration can only have been revoked since then.
func (g *Ingress) recentlyVerified(now, verifiedAt time.Time) bool {
	limit := time.Duration(g.revocationLimit.Load())
	return limit == 0 || now.Sub(verifiedAt) < limit-verificationMargin
}

// ServeHTTP admits one request and passes it to the relay.
func (g *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	received := steady.Now()
	c, err := g.Decoder.DecodeRequestHead(r, received)
	if err != nil {
		g.reject(w, "", http.StatusBadRequest, "improper head", slog.String("error", err.Error()))
		return
	}
	config, verifiedAt := g.Cache.Active()
	entry := intake.ConnOf(r.Context()).Entry()
	if !g.admit(w, c, config, verifiedAt) || !g.readBody(w, r, c, config.Limits) {
		return
	}
	defer g.Payloads.ReleaseFor(entry, c.Body)
	if !entry.Work(workBytes) {
		g.refuse(w, c, retryNoMemory, "no memory for the request", slog.Int64("payload_bytes", g.Payloads.Used()))
		return
	}
	defer entry.EndWork(workBytes)
	g.Relay.Serve(r.Context(), w, c)
}

// admit checks a call against a configuration that was last verified to be the newest at verifiedAt, and sets the
// fields of the call that depend on it. If it returns false, it has responded to the caller.
func (g *Ingress) admit(w http.ResponseWriter, c *call.Call, config *catalog.Configuration, verifiedAt time.Time) bool {
	if config == nil {
		g.refuse(w, c, retryUnverified, "no configuration yet")
		return false
	}
	if stopping := g.stoppingSince.Load(); stopping != 0 && c.Received.UnixNano()-stopping > int64(stoppingTime) {
		g.refuse(w, c, retryStopping, "host is stopping")
		return false
	}
	route := config.Route(c.Host, c.Path())
	if route == nil {
		g.reject(w, c.ID, http.StatusNotFound, "no route", slog.Int64("config_version", config.Version),
			slog.String("call_host", c.Host), slog.String("path", c.Path()))
		return false
	}
	applyRoute(c, config, route)
	workspace := config.Workspace(c.APIKey)
	switch {
	case workspace != nil:
		c.Workspace = workspace.Name
		if workspace.HasPriority {
			c.Priority = workspace.Priority
		}
	case config.NeedsKey(route):
		g.reject(w, c.ID, http.StatusUnauthorized, "unknown key", slog.Int64("config_version", config.Version))
		return false
	}
	if workspace != nil && !g.recentlyVerified(c.Received, verifiedAt) {
		g.refuse(w, c, retryUnverified, "configuration may be out of date",
			eventlog.Milliseconds("proof_age_ms", c.Received.Sub(verifiedAt)))
		return false
	}
	allowed, ok := allowedRegions(route, workspace)
	if !ok {
		g.refuse(w, c, retryNoRegion, "no region is allowed")
		return false
	}
	c.AllowedRegions = allowed
	return true
}

// allowedRegions returns the regions that both the route and the workspace, which may be nil, allow; none if neither restricts
// them. It returns false if there is a restriction and no region is left.
func allowedRegions(route *catalog.Route, workspace *catalog.Workspace) ([]string, bool) {
	switch {
	case workspace == nil || len(workspace.AllowedRegions) == 0:
		return route.AllowedRegions, true
	case len(route.AllowedRegions) == 0:
		return workspace.AllowedRegions, true
	}
	var both []string
	for _, region := range route.AllowedRegions {
		if slices.Contains(workspace.AllowedRegions, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}

// applyRoute sets the fields of c that the route determines. A route without a limit gets the caller's timeout.
func applyRoute(c *call.Call, config *catalog.Configuration, route *catalog.Route) {
	c.Route = route.Name
	c.Service = route.PickService(rand.Float64())
	c.RetryMode = route.RetryMode
	c.Stream = route.Stream
	c.MaxAttempts = route.MaxAttempts
	c.RouteTimeout = route.Timeout
	if c.RouteTimeout <= 0 {
		c.RouteTimeout = c.CallerTimeout
	}
	c.FirstTarget = route.FirstTarget
	c.PauseTarget = route.PauseTarget
	c.Priority = route.Priority
	c.ConfigVersion = config.Version
}

// readBody reads the complete body into c, because it may have to be sent more than once. If the body is too long, or there is no
// memory for it, it responds to the caller and returns false. If the body can't be read, it aborts the connection.
func (g *Ingress) readBody(w http.ResponseWriter, r *http.Request, c *call.Call, limits catalog.Limits) bool {
	limit := int64(defaultMaxBody)
	if limits.MaxBodyBytes > 0 {
		limit = limits.MaxBodyBytes
	}
	if r.ContentLength > limit {
		// A caller that is still writing when the connection is closed may not see the response.
		_, _ = io.CopyN(io.Discard, r.Body, min(r.ContentLength, maxDiscard))
		g.reject(w, c.ID, http.StatusRequestEntityTooLarge, "body too long", slog.Int64("bytes", r.ContentLength))
		return false
	}
	controller := http.NewResponseController(w)
	// If the connection has no read deadlines, the caller's timeout still limits the call.
	_ = controller.SetReadDeadline(time.Now().Add(min(bodyTimeout, c.CallerTimeout)))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := g.Payloads.ReadFor(intake.ConnOf(r.Context()).Entry(), r.Body, r.ContentLength, limit)
	if err == nil {
		c.Body = body
		return true
	}
	var unread *payload.Error
	errors.As(err, &unread)
	switch unread.Kind {
	case payload.KindNoMemory:
		// The response reaches a caller that is still writing; see above.
		_, _ = io.CopyN(io.Discard, r.Body, limit)
		g.refuse(w, c, retryNoMemory, "no memory for the body", slog.Int64("payload_bytes", g.Payloads.Used()))
	case payload.KindTooLong:
		g.reject(w, c.ID, http.StatusRequestEntityTooLarge, "body too long", slog.Int64("limit", limit))
	default:
		g.Log.Event("body_broken", slog.String("request_id", c.ID), slog.String("error", err.Error()))
		panic(http.ErrAbortHandler)
	}
	return false
}

// reject responds with an error to a request that is malformed or that the configuration doesn't allow.
func (g *Ingress) reject(w http.ResponseWriter, id string, status int, cause string, fields ...slog.Attr) {
	fields = append(fields, slog.String("request_id", id), slog.Int("status", status), slog.String("cause", cause))
	g.Log.Event("request_rejected", fields...)
	g.Metrics.Tagged(map[string]string{"cause": cause}).Counter("requests_not_admitted").Inc(1)
	g.Relay.Fail(w, id, status, cause)
}

// refuse responds with a refusal to a request that this host can't serve now. The request has not run.
func (g *Ingress) refuse(w http.ResponseWriter, c *call.Call, retryAfter time.Duration, cause string,
	fields ...slog.Attr,
) {
	fields = append(fields, slog.String("request_id", c.ID), slog.String("cause", cause))
	g.Log.Event("request_refused", fields...)
	g.Metrics.Tagged(map[string]string{"cause": cause}).Counter("requests_not_admitted").Inc(1)
	g.Relay.Refuse(w, c.ID, retryAfter, cause)
}
