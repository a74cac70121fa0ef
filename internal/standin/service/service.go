package service

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// KeyHeader names the request header that identifies an order.
const KeyHeader = "Idempotency-Key"

const (
	maxBodyBytes  = 1 << 20
	headerTimeout = 30 * time.Second
	stockRange    = 500
)

// The messages of the service.
type (
	// Order confirms an order; Runs counts how often orders with its key have run.
	Order struct {
		Item     string `json:"item"`
		Quantity int    `json:"quantity"`
		Number   int    `json:"number"`
		Runs     int    `json:"runs"`
	}

	// Stock is the number of pieces of an item that are available.
	Stock struct {
		Item      string `json:"item"`
		Available int    `json:"available"`
	}

	// Runs counts the orders that ran, by key.
	Runs struct {
		Runs map[string]int `json:"runs"`
	}

	// Faults switches misbehavior on and off.
	Faults struct {
		LateMS        int64 `json:"late_ms"`         // delay of each answer, after an order has run
		BreakAfterRun int   `json:"break_after_run"` // this many orders run and their connection is cut
		Frozen        bool  `json:"frozen"`          // nothing answers or runs
		Refuse        bool  `json:"refuse"`          // orders are refused before they run
		Leaving       bool  `json:"leaving"`         // everything but /runs is refused before it runs
	}
)

// Service is an order and stock service.
type Service struct {
	Name   string
	Listen netip.AddrPort
	Log    *slog.Logger

	mu     sync.Mutex
	runs   map[string]int
	orders int
	faults Faults
	thawed chan struct{} // set and open while frozen
}

// Run serves until ctx is done, or returns an *Error.
func (s *Service) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return &Error{Op: "run", Kind: KindListen, Err: errors.WithStack(err)}
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if s.Log != nil {
		s.Log.Info("service serves", "server", s.Name, "address", l.Addr().String())
	}
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "run", Kind: KindServe, Err: errors.WithStack(err)}
	}
	return nil
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	faulty := http.NewServeMux()
	faulty.HandleFunc("POST /orders", s.order)
	faulty.HandleFunc("GET /stock/{item}", s.stock)
	faulty.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.Handle("/", s.withFaults(faulty))
	return mux
}

// withFaults holds answers back while frozen and refuses them while leaving.
func (s *Service) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		thawed, leaving := s.thawed, s.faults.Leaving
		s.mu.Unlock()
		if thawed != nil {
			select {
			case <-thawed:
			case <-r.Context().Done():
				return
			}
		}
		if leaving {
			refuse(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil || o.Item == "" {
		http.Error(w, "body must be an order with an item", http.StatusBadRequest)
		return
	}
	faults, ran := s.runOrder(r.Header.Get(KeyHeader), &o)
	if !ran {
		refuse(w)
		return
	}
	if faults.BreakAfterRun > 0 {
		panic(http.ErrAbortHandler)
	}
	if wait(r.Context(), faults.LateMS) {
		reply(w, http.StatusCreated, o)
	}
}

// runOrder counts an order, unless it is to be refused, and returns the faults in force.
func (s *Service) runOrder(key string, o *Order) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if faults.Refuse {
		return faults, false
	}
	if faults.BreakAfterRun > 0 {
		s.faults.BreakAfterRun--
	}
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.orders++
	s.runs[key]++
	o.Number, o.Runs = s.orders, s.runs[key]
	return faults, true
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	late := s.faults.LateMS
	s.mu.Unlock()
	if !wait(r.Context(), late) {
		return
	}
	item := r.PathValue("item")
	reply(w, http.StatusOK, Stock{Item: item, Available: int(xxhash.Sum64String(item) % stockRange)})
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs
	if runs == nil {
		runs = map[string]int{}
	}
	reply(w, http.StatusOK, Runs{Runs: runs})
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen && s.thawed == nil {
		s.thawed = make(chan struct{})
	}
	if !f.Frozen && s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
	s.faults = f
	reply(w, http.StatusOK, f)
}

// wait delays an answer; it reports whether the caller is still there.
func wait(ctx context.Context, ms int64) bool {
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	case <-ctx.Done():
		return false
	}
}

func refuse(w http.ResponseWriter) {
	w.Header().Set(outcome.Header, string(outcome.NotRun))
	http.Error(w, "refused before running", http.StatusServiceUnavailable)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
