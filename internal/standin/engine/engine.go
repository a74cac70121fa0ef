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
	maxBodyBytes     = 32 << 20
	crashExitCode    = 3
	retention        = 30 * time.Second // of ended sequences and of the ids of released memory
)

// Counts tells how often an engine was asked to run a prompt.
type Counts struct {
	Accepted int            `json:"accepted"`
	Refused  map[string]int `json:"refused"` // by the kind of refusal
}

// Engine is a model engine that answers with text made from the prompt.
type Engine struct {
	Name           string
	Listen         netip.AddrPort // used by Run only
	Speed          float64        // divides all times of the model; 0 means 1
	Models         []string       // loaded at the start
	Role           string
	ChecksFencing  bool          // refuses orders with an old fencing number
	Batch          batch.Engine  // settings of the model
	Heartbeat      time.Duration // between frames while nothing else is sent
	LoadLag        time.Duration // greatest age of a load report
	CacheLag       time.Duration // age at which a cache event is published
	CacheGap       uint64        // each so many cache events one is lost; 0 loses none
	WeightLoadTime time.Duration // from an order to load until the model is loaded
	Log            *slog.Logger
	Exit           func(code int) // os.Exit by default

	once     sync.Once
	mu       sync.Mutex
	started  time.Time
	timer    *time.Timer
	runs     map[string]*run
	owners   map[string]engineapi.Owner
	released map[string]time.Time // allocations that must not appear any more
	loaded   []loaded
	fencing  uint64
	faults   engineapi.Faults
	counts   Counts
	thawed   chan struct{} // closed when not frozen
	load     engineapi.Load
	loadAt   time.Time
	events   []cacheEvent
	sequence uint64
	listener *silenceListener
}

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
		if e.LoadLag == 0 {
			e.LoadLag = defaultLoadLag
		}
		if e.Log == nil {
			e.Log = slog.New(slog.DiscardHandler)
		}
		if e.Exit == nil {
			e.Exit = os.Exit
		}
		e.Batch.Progress = true
		if e.Batch.MaxSteps == 0 {
			e.Batch.MaxSteps = max(1, int(3*e.Speed))
		}
	})
}

// Run serves until ctx is done, or returns an *Error.
func (e *Engine) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", e.Listen.String())
	if err != nil {
		return &Error{Op: "run", Kind: KindListen, Err: errors.WithStack(err)}
	}
	return e.Serve(ctx, l)
}

// Serve serves on a listener until ctx is done, or returns an *Error; only here can connections go silent.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	e.init()
	tracked := &silenceListener{Listener: l, open: make(map[*silentConn]bool)}
	e.mu.Lock()
	e.listener = tracked
	e.mu.Unlock()
	server := &http.Server{Handler: e.Handler(), ConnContext: withConn, ReadHeaderTimeout: retention}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	e.Log.Info("engine serves", "server", e.Name, "address", l.Addr().String())
	if err := server.Serve(tracked); !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "serve", Kind: KindServe, Err: errors.WithStack(err)}
	}
	return nil
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	e.init()
	faulty := http.NewServeMux()
	faulty.HandleFunc("POST /v1/sequences", e.submit)
	faulty.HandleFunc("GET /v1/sequences/{request}/{attempt}", e.status)
	faulty.HandleFunc("GET /v1/sequences/{request}/{attempt}/stream", e.resume)
	faulty.HandleFunc("DELETE /v1/sequences/{request}/{attempt}", e.cancel)
	faulty.HandleFunc("POST /v1/sequences/{request}/{attempt}/export", e.export)
	faulty.HandleFunc("POST /v1/reservations", e.reserve)
	faulty.HandleFunc("GET /v1/allocations", e.listAllocations)
	faulty.HandleFunc("DELETE /v1/allocations/{id}", e.release)
	faulty.HandleFunc("GET /v1/load", e.getLoad)
	faulty.HandleFunc("GET /v1/cache_events", e.cacheEvents)
	faulty.HandleFunc("POST /v1/orders", e.order)
	faulty.HandleFunc("GET /v1/state", e.getState)
	faulty.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", e.setFaults)
	mux.HandleFunc("GET /v1/counts", e.getCounts)
	mux.Handle("/", e.withFaults(faulty))
	return mux
}

// withFaults delays answers, or holds them back while the engine is frozen.
func (e *Engine) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.awaitThaw(r.Context()) {
			return
		}
		e.mu.Lock()
		late := time.Duration(e.faults.LateMS) * time.Millisecond
		e.mu.Unlock()
		select {
		case <-time.After(late):
			next.ServeHTTP(w, r)
		case <-r.Context().Done():
		}
	})
}

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

// now returns the model's time, which runs Speed times as fast as the clock.
func (e *Engine) now() time.Time {
	return e.started.Add(time.Duration(float64(time.Since(e.started)) * e.Speed))
}

// scale converts a duration on the clock into one of the model.
func (e *Engine) scale(d time.Duration) time.Duration { return time.Duration(float64(d) * e.Speed) }

// pump applies the model's events and sets the timer for the next ones; the caller holds mu.
func (e *Engine) pump() {
	now := e.now()
	for _, ev := range e.Batch.Advance(now) {
		e.apply(ev)
	}
	if e.timer != nil {
		e.timer.Stop()
	}
	next, ok := e.Batch.Next()
	if !ok {
		return
	}
	wait := time.Duration(float64(next.Sub(now)) / e.Speed)
	e.timer = time.AfterFunc(max(wait, 0), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.pump()
	})
}

func (e *Engine) apply(ev batch.Event) {
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
		r.state, r.cached = statePrefill, ev.Cached
		e.crashOn(r)
	case batch.EventFirst, batch.EventTokens:
		r.state, r.offset = stateDecode, ev.Offset+ev.Tokens
	case batch.EventEnd:
		r.state, r.length = stateDone, r.offset
		if !r.PrefillOnly {
			delete(e.owners, ev.ID)
		}
		e.forgetLater(ev.ID, r)
	case batch.EventExpired:
		e.fail(ev.ID, r, "expired")
	}
	r.broadcast()
}

// crashOn ends the process when the prompt is one that the engine is to crash on.
func (e *Engine) crashOn(r *run) {
	if e.faults.CrashOn == "" || !r.contains(e.faults.CrashOn) {
		return
	}
	e.Log.Error("engine crashes", "server", e.Name, "request", r.Request)
	e.Exit(crashExitCode)
}

func refuse(w http.ResponseWriter, kind, message string) {
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
	reply(w, status, engineapi.Refusal{Kind: kind, Message: message})
}

func refuseError(w http.ResponseWriter, err error) {
	var refusal *batch.Error
	if errors.As(err, &refusal) {
		refuse(w, refusal.Kind, err.Error())
		return
	}
	refuse(w, engineapi.RefusalInvalid, err.Error())
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// decode reads a JSON body, or answers with a refusal.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := d.Decode(into); err != nil {
		refuse(w, engineapi.RefusalInvalid, "body: "+err.Error())
		return false
	}
	return true
}
