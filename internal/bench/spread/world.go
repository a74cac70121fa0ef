package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/spread"
)

// Strategies for propagating a change to every host.
const (
	watchAll strategy = iota // each host watches the store
	flooding                 // edge hosts watch the store; each host pushes a change to its whole failure domain
	tree                     // edge hosts watch the store; changes are pushed along a tree of hosts
)

// Latencies, intervals and message sizes of the simulated network and store.
const (
	localLatency       = 200 * time.Microsecond
	crossDomainLatency = time.Millisecond
	storeLatency       = 3 * time.Millisecond
	storeTailMean      = 20 * time.Millisecond // mean extra latency of one store call in storeTailOneIn
	storeTailOneIn     = 10
	responseTimeout    = 500 * time.Millisecond
	heartbeatInterval  = time.Second
	tickInterval       = 100 * time.Millisecond
	watchRetryDelay    = 200 * time.Millisecond
	messageBytes       = 300 // of a heartbeat that announces a version, and of a pull request
	framingBytes       = 60  // of a message that carries configuration, and of the response to a push
)

type (
	strategy int

	// setting holds the parameters of one case of the measurement.
	setting struct {
		strategy            strategy
		hosts               int
		domains             int
		loss                float64 // share of messages that are lost
		domainsWithoutStore int     // failure domains whose hosts cannot reach the store
		changes             int
		pullsDisabled       bool // ignores versions in heartbeats, so tests can show that pulls are needed
	}

	// simulation holds the simulated hosts, network and store, and the pending events.
	simulation struct {
		setting
		now    time.Time
		queue  eventQueue
		seq    int
		rnd    *rand.Rand
		hosts  []*node
		byName map[string]*node
		edges  map[string][]protocol.Host // edge hosts by failure domain
		stored manifest.Manifest
		bodies map[string][]byte
		bytes  int64 // bytes sent between hosts to propagate configuration
		calls  int   // store calls, except those of hosts that cannot reach the store
	}

	event struct {
		at  time.Time
		seq int
		run func()
	}

	eventQueue []event
)

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event for container/heap.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event for container/heap.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(s setting, seed uint64) *simulation {
	sim := &simulation{
		setting: s, now: time.Unix(0, 0), bodies: make(map[string][]byte),
		byName: make(map[string]*node), edges: make(map[string][]protocol.Host),
		rnd: rand.New(rand.NewPCG(seed, uint64(s.hosts))), //nolint:gosec // a fixed seed makes runs repeatable
	}
	var all []protocol.Host
	for i := range s.hosts {
		h := protocol.Host{Name: fmt.Sprintf("e%03d", i), FailureDomain: fmt.Sprint("d", i%s.domains)}
		n := &node{sim: sim, host: h, storeUnreachable: i%s.domains < s.domainsWithoutStore}
		sim.hosts, sim.byName[h.Name], all = append(sim.hosts, n), n, append(all, h)
	}
	for i := range s.domains {
		domain := fmt.Sprint("d", i)
		sim.edges[domain] = spread.EdgeHosts(domain, all)
	}
	for _, n := range sim.hosts {
		n.start()
	}
	return sim
}

// Schedules f to run once d has passed.
func (sim *simulation) after(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now.Add(d), seq: sim.seq, run: f})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// Sends a message of the given size and calls arrived when it reaches a host that is then running. If it is lost or
// either host is down when it is sent, failed, unless nil, is called after responseTimeout instead.
func (sim *simulation) send(from, to *node, bytes int, arrived, failed func()) {
	sim.bytes += int64(bytes)
	if sim.rnd.Float64() < sim.loss || from.down || to.down {
		if failed != nil {
			sim.after(responseTimeout, failed)
		}
		return
	}
	latency := localLatency
	if from.host.FailureDomain != to.host.FailureDomain {
		latency = crossDomainLatency
	}
	sim.after(latency+time.Duration(sim.rnd.ExpFloat64()*float64(latency)), func() {
		if !to.down {
			arrived()
		}
	})
}

// Calls the store and passes to done whether it responded. If the host cannot reach the store, ok is false after
// responseTimeout.
func (sim *simulation) call(n *node, done func(ok bool)) {
	if n.storeUnreachable {
		sim.after(responseTimeout, func() { done(false) })
		return
	}
	sim.calls++
	d := storeLatency
	if sim.rnd.IntN(storeTailOneIn) == 0 {
		d += time.Duration(sim.rnd.ExpFloat64() * float64(storeTailMean))
	}
	sim.after(d, func() { done(true) })
}

// Stores body as the next change to the services section, accepted at host n, notifies the watching hosts, and returns
// the new manifest's version.
func (sim *simulation) acceptChange(n *node, body []byte) protocol.ManifestVersion {
	section := document.SectionServices
	digest := document.Digest(body)
	sim.bodies[digest] = body
	sim.stored = nextManifest(sim.stored, section, digest)
	n.offer(sim.stored, [][]byte{body}, spread.SourceLocal)
	for _, other := range sim.hosts {
		if other.watching {
			sim.after(storeLatency, other.readStore)
		}
	}
	return sim.stored.Version()
}

// Returns the manifest that follows m and refers to the section's new body by its digest.
func nextManifest(m manifest.Manifest, section document.Section, digest string) manifest.Manifest {
	return m.With(manifest.Change{
		ID: fmt.Sprintf("change-%013d", m.Revision+1), Author: "ana", Reason: "measure",
		Section: section, Before: m.Section(section).Digest, After: digest,
	})
}
