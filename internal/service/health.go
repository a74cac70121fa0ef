package service

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

const (
	failuresUntilCooldown = 2 // consecutive failures after which a server cools down
	minCooldown           = 500 * time.Millisecond
	maxCooldown           = 15 * time.Second
	cooldownFactor        = 2 // by which each further failure lengthens the cooldown
)

// server is a backend server of a service with its health as observed by calls.
type server struct {
	protocol.Server

	mu            sync.Mutex    // guards the fields below
	inFlight      int           // calls in progress
	failures      int           // consecutive failed calls
	cooldown      time.Duration // length of the current cooldown; 0 without one
	cooldownUntil time.Time     // end of the cooldown; until then, calls try the servers that are not cooling down first
}

// startCall records the start of a call.
func (s *server) startCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

// endCall records that a call ended at now. If ok is true, the server did not cause a failure, and its cooldown ends.
// If ok is false and the number of consecutive failures has reached its limit, a cooldown starts, longer than the one
// before.
func (s *server) endCall(now time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if ok {
		s.failures, s.cooldown, s.cooldownUntil = 0, 0, time.Time{}
		return
	}
	s.failures++
	if s.failures >= failuresUntilCooldown {
		s.cooldown = min(max(s.cooldown*cooldownFactor, minCooldown), maxCooldown)
		s.cooldownUntil = now.Add(s.cooldown)
	}
}

// candidate holds the properties of a server by which a new call orders the servers.
type candidate struct {
	server      *server
	coolingDown bool
	distance    int    // 0 in the host's failure domain, 1 elsewhere in its region, 2 in another region
	inFlight    int    // calls in progress
	tie         uint32 // random number that decides between servers that are equal otherwise
}

// candidate returns s as a candidate for a call from a host in the given failure domain and region.
func (s *server) candidate(now time.Time, domain, region string, rnd *rand.Rand) candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := candidate{server: s, coolingDown: now.Before(s.cooldownUntil), inFlight: s.inFlight, tie: rnd.Uint32()}
	if s.FailureDomain != domain {
		r.distance++
	}
	if s.Region != region {
		r.distance++
	}
	return r
}

// compare returns a negative number if a call tries r before o, and a positive one otherwise. Servers that are not
// cooling down go first, then closer ones, then those with fewer calls in progress.
func (r candidate) compare(o candidate) int {
	switch {
	case r.coolingDown != o.coolingDown:
		return firstIf(!r.coolingDown)
	case r.distance != o.distance:
		return r.distance - o.distance
	case r.inFlight != o.inFlight:
		return r.inFlight - o.inFlight
	default:
		return firstIf(r.tie < o.tie)
	}
}

// firstIf returns -1 if first is true, and 1 otherwise.
func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

// sortServers returns the servers in the order in which a call tries them that comes from a host in the given failure
// domain and region.
func sortServers(servers []*server, now time.Time, domain, region string, rnd *rand.Rand) []*server {
	candidates := make([]candidate, len(servers))
	for i, s := range servers {
		candidates[i] = s.candidate(now, domain, region, rnd)
	}
	slices.SortFunc(candidates, candidate.compare)
	ordered := make([]*server, len(candidates))
	for i, r := range candidates {
		ordered[i] = r.server
	}
	return ordered
}
