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
	maxBodyBytes  = 1 << 20          // longest accepted request body
	headerTimeout = 30 * time.Second // time that a client may take to send its request header
	stockLimit    = 500              // upper limit of the stock of an item, exclusive
)

// Messages of the service's API.
type (
	// Order is an order, of which a request gives Item and Quantity. In the response, Number is the number of the order,
	// and Runs is how often orders with its idempotency key have run so far.
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

	// Runs holds how often orders ran, by idempotency key.
	Runs struct {
		Runs map[string]int `json:"runs"`
	}

	// Faults selects the faults that the service simulates; the zero value selects none.
	Faults struct {
		LateMS        int64 `json:"late_ms"`         // delay of each response; an order runs before the delay
		BreakAfterRun int   `json:"break_after_run"` // number of next orders that run and whose connection is then cut
		Frozen        bool  `json:"frozen"`          // requests wait until it is false, except /runs and /faults
		Refuse        bool  `json:"refuse"`          // orders are refused before they run
		Leaving       bool  `json:"leaving"`         // all requests but /runs and /faults are refused before they run
	}
)

// Service is an order and stock service. Name, Listen and Log are only used by Run and must be set before it; a nil
// Log disables logging.
type Service struct {
	Name   string
	Listen netip.AddrPort
	Log    *slog.Logger

	mu       sync.Mutex
	runs     map[string]int
	orders   int
	faults   Faults
	unfrozen chan struct{} // nil unless the service is frozen; closed when the Frozen fault ends
}

// Run listens on Listen and serves until ctx is done, then closes all connections and returns nil. It returns an *Error
// if it can't listen or serve.
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

// Handler returns the handler of the service's API and of the calls that control its faults.
func (s *Service) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /orders", s.order)
	api.HandleFunc("GET /stock/{item}", s.stock)
	api.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.Handle("/", s.withFaults(api))
	return mux
}

// withFaults wraps next so that requests wait while the Frozen fault is set and are refused if the Leaving fault was
// set when they arrived.
func (s *Service) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		unfrozen, leaving := s.unfrozen, s.faults.Leaving
		s.mu.Unlock()
		if unfrozen != nil {
			select {
			case <-unfrozen:
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

// order runs an order, unless the Refuse fault is set. Then it cuts the connection, or responds after the delay that
// the faults give.
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
	if delay(r.Context(), faults.LateMS) {
		writeJSON(w, http.StatusCreated, o)
	}
}

// runOrder counts an order under key, sets its Number and Runs, and reduces the number of orders whose connection
// is still to be cut. It returns the faults that apply to the order, and false
// if the Refuse fault keeps it from running.
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

// stock responds with the stock of an item, which is derived from a hash of the item's name and never changes.
func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delayMS := s.faults.LateMS
	s.mu.Unlock()
	if !delay(r.Context(), delayMS) {
		return
	}
	item := r.PathValue("item")
	writeJSON(w, http.StatusOK, Stock{Item: item, Available: int(xxhash.Sum64String(item) % stockLimit)})
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs
	if runs == nil {
		runs = map[string]int{}
	}
	writeJSON(w, http.StatusOK, Runs{Runs: runs})
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen && s.unfrozen == nil {
		s.unfrozen = make(chan struct{})
	}
	if !f.Frozen && s.unfrozen != nil {
		close(s.unfrozen)
		s.unfrozen = nil
	}
	s.faults = f
	writeJSON(w, http.StatusOK, f)
}

// delay waits for ms milliseconds. It reports whether ctx, the request's context, was still active for all that time.
func delay(ctx context.Context, ms int64) bool {
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	case <-ctx.Done():
		return false
	}
}

// refuse responds that the request was refused before it ran.
func refuse(w http.ResponseWriter) {
	w.Header().Set(outcome.Header, string(outcome.NotRun))
	http.Error(w, "refused before running", http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
