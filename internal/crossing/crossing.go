package crossing

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// connectRise is the factor by which the least time of a connect rises with each further one, so that it follows a path that has
// become slower. A host that stood still measures long times, so the least of the last few counts.
const connectRise = 1.05

// responseWeight is the weight of the newest response in the mean length of those of its service.
const responseWeight = 0.1

// Meter counts the requests of a host that go to servers of other failure domains, with their bytes. Its exported fields
// must be set before use. It is safe for concurrent use.
type Meter struct {
	FailureDomain string // of the host
	Metrics       tally.Scope

	mu        sync.Mutex
	requests  int64
	bytes     int64
	responses map[string]float64       // mean length in bytes, by service
	connects  map[string]time.Duration // least time of the last connects, by failure domain
}

// ExpectedBytes returns how many bytes a request to a service with a body of the given length is expected to move, its
// response included.
func (m *Meter) ExpectedBytes(service string, body int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return body + int(m.responses[service])
}

// Record records a request to a server of a service in a failure domain and the bytes that it has moved.
func (m *Meter) Record(service, failureDomain string, sent, received int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if received > 0 {
		m.learn(service, float64(received))
	}
	if failureDomain == "" || failureDomain == m.FailureDomain {
		return
	}
	m.requests++
	m.bytes += sent + received
	m.Metrics.Counter("requests_across").Inc(1)
	m.Metrics.Counter("bytes_across").Inc(sent + received)
}

// learn takes the length of a response into the mean of its service.
func (m *Meter) learn(service string, length float64) {
	if m.responses == nil {
		m.responses = make(map[string]float64)
	}
	mean, known := m.responses[service]
	if !known {
		mean = length
	}
	m.responses[service] = mean + responseWeight*(length-mean)
}

// RecordConnect records that a connection to a server in a failure domain took the given time, which is a round trip.
func (m *Meter) RecordConnect(failureDomain string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.connects == nil {
		m.connects = make(map[string]time.Duration)
	}
	if least, known := m.connects[failureDomain]; known {
		took = min(took, time.Duration(float64(least)*connectRise))
	}
	m.connects[failureDomain] = took
}

// Delay returns how much longer a round trip to the farthest other failure domain takes than one within the host's; 0 if that
// isn't known.
func (m *Meter) Delay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	own, known := m.connects[m.FailureDomain]
	if !known {
		return 0
	}
	var delay time.Duration
	for _, took := range m.connects {
		delay = max(delay, took-own)
	}
	return delay
}

// Totals returns the number of requests and of bytes that have crossed.
func (m *Meter) Totals() (requests, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.requests, m.bytes
}
