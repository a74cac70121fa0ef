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

// maxPageItems is the maximum number of items in a page of a range read.
const maxPageItems = 500

// Fault selects how the store misbehaves.
type Fault int

// Faults of the store. Each applies to all requests.
const (
	FaultNone         Fault = iota
	FaultBusy               // responds with status 503 and does not execute the request
	FaultSilent             // does not execute the request and sends no response until the client cancels it
	FaultLoseResponse       // executes the request and closes the connection without a response
)

// item is a key-value pair. CurrentRev, the revision of the whole store, is set only in the response to a read of
// one key.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev"`
	Lease      int64  `json:"lease"`
	CurrentRev int64  `json:"currentRev,omitempty"`
}

// page is the response to a range read: items sorted by key and the revision of the store. It is also the response
// to a transaction whose precondition failed.
type page struct {
	Items      []item `json:"items"`
	Truncated  bool   `json:"truncated"`
	CurrentRev int64  `json:"currentRev"`
}

// transaction writes Puts and deletes Remove, all or nothing, if each key in Precondition is at the given revision.
// Revision 0 requires that the key is absent. Lease 0 in Puts writes a key without a lease.
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
	ttl       time.Duration
	expiresAt time.Time
}

// Store is an HTTP handler that keeps its items and leases in memory. Its zero value is empty and ready to use.
type Store struct {
	mu          sync.Mutex
	revision    int64 // incremented by each put, and by each removal of a present key
	items       map[string]item
	leases      map[int64]*lease // by ID
	lastLeaseID int64
	fault       Fault
	delay       time.Duration // added before each request is handled
	era         int64         // number of restores
	requests    int           // received since the start, including those that met a fault
}

// SetFault makes the store misbehave as f says and delay each response by delay. It applies to requests that arrive
// afterwards.
func (s *Store) SetFault(f Fault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.delay = delay
}

// RequestCount returns the number of HTTP requests received, including those that met a fault.
func (s *Store) RequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Put writes a key without a lease and without a precondition, in place of the operator or a replica.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

// Remove deletes a key if it is present.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// put writes a key and attaches it to the lease leaseID; 0 means no lease. The caller holds s.mu.
func (s *Store) put(key string, value []byte, leaseID int64) {
	if s.items == nil {
		s.items = make(map[string]item)
	}
	s.revision++
	createdRev := s.revision
	if old, ok := s.items[key]; ok {
		createdRev = old.CreatedRev
	}
	s.items[key] = item{Key: key, Value: value, Revision: s.revision, CreatedRev: createdRev, Lease: leaseID}
}

// remove deletes a key; the revision stays as it is if the key is absent. The caller holds s.mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
	}
}

// expireLeases deletes the leases that have expired at now, with all keys attached to them. The caller holds s.mu.
func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expiresAt) {
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

// ServeHTTP handles one request, or misbehaves as set with SetFault.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requests++
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
	case FaultLoseResponse:
		s.handle(discardWriter{}, r)
		panic(http.ErrAbortHandler)
	case FaultNone:
	}
	s.handle(w, r)
}

// handle executes a request of the protocol and writes the response.
func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	s.writeEra(w)
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/kv-key":
		s.getKey(w, r.URL.Query().Get("key"))
	case r.Method == http.MethodGet && path == "/kv-range":
		s.getRange(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case r.Method == http.MethodPost && path == "/kv-txn":
		s.commitTransaction(w, r)
	case r.Method == http.MethodPost && path == "/kv-lease":
		s.grantLease(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/kv-keep/"):
		s.renewLease(w, strings.TrimPrefix(path, "/kv-keep/"))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// getKey responds with the item of a key, or with status 404 if the key is absent.
func (s *Store) getKey(w http.ResponseWriter, key string) {
	i, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	i.CurrentRev = s.revision
	writeJSON(w, http.StatusOK, i)
}

// getRange responds with the first maxPageItems items whose keys start with prefix and sort after the key after.
// Truncated is set if there are more.
func (s *Store) getRange(w http.ResponseWriter, prefix, after string) {
	p := page{Items: []item{}, CurrentRev: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Items = append(p.Items, i)
		}
	}
	sort.Slice(p.Items, func(i, j int) bool { return p.Items[i].Key < p.Items[j].Key })
	if len(p.Items) > maxPageItems {
		p.Items = p.Items[:maxPageItems]
		p.Truncated = true
	}
	writeJSON(w, http.StatusOK, p)
}

// commitTransaction executes a transaction. It responds with status 412 and the current item if a precondition fails,
// and with status 404 if a put names a lease that does not exist; in both cases it writes nothing.
func (s *Store) commitTransaction(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, required := range txn.Precondition {
		if s.items[required.Key].Revision != required.Revision {
			writeJSON(w, http.StatusPreconditionFailed, page{Items: []item{s.items[required.Key]}, CurrentRev: s.revision})
			return
		}
	}
	for _, p := range txn.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{s.revision})
}

// leaseMessage is the request for a new lease and the response to a grant or a renewal.
type leaseMessage struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMS int64 `json:"ttlMs"`
}

// grantLease creates a lease with the requested TTL and responds with its ID.
func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var m leaseMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.TTLMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.leases == nil {
		s.leases = make(map[int64]*lease)
	}
	s.lastLeaseID++
	ttl := time.Duration(m.TTLMS) * time.Millisecond
	s.leases[s.lastLeaseID] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, leaseMessage{Lease: s.lastLeaseID, TTLMS: m.TTLMS})
}

// renewLease extends the lease with the given ID by its full TTL. It responds with status 404 if there is no such
// lease.
func (s *Store) renewLease(w http.ResponseWriter, id string) {
	leaseID, err := strconv.ParseInt(id, 10, 64)
	l := s.leases[leaseID]
	if err != nil || l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, leaseMessage{TTLMS: l.ttl.Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Writing fails only if the client has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(body)
}

// discardWriter drops the response that FaultLoseResponse keeps from the client.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return make(http.Header) }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}
