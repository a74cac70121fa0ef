package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/spread"
)

// node is a simulated host.
type node struct {
	sim              *simulation
	host             protocol.Host
	storeUnreachable bool // whether the host's store calls time out
	down             bool
	watching         bool
	state            manifest.State
	distributor      spread.Distributor
	activeSince      time.Time // when the active version became active
	domainPeers      []*node   // the other hosts of the host's failure domain
	remoteEdges      []*node   // the edge hosts of the other failure domains
	onApply          func(*node)
}

func (n *node) start() {
	n.distributor.Self = n.host
	n.distributor.SetHosts(n.members())
	n.watching = n.sim.strategy == watchAll || n.distributor.IsEdgeHost()
	sim := n.sim
	sim.after(time.Duration(sim.rnd.Int64N(int64(heartbeatInterval))), n.sendHeartbeats)
	sim.after(time.Duration(sim.rnd.Int64N(int64(tickInterval))), n.tick)
}

// Recomputes domainPeers and remoteEdges, and returns the hosts that this host knows: all hosts of its failure domain,
// itself included, and the edge hosts of the other failure domains.
func (n *node) members() []protocol.Host {
	n.domainPeers, n.remoteEdges = nil, nil
	var known []protocol.Host
	for _, other := range n.sim.hosts {
		if other.host.FailureDomain == n.host.FailureDomain {
			known = append(known, other.host)
			if other != n {
				n.domainPeers = append(n.domainPeers, other)
			}
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(n.sim.edges)) {
		if domain == n.host.FailureDomain {
			continue
		}
		for _, h := range n.sim.edges[domain] {
			known = append(known, h)
			n.remoteEdges = append(n.remoteEdges, n.sim.byName[h.Name])
		}
	}
	return known
}

func (n *node) tick() {
	n.sim.after(tickInterval, n.tick)
	if n.down {
		return
	}
	for _, a := range n.distributor.Tick(n.sim.now) {
		if n.sim.strategy == tree || a.Kind == spread.ActionPull {
			n.perform([]spread.Action{a})
		}
	}
}

// Exchanges versions with a random host of the failure domain and, if this is an edge host, also with a random edge
// host of the other failure domains.
func (n *node) sendHeartbeats() {
	n.sim.after(heartbeatInterval, n.sendHeartbeats)
	if len(n.domainPeers) > 0 {
		n.exchangeVersions(n.domainPeers[n.sim.rnd.IntN(len(n.domainPeers))])
	}
	if n.distributor.IsEdgeHost() && len(n.remoteEdges) > 0 {
		n.exchangeVersions(n.remoteEdges[n.sim.rnd.IntN(len(n.remoteEdges))])
	}
}

// Sends the active version to another host, which responds with its own. Versions travel on heartbeats, which hosts
// send anyway, so the exchange adds no bytes to the measured traffic.
func (n *node) exchangeVersions(to *node) {
	n.sim.send(n, to, 0, func() {
		to.receiveVersion(n)
		n.sim.send(to, n, 0, func() { n.receiveVersion(to) }, nil)
	}, nil)
}

func (n *node) receiveVersion(from *node) {
	if !n.sim.pullsDisabled {
		n.distributor.VersionReported(n.sim.now, from.host.Name, from.state.Version())
	}
}

func (n *node) perform(actions []spread.Action) {
	for _, a := range actions {
		to := n.sim.byName[a.Host.Name]
		switch a.Kind {
		case spread.ActionPush:
			n.push(to, a.KnownVersion)
		case spread.ActionAnnounce:
			n.sim.bytes += messageBytes
			n.exchangeVersions(to)
		case spread.ActionPull:
			n.pull(to)
		}
	}
}

func (n *node) push(to *node, have protocol.ManifestVersion) {
	m, bodies, size := n.missingConfig(have)
	n.sim.send(n, to, size, func() {
		to.offer(m, bodies, spread.SourcePeer)
		n.sim.send(to, n, framingBytes, func() {
			n.distributor.PushAnswered(n.sim.now, to.host.Name, to.state.Version())
		}, func() { n.distributor.PushFailed(n.sim.now, to.host.Name) })
	}, func() { n.distributor.PushFailed(n.sim.now, to.host.Name) })
}

func (n *node) pull(from *node) {
	failed := func() { n.distributor.PullFailed(from.host.Name) }
	n.sim.send(n, from, messageBytes, func() {
		m, bodies, size := from.missingConfig(n.state.Version())
		n.sim.send(from, n, size, func() { n.offer(m, bodies, spread.SourcePeer) }, failed)
	}, failed)
}

// Returns the active manifest, the bodies of the sections that are newer than version have, and the size of the message
// that carries both.
func (n *node) missingConfig(have protocol.ManifestVersion) (manifest.Manifest, [][]byte, int) {
	m, own, _ := n.state.Active()
	size := framingBytes + len(m.Encode())
	var bodies [][]byte
	for i, section := range m.Sections {
		if section.Revision > have.Revision {
			bodies = append(bodies, own[i].Text)
			size += len(own[i].Text)
		}
	}
	return m, bodies, size
}

// Reads the manifest and then the section bodies from the store after a watch reported a change, and offers them to the
// host's state. A failed call makes the host start over after watchRetryDelay.
func (n *node) readStore() {
	sim := n.sim
	if n.down || !n.watching {
		return
	}
	sim.call(n, func(ok bool) {
		if !ok {
			sim.after(watchRetryDelay, n.readStore)
			return
		}
		m := sim.stored
		if m.Revision <= n.state.Version().Revision {
			return
		}
		sim.call(n, func(ok bool) {
			if !ok {
				sim.after(watchRetryDelay, n.readStore)
				return
			}
			var bodies [][]byte
			for _, section := range m.Sections {
				bodies = append(bodies, sim.bodies[section.Digest])
			}
			n.offer(m, bodies, spread.SourceWatch)
		})
	})
}

func (n *node) offer(m manifest.Manifest, bodies [][]byte, source spread.Source) {
	changed, err := n.state.Offer(m, bodies...)
	if err != nil || !changed {
		return
	}
	n.activeSince = n.sim.now
	if n.onApply != nil {
		n.onApply(n)
	}
	actions := n.distributor.VersionActivated(n.sim.now, n.state.Version(), source)
	switch n.sim.strategy {
	case tree:
		n.perform(actions)
	case flooding:
		n.flood(actions)
	case watchAll: // each host reads the store itself; one that cannot reach the store pulls after a heartbeat
	}
}

// Pushes a change to each other host of the failure domain, and announces it to the other failure domains as strategy
// tree does.
func (n *node) flood(actions []spread.Action) {
	for _, a := range actions {
		if a.Kind == spread.ActionAnnounce {
			n.perform([]spread.Action{a})
		}
	}
	for _, other := range n.domainPeers {
		n.push(other, protocol.ManifestVersion{Revision: n.state.Version().Revision - 1})
	}
}
