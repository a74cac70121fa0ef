package planner

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	// A server that can't be reached gets no requests for minExclusion at first, and for twice as long after each
	// further failure, up to maxExclusion.
	minExclusion = 500 * time.Millisecond
	maxExclusion = 4 * time.Second
	// The number of recently excluded replicas of a failure domain at which the domain is assumed to be cut off, and the
	// time within which they must become unreachable.
	minExcludedForDomainCut = 2
	domainCutWindow         = time.Second
	// The number of exclusions that are kept for TakeExclusions.
	maxExclusions = 64
)

// exclusion is a time in which a server gets no requests.
type exclusion struct {
	since  time.Time
	until  time.Time
	length time.Duration
	tried  bool // an attempt at the server itself has failed; otherwise only others of its failure domain have been tried
}

// exclude excludes a server from placement for some time, and with it those servers of the same service and failure
// domain that sent no first event or complete response within aliveWindow if the domain seems to be cut off. The exclusion
// holds for the requests of one host, or for those of allHosts. An attempt of the host reporter is the cause. What is excluded
// without a try is tried when no other server is left.
func (p *Planner) exclude(now time.Time, s *server, scope, reporter string) {
	p.excludeOne(now, s, scope, reporter, true)
	excluded := 0
	for _, other := range p.services[s.replica.Service] {
		if other.replica.FailureDomain == s.replica.FailureDomain && other.excludedRecently(now, scope) {
			excluded++
		}
	}
	if excluded < minExcludedForDomainCut {
		return
	}
	for _, other := range p.services[s.replica.Service] {
		if other.replica.FailureDomain == s.replica.FailureDomain && now.Sub(other.lastAlive) > aliveWindow &&
			!other.isExcluded(now, scope) {
			p.excludeOne(now, other, scope, reporter, false)
		}
	}
}

// excludeOne excludes one server, each time for longer until it is reached, and records that for TakeExclusions.
func (p *Planner) excludeOne(now time.Time, s *server, scope, reporter string, tried bool) {
	if s.exclusions == nil {
		s.exclusions = make(map[string]*exclusion)
	}
	e := s.exclusions[scope]
	if e == nil {
		e = &exclusion{}
		s.exclusions[scope] = e
	}
	e.length = min(max(2*e.length, minExclusion), maxExclusion)
	e.since, e.until, e.tried = now, now.Add(e.length), tried
	p.recordExclusion(Exclusion{Replica: s.replica.ID, Host: reporter, Common: scope == allHosts, For: e.length})
}

// recordExclusion records an exclusion for TakeExclusions.
func (p *Planner) recordExclusion(e Exclusion) {
	if len(p.exclusions) < maxExclusions {
		p.exclusions = append(p.exclusions, e)
	}
}

// Misdirected is called when another server than the expected replica has responded at its address, as a host reports: the
// replica has gone, though its entry hasn't yet. It is excluded for all hosts, as primary and as helper, for as long as the entry
// of a replica that has gone usually remains.
func (p *Planner) Misdirected(now time.Time, host string, at replica.Location) {
	for _, servers := range p.services {
		s := servers[at.ID]
		if s == nil || s.replica.Address != at.Address {
			continue
		}
		if s.exclusions == nil {
			s.exclusions = make(map[string]*exclusion)
		}
		s.exclusions[allHosts] = &exclusion{since: now, until: now.Add(maxExclusion), length: maxExclusion, tried: true}
		p.recordExclusion(Exclusion{Replica: at.ID, Host: host, Common: true, For: maxExclusion})
	}
}

// TakeExclusions returns the exclusions since its last call, for the log.
func (p *Planner) TakeExclusions() []Exclusion {
	taken := p.exclusions
	p.exclusions = nil
	return taken
}

// excludedUntil returns until when the server gets no requests of a host; zero if it isn't excluded.
func (s *server) excludedUntil(host string) time.Time {
	var until time.Time
	for _, scope := range []string{allHosts, host} {
		if e := s.exclusions[scope]; e != nil && e.until.After(until) {
			until = e.until
		}
	}
	return until
}

// isExcluded reports whether the server gets no requests of a host, or with allHosts of any host.
func (s *server) isExcluded(now time.Time, host string) bool {
	return now.Before(s.excludedUntil(host))
}

// untried reports whether the server takes requests of a host but for exclusions without a try.
func (s *server) untried(now time.Time, host string) bool {
	for _, scope := range []string{allHosts, host} {
		if e := s.exclusions[scope]; e != nil && e.tried && now.Before(e.until) {
			return false
		}
	}
	return s.takesRequests(now)
}

// excludedRecently reports whether the server is excluded in a scope since less than domainCutWindow ago.
func (s *server) excludedRecently(now time.Time, scope string) bool {
	e := s.exclusions[scope]
	return e != nil && now.Before(e.until) && now.Sub(e.since) < domainCutWindow
}
