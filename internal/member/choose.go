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

// domainLink is an edge host's state of the exchange with another failure domain.
type domainLink struct {
	failures   int       // consecutive unanswered probes
	mismatches int       // consecutive digests that differed from this host's
	fetchAt    time.Time // earliest time of the next fetch of all members
}

// ringCache holds the result of localPeers for one version of the members.
type ringCache struct {
	version uint64
	hosts   []protocol.Host
}

// EdgeHosts returns the two edge hosts of a failure domain, which exchange gossip with other failure domains. It
// returns fewer if the failure domain has fewer live hosts.
func (l *List) EdgeHosts(domain string) []protocol.Host {
	list := l.aliveByHash(domain)
	return list[:min(edgeHostsPerDomain, len(list))]
}

// aliveByHash returns the live hosts of a failure domain ordered by the hash of their names. Hosts with the same
// members compute the same order.
func (l *List) aliveByHash(domain string) []protocol.Host {
	var list []protocol.Host
	for _, r := range l.members {
		if r.alive() && r.Host.FailureDomain == domain {
			list = append(list, r.Host)
		}
	}
	slices.SortFunc(list, compareNameHash)
	return list
}

func compareNameHash(a, b protocol.Host) int {
	x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// localPeers returns the members of this failure domain that are not dead, without this host, in ring order starting
// after this host.
func (l *List) localPeers() []protocol.Host {
	if l.ring.version == l.version {
		return l.ring.hosts
	}
	list := []protocol.Host{l.Self}
	for _, r := range l.members {
		if l.isLocalPeer(r.Host) && r.State != protocol.StateDead {
			list = append(list, r.Host)
		}
	}
	slices.SortFunc(list, compareNameHash)
	i := slices.IndexFunc(list, func(h protocol.Host) bool { return h.Name == l.Self.Name })
	l.ring = ringCache{version: l.version, hosts: append(slices.Clone(list[i+1:]), list[:i]...)}
	return l.ring.hosts
}

// randomLocalPeers returns up to count random members of this failure domain other than this host and the host named
// except.
func (l *List) randomLocalPeers(count int, except string) []protocol.Host {
	list := slices.Clone(l.localPeers())
	list = slices.DeleteFunc(list, func(h protocol.Host) bool { return h.Name == except })
	l.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

func (l *List) probeRing(now time.Time) []Action {
	var actions []Action
	list := l.localPeers()
	for _, h := range list[:min(ringProbes, len(list))] {
		actions = append(actions, l.probeLocalPeer(now, h)...)
	}
	return actions
}

func (l *List) probeRandom(now time.Time) []Action {
	list := l.localPeers()
	if len(list) <= ringProbes {
		return nil
	}
	return l.probeLocalPeer(now, list[ringProbes+l.Rand.IntN(len(list)-ringProbes)])
}

// otherDomains returns the names of the other failure domains that have known members or hosts in the platform's
// list, in ascending order.
func (l *List) otherDomains() []string {
	var list []string
	for _, r := range l.members {
		list = append(list, r.Host.FailureDomain)
	}
	for _, h := range l.platformHosts {
		list = append(list, h.FailureDomain)
	}
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(d string) bool { return d == l.Self.FailureDomain })
}

// RelayTargets returns the hosts to which this host forwards gossip that it received from another host. An edge host
// forwards gossip from its own failure domain to the edge hosts of the other failure domains, and gossip from another
// failure domain to the hosts of its own. A host that is not an edge host forwards nothing.
func (l *List) RelayTargets(from protocol.Host) []protocol.Host {
	if !l.isEdge() {
		return nil
	}
	if !l.isLocalPeer(from) {
		return slices.DeleteFunc(slices.Clone(l.localPeers()), func(h protocol.Host) bool { return h.Name == from.Name })
	}
	var hosts []protocol.Host
	for _, domain := range l.otherDomains() {
		hosts = append(hosts, l.EdgeHosts(domain)...)
	}
	return hosts
}

func (l *List) isEdge() bool {
	return slices.ContainsFunc(l.EdgeHosts(l.Self.FailureDomain),
		func(h protocol.Host) bool { return h.Name == l.Self.Name })
}

// probeOtherDomains probes one host of each other failure domain if this host is an edge host. The probe asks for all
// members if the target's name is unknown, or after mismatchesToFetch consecutive digests of its failure domain that
// differed from this host's, at most once in fetchInterval.
func (l *List) probeOtherDomains(now time.Time) []Action {
	if !l.isEdge() {
		return nil
	}
	var actions []Action
	for _, domain := range l.otherDomains() {
		h, ok := l.domainTarget(domain)
		if !ok {
			continue
		}
		a := l.probeAction(h, l.IndirectTimeout)
		c := l.domainLinks[domain]
		if h.Name == "" || c.mismatches >= mismatchesToFetch && !now.Before(c.fetchAt) {
			c.mismatches = 0
			c.fetchAt = now.Add(fetchInterval)
			a.Probe.AllMembers = true
		}
		actions = append(actions, a)
	}
	return actions
}

// domainTarget picks a random host of another failure domain to probe: one of its edge hosts, any of its live hosts
// after more than edgeHostsPerDomain consecutive probes were unanswered, or a host from the platform's list if no
// live host is known. It returns false if there is none.
func (l *List) domainTarget(domain string) (protocol.Host, bool) {
	c := l.domainLinks[domain]
	if c == nil {
		c = &domainLink{}
		l.domainLinks[domain] = c
	}
	list := l.aliveByHash(domain)
	if c.failures <= edgeHostsPerDomain {
		list = list[:min(edgeHostsPerDomain, len(list))]
	}
	if len(list) == 0 {
		list = l.platformCandidates(domain)
	}
	if len(list) == 0 {
		return protocol.Host{}, false
	}
	return list[l.Rand.IntN(len(list))], true
}

// platformCandidates returns the hosts of a failure domain in the platform's list that are unknown or dead members.
func (l *List) platformCandidates(domain string) []protocol.Host {
	var list []protocol.Host
	for _, h := range l.platformHosts {
		r := l.find(h.Name)
		if h.FailureDomain == domain && (r == nil || r.State == protocol.StateDead) {
			list = append(list, withoutName(h))
		}
	}
	return list
}

// withoutName converts a host of the platform's list. It leaves the name out, because another host may use the
// address by now.
func withoutName(h platformapi.Host) protocol.Host {
	return protocol.Host{Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region}
}

// search probes up to searchProbes random addresses at which members of this failure domain may be found: hosts of
// the platform's list, seeds, and the last addresses of dead members.
func (l *List) search(now time.Time) []Action {
	candidates := l.platformCandidates(l.Self.FailureDomain)
	for _, address := range l.seeds {
		if !l.hasLiveAddress(address) {
			candidates = append(candidates, protocol.Host{Address: address, FailureDomain: l.Self.FailureDomain})
		}
	}
	for _, r := range l.members {
		if r.State == protocol.StateDead && l.isLocalPeer(r.Host) {
			h := protocol.Host{Address: r.Host.Address, FailureDomain: r.Host.FailureDomain}
			candidates = append(candidates, h)
		}
	}
	wait := searchIntervals * l.ProbeInterval
	if len(l.localPeers()) == 0 {
		wait = isolatedSearchIntervals * l.ProbeInterval
	}
	l.searchAt = now.Add(wait)
	l.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var actions []Action
	for _, h := range candidates[:min(searchProbes, len(candidates))] {
		a := l.probeAction(h, l.IndirectTimeout)
		a.Probe.AllMembers = true
		actions = append(actions, a)
	}
	return actions
}

// hasLiveAddress reports whether this host or a member that is not dead has the address.
func (l *List) hasLiveAddress(address netip.AddrPort) bool {
	return slices.ContainsFunc(l.members, func(r *record) bool {
		return r.Host.Address == address && r.State != protocol.StateDead
	})
}
