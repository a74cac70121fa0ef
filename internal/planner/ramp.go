package planner

import "time"

const (
	// A failure domain none of whose servers could be used for this time has returned when one can be used again. A shorter
	// absence is one of few servers, or of a list of replicas that is about to be confirmed.
	absentTime = time.Second
	// The time in which a failure domain that has returned takes as many requests as it has slots. Its servers are cold at first,
	// and all that waits elsewhere would come at once.
	rampTime = 3 * time.Second
)

// domainState is what the planner knows of the servers of one service in one failure domain.
type domainState struct {
	seen     time.Time // when a request last could use one of them
	missing  time.Time // since when none could be used; zero if one can
	returned time.Time // when the last long absence ended; zero if there was none
	placed   int       // requests and parts of prompts that were placed there since then
	lookup   int       // number of the call of observeDomains that last saw one of them
	slots    int       // of the servers that could be used when it was last seen
}

// domainStateOf returns the state of a service in a failure domain, which it creates if there is none. One that is new
// beside others counts as having returned once it is seen.
func (p *Planner) domainStateOf(now time.Time, service, domain string) *domainState {
	states := p.domainStates[service]
	if states == nil {
		states = make(map[string]*domainState)
		p.domainStates[service] = states
	}
	state := states[domain]
	if state == nil {
		state = &domainState{}
		for _, other := range states {
			if !other.seen.IsZero() {
				state.missing = now.Add(-absentTime)
			}
		}
		states[domain] = state
	}
	return state
}

// withinRamp returns those of the servers that may get a request now although their failure domain has just returned. If no
// others are left, it returns all.
func (p *Planner) withinRamp(now time.Time, req *Request, servers []*server) []*server {
	if p.crossingPrice <= 0 {
		return servers
	}
	ramping := p.observeDomains(now, req, servers)
	if !ramping {
		return servers
	}
	kept := make([]*server, 0, len(servers))
	for _, s := range servers {
		if s.domain.admits(now) {
			kept = append(kept, s)
		}
	}
	if len(kept) == 0 {
		return servers
	}
	return kept
}

// observeDomains records which failure domains have servers that a request may use, and reports whether one of them has
// returned less than rampTime ago. A request that excludes replicas or regions doesn't show that a failure domain is absent.
func (p *Planner) observeDomains(now time.Time, req *Request, servers []*server) bool {
	p.lookups++
	for _, s := range servers {
		if s.domain.lookup != p.lookups {
			s.domain.lookup, s.domain.seen, s.domain.slots = p.lookups, now, 0
		}
		s.domain.slots += s.slots()
	}
	ramping := false
	for _, state := range p.domainStates[req.Service] {
		state.observe(now, state.lookup == p.lookups, len(req.ExcludedReplicas) == 0 && len(req.AllowedRegions) == 0)
		ramping = ramping || state.ramping(now)
	}
	return ramping
}

// observe updates the state by a request that has seen servers of it, or may only have missed them if mayBeMissing is set.
func (s *domainState) observe(now time.Time, seen, mayBeMissing bool) {
	switch {
	case seen:
		if !s.missing.IsZero() && now.Sub(s.missing) >= absentTime {
			s.returned, s.placed = now, 0
		}
		s.missing = time.Time{}
	case mayBeMissing && s.missing.IsZero():
		s.missing = now
	}
}

// ramping reports whether the failure domain has returned less than rampTime ago.
func (s *domainState) ramping(now time.Time) bool {
	return !s.returned.IsZero() && now.Sub(s.returned) < rampTime
}

// admits reports whether the failure domain may get a request now. What it has got since it returned grows with the square
// of the time, so that its rate rises evenly.
func (s *domainState) admits(now time.Time) bool {
	if !s.ramping(now) {
		return true
	}
	share := float64(now.Sub(s.returned)) / float64(rampTime)
	return float64(s.placed) < float64(s.slots)*share*share
}
