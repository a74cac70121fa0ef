package replica

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// ReceivedRequest records a request that reached a replica.
type ReceivedRequest struct {
	ReplicaID   string // ID
	Method      string
	Target      string // path and query as sent
	Header      http.Header
	Body        string
	LastEventID string // value of the Last-Event-Id header
	Ran         bool   // the replica did not refuse the request
	At          time.Time
}

// RequestLog records the requests that reached any of the replicas that share it. Its zero value is empty and ready.
type RequestLog struct {
	mu      sync.Mutex
	seen    map[string][]ReceivedRequest // by Request-Id, in order of arrival
	active  map[string]int               // attempts at which replicas are at work, by Request-Id
	ended   map[string]time.Time         // when the last attempt ended, by Request-Id
	crashes map[string][]time.Time       // by the part of a prompt that caused them, in order
	parts   map[string][]string          // IDs of the replicas that have read parts as helpers, by Request-Id
}

func (l *RequestLog) add(id string, s ReceivedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = make(map[string][]ReceivedRequest)
	}
	l.seen[id] = append(l.seen[id], s)
	if l.active == nil {
		l.active, l.ended = make(map[string]int), make(map[string]time.Time)
	}
	l.active[id]++
}

// end records that an attempt of the request with the given ID has ended.
func (l *RequestLog) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active[id]--
	l.ended[id] = time.Now()
}

// ActiveSince reports whether a replica is at work on the request with the given ID or was so after since.
func (l *RequestLog) ActiveSince(id string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active[id] > 0 || l.ended[id].After(since)
}

// Requests returns the records of the request with the given ID, one for each attempt that reached a replica, in
// order of arrival.
func (l *RequestLog) Requests(id string) []ReceivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ReceivedRequest(nil), l.seen[id]...)
}

// Received returns the records of all requests that reached the replica with the given ID after since.
func (l *RequestLog) Received(replicaID string, since time.Time) []ReceivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var received []ReceivedRequest
	for _, requests := range l.seen {
		for _, r := range requests {
			if r.ReplicaID == replicaID && r.At.After(since) {
				received = append(received, r)
			}
		}
	}
	return received
}

// Runs returns the number of times that the request with the given ID was run.
func (l *RequestLog) Runs(id string) int {
	runs := 0
	for _, s := range l.Requests(id) {
		if s.Ran {
			runs++
		}
	}
	return runs
}

func (l *RequestLog) addCrash(part string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashes == nil {
		l.crashes = make(map[string][]time.Time)
	}
	l.crashes[part] = append(l.crashes[part], time.Now())
}

// Crashes returns the times at which replicas crashed on the given part of a prompt, in order.
func (l *RequestLog) Crashes(part string) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.crashes[part]...)
}

// addPart records that a replica reads a part of the prompt of a request as a helper.
func (l *RequestLog) addPart(id, replicaID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.parts == nil {
		l.parts = make(map[string][]string)
	}
	l.parts[id] = append(l.parts[id], replicaID)
}

// Parts returns the IDs of the replicas that have read parts of the prompt of a request as helpers.
func (l *RequestLog) Parts(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.parts[id])
}
