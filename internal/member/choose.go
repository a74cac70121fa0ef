package member

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// crossing is what an edge host knows about the way to another failure domain.
type crossing struct {
	failures   int // unanswered probes in a row
	mismatches int
	syncAt     time.Time
}

// ring caches the order of the other hosts of this failure domain for a version of the members.
type ring struct {
	version uint64
	hosts   []protocol.Host
}

// Edges returns the two hosts of a failure domain that exchange its news with other failure domains; fewer if it
// has fewer hosts.
func (l *List) Edges(domain string) []protocol.Host {
	list := l.ranked(domain)
	return list[:min(edges, len(list))]
}

// ranked returns the live hosts of a failure domain in an order that all hosts agree on.
func (l *List) ranked(domain string) []protocol.Host {
	var list []protocol.Host
	for _, e := range l.members {
		if e.alive() && e.Host.FailureDomain == domain {
			list = append(list, e.Host)
		}
	}
	slices.SortFunc(list, byHash)
	return list
}

func byHash(a, b protocol.Host) int {
	x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// others returns the members of this failure domain that are not dead, without this host, in ring order after it.
func (l *List) others() []protocol.Host {
	if l.ring.version == l.version {
		return l.ring.hosts
	}
	list := []protocol.Host{l.Self}
	for _, e := range l.members {
		if l.isOwn(e.Host) && e.State != protocol.StateDead {
			list = append(list, e.Host)
		}
	}
	slices.SortFunc(list, byHash)
	i := slices.IndexFunc(list, func(h protocol.Host) bool { return h.Name == l.Self.Name })
	l.ring = ring{version: l.version, hosts: append(slices.Clone(list[i+1:]), list[:i]...)}
	return l.ring.hosts
}

// pick returns up to count random members of this failure domain other than the named one.
func (l *List) pick(count int, except string) []protocol.Host {
	list := slices.Clone(l.others())
	list = slices.DeleteFunc(list, func(h protocol.Host) bool { return h.Name == except })
	l.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

func (l *List) probeRing(now time.Time) []Action {
	var actions []Action
	list := l.others()
	for _, h := range list[:min(ringProbes, len(list))] {
		actions = append(actions, l.direct(now, h)...)
	}
	return actions
}

func (l *List) probeRandom(now time.Time) []Action {
	list := l.others()
	if len(list) <= ringProbes {
		return nil
	}
	return l.direct(now, list[ringProbes+l.Rand.IntN(len(list)-ringProbes)])
}

// domains returns the names of the other failure domains with known members or hints, ascending.
func (l *List) domains() []string {
	var list []string
	for _, e := range l.members {
		list = append(list, e.Host.FailureDomain)
	}
	for _, h := range l.hints {
		list = append(list, h.FailureDomain)
	}
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(d string) bool { return d == l.Self.FailureDomain })
}

// Relay returns the hosts to which this one passes on news that it had from another: an edge host tells the edge
// hosts of the other failure domains what it heard in its own, and its own failure domain what came from others.
func (l *List) Relay(from protocol.Host) []protocol.Host {
	if !l.isEdge() {
		return nil
	}
	if !l.isOwn(from) {
		return slices.DeleteFunc(slices.Clone(l.others()), func(h protocol.Host) bool { return h.Name == from.Name })
	}
	var hosts []protocol.Host
	for _, domain := range l.domains() {
		hosts = append(hosts, l.Edges(domain)...)
	}
	return hosts
}

func (l *List) isEdge() bool {
	return slices.ContainsFunc(l.Edges(l.Self.FailureDomain), func(h protocol.Host) bool { return h.Name == l.Self.Name })
}

// probeCross probes one host of each other failure domain if this is an edge host.
func (l *List) probeCross(now time.Time) []Action {
	if !l.isEdge() {
		return nil
	}
	var actions []Action
	for _, domain := range l.domains() {
		h, ok := l.crossTarget(domain)
		if !ok {
			continue
		}
		a := l.action(h, l.IndirectTimeout)
		c := l.crossing[domain]
		if h.Name == "" || c.mismatches >= syncMismatch && !now.Before(c.syncAt) {
			c.mismatches = 0
			c.syncAt = now.Add(syncInterval)
			a.Probe.Join = true
		}
		actions = append(actions, a)
	}
	return actions
}

// crossTarget picks an edge host of a failure domain, or any of its hosts after probes went unanswered.
func (l *List) crossTarget(domain string) (protocol.Host, bool) {
	c := l.crossing[domain]
	if c == nil {
		c = &crossing{}
		l.crossing[domain] = c
	}
	list := l.ranked(domain)
	if c.failures <= edges {
		list = list[:min(edges, len(list))]
	}
	if len(list) == 0 {
		list = l.hinted(domain)
	}
	if len(list) == 0 {
		return protocol.Host{}, false
	}
	return list[l.Rand.IntN(len(list))], true
}

// hinted returns the hosts of a failure domain in the platform's list that are not known to be alive.
func (l *List) hinted(domain string) []protocol.Host {
	var list []protocol.Host
	for _, h := range l.hints {
		e := l.find(h.Name)
		if h.FailureDomain == domain && (e == nil || e.State == protocol.StateDead) {
			list = append(list, hintedHost(h))
		}
	}
	return list
}

// hintedHost leaves the name out, because another host may have the address by now.
func hintedHost(h platformapi.Host) protocol.Host {
	return protocol.Host{Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region}
}

// search probes addresses at which members of this failure domain may be found.
func (l *List) search(now time.Time) []Action {
	candidates := l.hinted(l.Self.FailureDomain)
	for _, address := range l.seeds {
		if !l.knows(address) {
			candidates = append(candidates, protocol.Host{Address: address, FailureDomain: l.Self.FailureDomain})
		}
	}
	for _, e := range l.members {
		if e.State == protocol.StateDead && l.isOwn(e.Host) {
			h := protocol.Host{Address: e.Host.Address, FailureDomain: e.Host.FailureDomain}
			candidates = append(candidates, h)
		}
	}
	wait := searchFactor * l.ProbeInterval
	if len(l.others()) == 0 {
		wait = seedFactor * l.ProbeInterval
	}
	l.searchAt = now.Add(wait)
	l.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var actions []Action
	for _, h := range candidates[:min(searchProbes, len(candidates))] {
		a := l.action(h, l.IndirectTimeout)
		a.Probe.Join = true
		actions = append(actions, a)
	}
	return actions
}

// knows reports whether a live member or this host has an address.
func (l *List) knows(address netip.AddrPort) bool {
	return slices.ContainsFunc(l.members, func(e *entry) bool {
		return e.Host.Address == address && e.State != protocol.StateDead
	})
}
