package planner

import (
	"net/netip"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/reach"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	// How long the report of a host counts that neither it nor other hosts could connect to a server.
	unreachableTime = 2 * time.Second
	// The number of hosts that must report that.
	hostsForDown = 2
	// Scope of an exclusion that holds for all hosts.
	allHosts = ""
)

// SetLostServers sets the addresses of the servers that a host can't connect to directly, as it has reported. If it seems to
// be cut off now, its attempts that broke off lately don't count as crashes for the time being.
func (p *Planner) SetLostServers(now time.Time, host string, addresses []netip.AddrPort) {
	if len(addresses) == 0 {
		delete(p.lostServers, host)
		return
	}
	wasCutOff := p.isCutOff(host)
	lost := make(map[netip.AddrPort]bool, len(addresses))
	for _, a := range addresses {
		lost[a] = true
	}
	p.lostServers[host] = lost
	if !wasCutOff && p.isCutOff(host) {
		p.quarantine.Withdraw(now, host)
	}
	p.findDown(now)
}

// SetFollowers sets the hosts that this planner plans for.
func (p *Planner) SetFollowers(now time.Time, hosts []string) {
	p.followers = hosts
	p.findDown(now)
}

// findDown looks for servers that none of the followers can connect to, so that attempts which broke off there count as
// crashes: of hosts that are cut off, others would reach them.
func (p *Planner) findDown(now time.Time) {
	if len(p.followers) < hostsForDown || len(p.lostServers) < len(p.followers) {
		return
	}
	for _, servers := range p.services {
		for _, s := range servers {
			lost := !slices.ContainsFunc(p.followers, func(host string) bool { return !p.lostBy(host, &s.replica) })
			if lost {
				p.quarantine.Down(now, incarnation(&s.replica))
			}
		}
	}
}

// LostServers returns how many servers a host can't connect to directly, as it has reported.
func (p *Planner) LostServers(host string) int { return len(p.lostServers[host]) }

// HasLostServers reports whether any host has reported that it can't connect to a server directly.
func (p *Planner) HasLostServers() bool { return len(p.lostServers) > 0 }

// lostBy reports whether a host can't connect to r directly.
func (p *Planner) lostBy(host string, r *replica.Replica) bool { return p.lostServers[host][r.Address] }

// isCutOff reports whether a host can't connect to so many servers that it seems to be cut off itself.
func (p *Planner) isCutOff(host string) bool {
	known := 0
	for _, servers := range p.services {
		known += len(servers)
	}
	return reach.IsCutOff(len(p.lostServers[host]), known)
}

// recordUnreachable records that a host could connect to s neither directly nor through others. The server is excluded for
// this host. It is excluded for all hosts only if a second one reports the same, and neither of them seems to be cut off: what
// one host can't reach others may. Attempts that broke off at the server count as crashes once two hosts report it, whatever
// other servers they have lost: replicas may crash together.
func (p *Planner) recordUnreachable(now time.Time, s *server, host string) {
	if s.unreachableBy == nil {
		s.unreachableBy = make(map[string]time.Time)
	}
	s.unreachableBy[host] = now
	reporters, inTouch := 0, 0
	for other, at := range s.unreachableBy {
		if now.Sub(at) >= unreachableTime {
			continue
		}
		reporters++
		if !p.isCutOff(other) {
			inTouch++
		}
	}
	if reporters >= hostsForDown {
		p.quarantine.Down(now, incarnation(&s.replica))
	}
	scope := host
	if inTouch >= hostsForDown && !p.isCutOff(host) {
		scope = allHosts
	}
	p.exclude(now, s, scope, host)
}

// recordReached records that a host has got a first event or a complete response from the server.
func (s *server) recordReached(now time.Time, host string) {
	s.lastAlive = now
	s.unreachableBy = nil
	delete(s.exclusions, host)
	delete(s.exclusions, allHosts)
}

// forgetHost forgets what is known of the paths from a host.
func (p *Planner) forgetHost(host string) {
	delete(p.lostServers, host)
	for _, servers := range p.services {
		for _, s := range servers {
			delete(s.unreachableBy, host)
			delete(s.exclusions, host)
		}
	}
}
