package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev"`
	Lease      int64  `json:"lease"`
	CurrentRev int64  `json:"currentRev,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in of the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	leases   map[int64]*lease // by ID
	lastID   int64            // of a lease
}

// startStore serves an empty store on a free port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, items: make(map[string]item), leases: make(map[int64]*lease)}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a key, as the operator or a replica.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

func (s *store) write(key string, data []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	s.items[key] = item{Key: key, Value: data, Revision: s.revision, CreatedRev: created, Lease: lease}
}

// remove removes a key and reports whether it was there.
func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return false
	}
	s.revision++
	delete(s.items, key)
	return true
}

// ServeHTTP serves the calls that entry hosts make.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLeases()
	w.Header().Set("Store-Era", "1")
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		i, ok := s.items[query.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		i.CurrentRev = s.revision
		reply(w, http.StatusOK, i)
	case r.URL.Path == "/kv-range":
		page := map[string]any{"items": s.under(query.Get("prefix"), query.Get("after")), "truncated": false, "currentRev": s.revision}
		reply(w, http.StatusOK, page)
	case r.URL.Path == "/kv-watch":
		time.Sleep(100 * time.Millisecond)
		reply(w, http.StatusOK, map[string]any{"events": []item{}, "currentRev": s.revision})
	case r.URL.Path == "/kv-txn":
		s.transact(w, r)
	case r.URL.Path == "/kv-lease":
		var body struct {
			TTLMS int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		ttl := time.Duration(body.TTLMS) * time.Millisecond
		s.lastID++
		s.leases[s.lastID] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]int64{"lease": s.lastID, "ttlMs": body.TTLMS})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.ends = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// endLeases ends the leases whose time is over and removes their keys.
func (s *store) endLeases() {
	for id, l := range s.leases {
		if time.Now().Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.revision++
				delete(s.items, key)
			}
		}
	}
}

func (s *store) under(prefix, after string) []item {
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// transact writes and removes keys if all preconditions hold.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range body.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[p.Key]}})
			return
		}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.revision++
		delete(s.items, key)
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
