package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The engine's figures, as in baseConfiguration.
const (
	promptTokensPerMS = 177
	eventInterval     = 45 * time.Millisecond
	eventCount        = 12
	modelSlots        = 16
	plainSlots        = 6
	plainQueue        = 24
	plainWork         = 60 * time.Millisecond
)

// run is one request that a replica has begun to run.
type run struct {
	id      string
	replica string
	at      time.Time
	ended   bool // with its complete response
}

// ledger is what all replicas have run.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]*run
}

func (l *ledger) begin(id, replica string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]*run)
	}
	r := &run{id: id, replica: replica, at: time.Now()}
	l.runs[id] = append(l.runs[id], r)
	return r
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[id])
}

// server is one replica.
type server struct {
	id, service, zone, address string
	born                       int64
	record                     *record
	ledger                     *ledger
	work                       time.Duration // of a plain service; 0 for plainWork
	requests                   atomic.Int64
	places                     chan struct{}
	waiting                    atomic.Int64
	// trouble holds a func(w http.ResponseWriter, r *http.Request) bool, which returns true if it has answered the request.
	trouble atomic.Value

	mu      sync.Mutex
	tickets map[string]time.Time // reservations and when they end
}

// addServers starts n replicas of a service and registers them.
func (w *world) addServers(service string, n int, l *ledger) []*server {
	var all []*server
	slots := plainSlots
	if service == modelService {
		slots = modelSlots
	}
	for i := range n {
		listener := listen()
		s := &server{
			id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: string(rune('a' + i%3)), address: listener.Addr().String(),
			born: time.Now().UnixMilli(), record: w.record, ledger: l, places: make(chan struct{}, slots),
			tickets: make(map[string]time.Time),
		}
		go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
		w.register(s, "ready")
		all = append(all, s)
	}
	return all
}

func (w *world) register(s *server, state string) {
	entry, _ := json.Marshal(object{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": cap(s.places), "state": state,
		"coldRemainingMs": 0, "sequence": 0, "born": s.born,
	})
	w.store.Put("servers/"+s.id, entry)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Add(1)
	if trouble, ok := s.trouble.Load().(func(http.ResponseWriter, *http.Request) bool); ok && trouble(w, r) {
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", s.id)
	case "/order":
		s.serveOrder(w, r)
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kvUsed":0,"kvTotal":315000,"handles":0,"pace":1}`)
	default:
		s.serveRequest(w, r)
	}
}

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string
		ID        string
		HoldMS    int64
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch order.Operation {
	case "reserve":
		s.tickets[order.ID] = time.Now().Add(time.Duration(order.HoldMS) * time.Millisecond)
	case "release":
		delete(s.tickets, order.ID)
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"free":100000}`)
}

func signature(id string) string { return "signed." + id }

// serveRequest runs a request unless it is meant for another replica or there is no place.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.waiting.Add(1) > plainQueue+int64(cap(s.places)) {
		s.waiting.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	select {
	case s.places <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.places }()
	run := s.ledger.begin(id, s.id)
	s.record.line("run     %s  at %s", id, s.id)
	if s.service == modelService {
		s.serveStream(w, r, id, run)
		return
	}
	work := s.work
	if work == 0 {
		work = plainWork
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	text := plainAnswer(id)
	w.Header().Set("Response-Signature", signature(id))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
	run.ended = true
}

func plainAnswer(id string) string { return "answer to " + id + " " + strings.Repeat(".", 760) }

func (s *server) serveStream(w http.ResponseWriter, r *http.Request, id string, run *run) {
	usage, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(usage)
	parts := 1
	if helpers := r.Header.Get("Helpers"); helpers != "" {
		parts += strings.Count(helpers, ",") + 1
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Response-Signature", signature(id))
	w.Header().Set("Content-Type", "text/event-stream")
	wait := time.Duration(tokens/promptTokensPerMS/parts) * time.Millisecond
	for n := last + 1; n <= eventCount; n++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		wait = eventInterval
		_, _ = io.WriteString(w, eventText(id, n))
		_ = http.NewResponseController(w).Flush()
	}
	run.ended = true
}

func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
}
