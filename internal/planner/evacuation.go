package planner

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// evacuatedRetryAfter is the time after which a caller may retry if all replicas of a service are evacuated. Nobody knows
// when the operator ends an evacuation, which usually lasts for minutes; callers that return more often are refused again.
const evacuatedRetryAfter = 5 * time.Second

// SetEvacuated sets the evacuated failure domains. Their replicas get no placements, neither as primary nor as helper
// replicas; what is placed there is left to the hosts, which don't send what they haven't sent. It returns the replicas whose
// evacuation has ended.
func (p *Planner) SetEvacuated(domains []string) []replica.Replica {
	p.evacuated = make(map[string]bool, len(domains))
	for _, domain := range domains {
		p.evacuated[domain] = true
	}
	var ended []replica.Replica
	for _, servers := range p.services {
		for _, s := range servers {
			was := s.evacuated
			p.updateEvacuated(s)
			if was && !s.evacuated {
				ended = append(ended, s.replica)
			}
		}
	}
	return ended
}

// updateEvacuated records whether the failure domain of s is evacuated. Requests that wait are tried at once when it isn't
// any more.
func (p *Planner) updateEvacuated(s *server) {
	was := s.evacuated
	s.evacuated = p.evacuated[s.replica.FailureDomain]
	p.slotFreed = p.slotFreed || was && !s.evacuated
}

// allEvacuated reports whether a service has replicas that take requests, but all of them are evacuated.
func (p *Planner) allEvacuated(service string) bool {
	evacuated := false
	for _, s := range p.services[service] {
		switch {
		case !s.replica.TakesRequests():
		case !s.evacuated:
			return false
		default:
			evacuated = true
		}
	}
	return evacuated
}

// noServerRefusal returns the refusal of a request that no server may take.
func (p *Planner) noServerRefusal(now time.Time, req *Request) *Refusal {
	if p.allEvacuated(req.Service) {
		return &Refusal{Cause: CauseEvacuated, RetryAfter: evacuatedRetryAfter}
	}
	return &Refusal{Cause: CauseNoReplica, RetryAfter: p.usableAfter(now, req)}
}
