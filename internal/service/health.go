package service

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

const (
	failuresUntilRest = 2 // consecutive failures that rest a server
	minRest           = 500 * time.Millisecond
	maxRest           = 15 * time.Second
	restFactor        = 2
)

// server is one server of a service with what calls showed about it.
type server struct {
	protocol.Server

	mu       sync.Mutex
	inFlight int
	failures int
	rest     time.Duration
	until    time.Time // no call is sent before, unless every server rests
}

func (s *server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

// end records the result of a call at now.
func (s *server) end(now time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if ok {
		s.failures, s.rest, s.until = 0, 0, time.Time{}
		return
	}
	s.failures++
	if s.failures >= failuresUntilRest {
		s.rest = min(max(s.rest*restFactor, minRest), maxRest)
		s.until = now.Add(s.rest)
	}
}

// rank orders servers for a new call; a lower rank goes first.
type rank struct {
	server   *server
	resting  bool
	distance int
	inFlight int
	tie      uint32
}

func (s *server) rank(now time.Time, domain, region string, rnd *rand.Rand) rank {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := rank{server: s, resting: now.Before(s.until), inFlight: s.inFlight, tie: rnd.Uint32()}
	if s.FailureDomain != domain {
		r.distance++
	}
	if s.Region != region {
		r.distance++
	}
	return r
}

func (r rank) compare(o rank) int {
	switch {
	case r.resting != o.resting:
		return before(!r.resting)
	case r.distance != o.distance:
		return r.distance - o.distance
	case r.inFlight != o.inFlight:
		return r.inFlight - o.inFlight
	default:
		return before(r.tie < o.tie)
	}
}

func before(first bool) int {
	if first {
		return -1
	}
	return 1
}

// order returns the servers in the order in which a call tries them.
func order(servers []*server, now time.Time, domain, region string, rnd *rand.Rand) []*server {
	ranks := make([]rank, len(servers))
	for i, s := range servers {
		ranks[i] = s.rank(now, domain, region, rnd)
	}
	slices.SortFunc(ranks, rank.compare)
	ordered := make([]*server, len(ranks))
	for i, r := range ranks {
		ordered[i] = r.server
	}
	return ordered
}
