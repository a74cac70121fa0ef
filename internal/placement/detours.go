package placement

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// The number of hosts that a planner names to each host as detours.
	maxDetours = 8
	// How long a planner keeps its ranking of the hosts by lost paths.
	rankingTime = 100 * time.Millisecond
	// The interval at which a host reports its lost paths again though they haven't changed: the planner may have forgotten
	// them with an earlier connection.
	lostServersInterval = 2 * time.Second
)

// ranking is the hosts that can be detours, those first that have lost the fewest paths.
type ranking struct {
	hosts     []netip.AddrPort
	best      int // number of hosts that have lost no more paths than the first
	computed  time.Time
	computedN int // candidates at that time
}

// PathsChanged reports to the planner at once that this host has lost or regained paths to backend servers.
func (c *Client) PathsChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportPaths(steady.Now())
}

// reportPaths sends a heartbeat to the planner if that doesn't know which paths this host has lost.
func (c *Client) reportPaths(now time.Time) {
	c.updatePaths(now)
	p := c.linkToPlanner()
	if p != nil && !slices.Equal(p.lostServers, c.Paths.LostServers()) {
		c.sendHeartbeat(now, p, false)
	}
}

// addPaths adds to a heartbeat which paths this host has lost, unless the peer knows that, and in a reply the detours for the
// peer.
func (c *Client) addPaths(now time.Time, p *peerLink, heartbeat *link.Heartbeat) {
	lost := c.Paths.LostServers()
	if now.Sub(p.lostServersAt) >= lostServersInterval || !slices.Equal(p.lostServers, lost) {
		p.lostServers, p.lostServersAt = lost, now
		heartbeat.HasLostServers = true
		heartbeat.LostServers = lost
	}
	if heartbeat.NoReply {
		heartbeat.Detours = c.detoursFor(now, p.address)
	}
}

// updatePaths passes the paths that this host has lost to the local planner and, while that plans for this host, the hosts
// that reach backend servers to Paths.
func (c *Client) updatePaths(now time.Time) {
	c.localPlanner.SetLostServers(now, c.self().String(), c.Paths.LostServers())
	if c.plannerAddress == c.self() {
		c.Paths.SetDetours(c.detoursFor(now, c.self()), c.otherHosts(now))
	}
}

// takePaths takes over what a heartbeat says of its sender's paths and, if that is the planner, of detours.
func (c *Client) takePaths(now time.Time, p *peerLink, heartbeat *link.Heartbeat) {
	if c.inbound[p] && heartbeat.HasLostServers {
		c.localPlanner.SetLostServers(now, p.host, heartbeat.LostServers)
	}
	if p.address == c.plannerAddress {
		c.Paths.SetDetours(heartbeat.Detours, c.otherHosts(now))
	}
}

// detoursFor returns the hosts through which another one can best connect to backend servers: of those that follow this
// planner, and itself. It returns none while no host has lost a path.
func (c *Client) detoursFor(now time.Time, peer netip.AddrPort) []netip.AddrPort {
	if !c.localPlanner.HasLostServers() {
		return nil
	}
	if now.Sub(c.ranking.computed) >= rankingTime || c.ranking.computedN != len(c.hostLink) {
		candidates := []netip.AddrPort{c.self()}
		for _, p := range c.hostLink {
			candidates = append(candidates, p.address)
		}
		candidates = slices.DeleteFunc(candidates, c.Roster.IsStopping)
		c.ranking = rankDetours(candidates, c.localPlanner)
		c.ranking.computed, c.ranking.computedN = now, len(c.hostLink)
	}
	return c.ranking.detoursOf(peer)
}

// rankDetours ranks the candidates by the paths that they have lost, as the planner knows.
func rankDetours(candidates []netip.AddrPort, p *planner.Planner) ranking {
	type candidate struct {
		address netip.AddrPort
		lost    int
		order   uint64
	}
	sorted := make([]candidate, 0, len(candidates))
	for _, address := range candidates {
		name := address.String()
		sorted = append(sorted, candidate{address: address, lost: p.LostServers(name), order: xxhash.Sum64String(name)})
	}
	slices.SortFunc(sorted, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.lost, y.lost), cmp.Compare(x.order, y.order))
	})
	r := ranking{hosts: make([]netip.AddrPort, 0, len(sorted))}
	for _, c := range sorted {
		r.hosts = append(r.hosts, c.address)
		if c.lost == sorted[0].lost {
			r.best++
		}
	}
	return r
}

// detoursOf returns the best hosts for a peer, at most maxDetours. Of equally good ones each peer gets others, so that all have
// about the same share.
func (r *ranking) detoursOf(peer netip.AddrPort) []netip.AddrPort {
	var detours []netip.AddrPort
	begin := 0
	if r.best > maxDetours {
		begin = int(xxhash.Sum64String(peer.String()) % uint64(r.best))
	}
	for i := 0; i < len(r.hosts) && len(detours) < maxDetours; i++ {
		at := i
		if i < r.best {
			at = (begin + i) % r.best
		}
		if r.hosts[at] != peer {
			detours = append(detours, r.hosts[at])
		}
	}
	return detours
}

// otherHosts returns the hosts that this one knows and that don't stop.
func (c *Client) otherHosts(now time.Time) []netip.AddrPort {
	var hosts []netip.AddrPort
	for _, m := range c.Roster.Foremost(now, maxMembers) {
		if m.Address != c.self() {
			hosts = append(hosts, m.Address)
		}
	}
	return hosts
}
