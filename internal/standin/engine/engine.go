package engine

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	defaultHeartbeat = 200 * time.Millisecond
	defaultLoadLag   = 250 * time.Millisecond
	maxBodyBytes     = 32 << 20         // size limit of the body of a request
	crashExitCode    = 3                // exit code of the process if the crash_on fault ends it
	retention        = 30 * time.Second // how long ended attempts and the ids of released memory are remembered
)

// Counts says how many attempts an engine accepted and how many submissions it refused.
type Counts struct {
	Accepted int            `json:"accepted"`
	Refused  map[string]int `json:"refused"` // by refusal kind; "by the model" for all refusals by package batch
}

// Engine is a stand-in for a model engine that responds with text derived from the prompt. Set its exported fields
// before its first use.
type Engine struct {
	Name                   string         // name of the backend server
	Listen                 netip.AddrPort // address that Run listens on; not used otherwise
	Speed                  float64        // how many times faster than real time the simulation runs; 0 means 1
	Models                 []string       // models loaded at the start
	Role                   string         // role at the start; a set_role command changes it
	ChecksFencing          bool           // commands with an old fencing number are refused
	Simulation             batch.Engine   // simulated engine; the caller may set its exported fields, except Progress
	Heartbeat              time.Duration  // interval between heartbeat frames; 0 means 200 ms
	MaxLoadReportAge       time.Duration  // greatest age of a load report; 0 means 250 ms
	CacheEventDelay        time.Duration  // age at which a cache event becomes visible to clients
	CacheEventLossInterval uint64         // one in CacheEventLossInterval cache events is lost; 0 means that none is
	WeightLoadTime         time.Duration  // time from a command to load a model or adapter until it is loaded
	Log                    *slog.Logger   // nil discards the log
	Exit                   func(code int) // called by the crash_on fault to end the process; nil means os.Exit

	once          sync.Once
	mu            sync.Mutex
	started       time.Time
	timer         *time.Timer
	runs          map[string]*run            // by the id of their sequence
	owners        map[string]engineapi.Owner // by allocation id
	released      map[string]time.Time       // time of release by allocation id; these ids are not allocated again
	loaded        []loaded
	fencing       uint64 // highest fencing number that a command has had
	faults        engineapi.Faults
	counts        Counts
	thawed        chan struct{} // closed while the engine is not frozen
	loadReport    engineapi.Load
	loadReportAt  time.Time        // time at which loadReport was made
	published     []cacheEvent     // cache events for clients, from the oldest to the newest
	cacheSequence uint64           // sequence number of the last cache event, lost ones included
	listener      *silenceListener // nil unless Serve has been called
}

// init sets the defaults and the initial state once.
func (e *Engine) init() {
	e.once.Do(func() {
		e.started = time.Now()
		e.runs = make(map[string]*run)
		e.owners = make(map[string]engineapi.Owner)
		e.released = make(map[string]time.Time)
		e.thawed = make(chan struct{})
		close(e.thawed)
		for _, m := range e.Models {
			e.loaded = append(e.loaded, loaded{Loaded: engineapi.Loaded{Model: m}})
		}
		if e.Speed == 0 {
			e.Speed = 1
		}
		if e.Heartbeat == 0 {
			e.Heartbeat = defaultHeartbeat
		}
		if e.MaxLoadReportAge == 0 {
			e.MaxLoadReportAge = defaultLoadLag
		}
		if e.Log == nil {
			e.Log = slog.New(slog.DiscardHandler)
		}
		if e.Exit == nil {
			e.Exit = os.Exit
		}
		e.Simulation.ReportTokens = true
		if e.Simulation.MaxStepsPerEvent == 0 {
			e.Simulation.MaxStepsPerEvent = max(1, int(3*e.Speed))
		}
	})
}

// Run listens on Listen and serves until ctx is done. It returns an *Error if it cannot listen or the server fails.
func (e *Engine) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", e.Listen.String())
	if err != nil {
		return &Error{Op: "run", Kind: KindListen, Err: errors.WithStack(err)}
	}
	return e.Serve(ctx, l)
}

// Serve serves on a listener until ctx is done. It returns an *Error if the server fails. The SilentConnections fault
// applies only to connections that Serve has accepted.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	e.init()
	tracked := &silenceListener{Listener: l, open: make(map[*silentConn]bool)}
	e.mu.Lock()
	e.listener = tracked
	e.mu.Unlock()
	server := &http.Server{Handler: e.Handler(), ConnContext: withConn, ReadHeaderTimeout: retention}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	e.Log.Info("engine listening", "server", e.Name, "address", l.Addr().String())
	if err := server.Serve(tracked); !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "serve", Kind: KindServe, Err: errors.WithStack(err)}
	}
	return nil
}

// Handler returns the engine's HTTP interface. The paths that set faults and return counts are not subject to faults.
func (e *Engine) Handler() http.Handler {
	e.init()
	faulty := http.NewServeMux()
	faulty.HandleFunc("POST /v1/sequences", e.submit)
	faulty.HandleFunc("GET /v1/sequences/{request}/{attempt}", e.status)
	faulty.HandleFunc("GET /v1/sequences/{request}/{attempt}/stream", e.resumeStream)
	faulty.HandleFunc("DELETE /v1/sequences/{request}/{attempt}", e.cancel)
	faulty.HandleFunc("POST /v1/sequences/{request}/{attempt}/export", e.export)
	faulty.HandleFunc("POST /v1/reservations", e.reserve)
	faulty.HandleFunc("GET /v1/allocations", e.listAllocations)
	faulty.HandleFunc("DELETE /v1/allocations/{id}", e.release)
	faulty.HandleFunc("GET /v1/load", e.getLoad)
	faulty.HandleFunc("GET /v1/cache_events", e.getCacheEvents)
	faulty.HandleFunc("POST /v1/orders", e.applyCommand)
	faulty.HandleFunc("GET /v1/state", e.getState)
	faulty.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", e.setFaults)
	mux.HandleFunc("GET /v1/counts", e.getCounts)
	mux.Handle("/", e.withFaults(faulty))
	return mux
}

// withFaults wraps a handler so that each request waits while the engine is frozen, and then for the delay of the
// LateMS fault.
func (e *Engine) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.awaitThaw(r.Context()) {
			return
		}
		e.mu.Lock()
		delay := time.Duration(e.faults.LateMS) * time.Millisecond
		e.mu.Unlock()
		select {
		case <-time.After(delay):
			next.ServeHTTP(w, r)
		case <-r.Context().Done():
		}
	})
}

// awaitThaw waits while the engine is frozen. It returns false if ctx ends first.
func (e *Engine) awaitThaw(ctx context.Context) bool {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

// now returns the simulated time, which runs Speed times as fast as real time.
func (e *Engine) now() time.Time {
	return e.started.Add(time.Duration(float64(time.Since(e.started)) * e.Speed))
}

// scale converts a duration in real time into one in simulated time.
func (e *Engine) scale(d time.Duration) time.Duration { return time.Duration(float64(d) * e.Speed) }

// advance moves the simulation to the current time, applies its events and sets the timer for the next ones. The
// caller holds mu.
func (e *Engine) advance() {
	now := e.now()
	for _, ev := range e.Simulation.Advance(now) {
		e.applyEvent(ev)
	}
	if e.timer != nil {
		e.timer.Stop()
	}
	next, ok := e.Simulation.Next()
	if !ok {
		return
	}
	wait := time.Duration(float64(next.Sub(now)) / e.Speed)
	e.timer = time.AfterFunc(max(wait, 0), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.advance()
	})
}

// applyEvent applies an event of the simulation to the run that it is about; the caller holds mu.
func (e *Engine) applyEvent(ev batch.Event) {
	switch ev.Kind {
	case batch.EventStored, batch.EventEvicted:
		e.publish(ev)
		return
	case batch.EventExpired:
		delete(e.owners, ev.ID)
	}
	r := e.runs[ev.ID]
	if r == nil {
		return
	}
	switch ev.Kind {
	case batch.EventStarted:
		r.state, r.cached = statePrefill, ev.CachedTokens
		e.crashIfMatched(r)
	case batch.EventFirstToken, batch.EventTokens:
		r.state, r.offset = stateDecode, ev.Offset+ev.Tokens
	case batch.EventEnd:
		r.state, r.length = stateDone, r.offset
		if !r.PrefillOnly {
			delete(e.owners, ev.ID)
		}
		e.deleteAfterRetention(ev.ID, r)
	case batch.EventExpired:
		e.fail(ev.ID, r, "expired")
	}
	r.notifyStreams()
}

// crashIfMatched ends the process if the prompt contains the text of the CrashOn fault.
func (e *Engine) crashIfMatched(r *run) {
	if e.faults.CrashOn == "" || !r.promptContains(e.faults.CrashOn) {
		return
	}
	e.Log.Error("prompt contains the text of the crash_on fault, exiting", "server", e.Name, "request", r.Request)
	e.Exit(crashExitCode)
}

// writeRefusal responds with a refusal, under the HTTP status that belongs to its kind.
func writeRefusal(w http.ResponseWriter, kind, message string) {
	status := http.StatusServiceUnavailable
	switch kind {
	case engineapi.RefusalInvalid:
		status = http.StatusBadRequest
	case engineapi.RefusalNotFound, engineapi.RefusalModel:
		status = http.StatusNotFound
	case engineapi.RefusalFencing:
		status = http.StatusConflict
	case engineapi.RefusalMemory:
		status = http.StatusInsufficientStorage
	}
	writeJSON(w, status, engineapi.Refusal{Kind: kind, Message: message})
}

// writeErrorRefusal responds with the refusal that err holds, or with one of kind RefusalInvalid if err is no
// *batch.Error.
func writeErrorRefusal(w http.ResponseWriter, err error) {
	var refusal *batch.Error
	if errors.As(err, &refusal) {
		writeRefusal(w, refusal.Kind, err.Error())
		return
	}
	writeRefusal(w, engineapi.RefusalInvalid, err.Error())
}

// writeJSON responds with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON decodes the JSON body of a request. If the body is invalid, it responds with a refusal and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := d.Decode(into); err != nil {
		writeRefusal(w, engineapi.RefusalInvalid, "body: "+err.Error())
		return false
	}
	return true
}
