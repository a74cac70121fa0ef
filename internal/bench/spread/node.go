package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/spread"
)

// node is one simulated host.
type node struct {
	world    *world
	host     protocol.Host
	cutOff   bool // does not reach the store
	down     bool
	watching bool
	state    manifest.State
	spreader spread.Spreader
	inForce  time.Time // when the version in force came into force
	near     []*node   // the other hosts of the failure domain
	far      []*node   // the edge hosts of the other failure domains
	applied  func(*node)
}

func (n *node) start() {
	n.spreader.Self = n.host
	n.spreader.Members(n.members())
	n.watching = n.world.way == watchAll || n.spreader.Edge()
	w := n.world
	w.after(time.Duration(w.rnd.Int64N(int64(heartbeat))), n.beat)
	w.after(time.Duration(w.rnd.Int64N(int64(tick))), n.tick)
}

// Finds the hosts that this host knows: its failure domain and the edge hosts of the others.
func (n *node) members() []protocol.Host {
	n.near, n.far = nil, nil
	var known []protocol.Host
	for _, other := range n.world.hosts {
		if other.host.FailureDomain == n.host.FailureDomain {
			known = append(known, other.host)
			if other != n {
				n.near = append(n.near, other)
			}
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(n.world.edges)) {
		if domain == n.host.FailureDomain {
			continue
		}
		for _, h := range n.world.edges[domain] {
			known = append(known, h)
			n.far = append(n.far, n.world.byName[h.Name])
		}
	}
	return known
}

func (n *node) tick() {
	n.world.after(tick, n.tick)
	if n.down {
		return
	}
	for _, a := range n.spreader.Tick(n.world.now) {
		if n.world.way == tree || a.Kind == spread.ActionPull {
			n.act([]spread.Action{a})
		}
	}
}

// Exchanges versions with a random host of the failure domain and, on an edge host, of the others.
func (n *node) beat() {
	n.world.after(heartbeat, n.beat)
	if len(n.near) > 0 {
		n.probe(n.near[n.world.rnd.IntN(len(n.near))])
	}
	if n.spreader.Edge() && len(n.far) > 0 {
		n.probe(n.far[n.world.rnd.IntN(len(n.far))])
	}
}

// Heartbeats carry versions anyway, so their bytes do not count.
func (n *node) probe(to *node) {
	n.world.send(n, to, 0, func() {
		to.heard(n)
		n.world.send(to, n, 0, func() { n.heard(to) }, nil)
	}, nil)
}

func (n *node) heard(from *node) {
	if !n.world.noPull {
		n.spreader.Heard(n.world.now, from.host.Name, from.state.Version())
	}
}

func (n *node) act(actions []spread.Action) {
	for _, a := range actions {
		to := n.world.byName[a.Host.Name]
		switch a.Kind {
		case spread.ActionPush:
			n.push(to, a.Have)
		case spread.ActionAnnounce:
			n.world.bytes += messageBytes
			n.probe(to)
		case spread.ActionPull:
			n.pull(to)
		}
	}
}

func (n *node) push(to *node, have protocol.ManifestVersion) {
	m, bodies, size := n.config(have)
	n.world.send(n, to, size, func() {
		to.offer(m, bodies, spread.SourcePeer)
		n.world.send(to, n, framingBytes, func() {
			n.spreader.Pushed(n.world.now, to.host.Name, to.state.Version())
		}, func() { n.spreader.PushFailed(n.world.now, to.host.Name) })
	}, func() { n.spreader.PushFailed(n.world.now, to.host.Name) })
}

func (n *node) pull(from *node) {
	failed := func() { n.spreader.PullFailed(from.host.Name) }
	n.world.send(n, from, messageBytes, func() {
		m, bodies, size := from.config(n.state.Version())
		n.world.send(from, n, size, func() { n.offer(m, bodies, spread.SourcePeer) }, failed)
	}, failed)
}

// Returns what a host that has a version lacks and its size.
func (n *node) config(have protocol.ManifestVersion) (manifest.Manifest, [][]byte, int) {
	m, own, _ := n.state.InForce()
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

// Reads the manifest from the store after a watch has returned, and its new body.
func (n *node) read() {
	w := n.world
	if n.down || !n.watching {
		return
	}
	w.call(n, func(ok bool) {
		if !ok {
			w.after(watchRetry, n.read)
			return
		}
		m := w.stored
		if m.Revision <= n.state.Version().Revision {
			return
		}
		w.call(n, func(ok bool) {
			if !ok {
				w.after(watchRetry, n.read)
				return
			}
			var bodies [][]byte
			for _, section := range m.Sections {
				bodies = append(bodies, w.bodies[section.Digest])
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
	n.inForce = n.world.now
	if n.applied != nil {
		n.applied(n)
	}
	actions := n.spreader.Changed(n.world.now, n.state.Version(), source)
	switch n.world.way {
	case tree:
		n.act(actions)
	case flooding:
		n.flood(actions)
	case watchAll: // each host reads for itself; what is cut off hears heartbeats
	}
}

// Passes a change on to each host of the failure domain, and announces it to others as the tree does.
func (n *node) flood(actions []spread.Action) {
	for _, a := range actions {
		if a.Kind == spread.ActionAnnounce {
			n.act([]spread.Action{a})
		}
	}
	for _, other := range n.near {
		n.push(other, protocol.ManifestVersion{Revision: n.state.Version().Revision - 1})
	}
}
