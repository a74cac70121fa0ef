package metastore

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const pageItems = 500

// Fault is how the store misbehaves.
type Fault int

// The faults.
const (
	FaultNone   Fault = iota
	FaultBusy         // answers 503 to everything
	FaultSilent       // answers nothing
	FaultLost         // does what it is told and closes the connection
)

type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev"`
	Lease      int64  `json:"lease"`
	CurrentRev int64  `json:"currentRev,omitempty"`
}

type page struct {
	Items      []item `json:"items"`
	Truncated  bool   `json:"truncated"`
	CurrentRev int64  `json:"currentRev"`
}

type transaction struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is the store; its zero value is empty and ready.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	leases   map[int64]*lease
	granted  int64
	fault    Fault
	delay    time.Duration
	calls    int
}

// SetFault changes how the store misbehaves; delay is added to each answer.
func (s *Store) SetFault(f Fault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.delay = delay
}

// Calls returns how many calls came in.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key as the operator or a replica does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	if s.items == nil {
		s.items = make(map[string]item)
	}
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, CreatedRev: created, Lease: leaseID}
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
	}
}

// expire removes the keys of leases that have ended.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.remove(key)
			}
		}
	}
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault, delay := s.fault, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case FaultBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultSilent:
		<-r.Context().Done()
		return
	case FaultLost:
		s.answer(discard{}, r)
		panic(http.ErrAbortHandler)
	case FaultNone:
	}
	s.answer(w, r)
}

func (s *Store) answer(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/kv-key":
		s.getKey(w, r.URL.Query().Get("key"))
	case r.Method == http.MethodGet && path == "/kv-range":
		s.getRange(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case r.Method == http.MethodPost && path == "/kv-txn":
		s.commit(w, r)
	case r.Method == http.MethodPost && path == "/kv-lease":
		s.grant(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/kv-keep/"))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *Store) getKey(w http.ResponseWriter, key string) {
	i, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	i.CurrentRev = s.revision
	reply(w, http.StatusOK, i)
}

func (s *Store) getRange(w http.ResponseWriter, prefix, after string) {
	p := page{Items: []item{}, CurrentRev: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Items = append(p.Items, i)
		}
	}
	sort.Slice(p.Items, func(i, j int) bool { return p.Items[i].Key < p.Items[j].Key })
	if len(p.Items) > pageItems {
		p.Items = p.Items[:pageItems]
		p.Truncated = true
	}
	reply(w, http.StatusOK, p)
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, c := range t.Precondition {
		if s.items[c.Key].Revision != c.Revision {
			reply(w, http.StatusPreconditionFailed, page{Items: []item{s.items[c.Key]}, CurrentRev: s.revision})
			return
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

type leaseMessage struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMS int64 `json:"ttlMs"`
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var m leaseMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.TTLMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.leases == nil {
		s.leases = make(map[int64]*lease)
	}
	s.granted++
	ttl := time.Duration(m.TTLMS) * time.Millisecond
	s.leases[s.granted] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, leaseMessage{Lease: s.granted, TTLMS: m.TTLMS})
}

func (s *Store) keep(w http.ResponseWriter, id string) {
	number, err := strconv.ParseInt(id, 10, 64)
	l := s.leases[number]
	if err != nil || l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, leaseMessage{TTLMS: l.ttl.Milliseconds()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

// discard is the writer of an answer that gets lost.
type discard struct{}

func (discard) Header() http.Header         { return make(http.Header) }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
