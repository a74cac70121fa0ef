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

// Ways to bring a change to each host.
const (
	watchAll way = iota // each host watches the store
	flooding            // edge hosts watch, each host passes a change on to all of its failure domain
	tree                // edge hosts watch and pass a change on as a tree
)

// Times of the simulated network and store.
const (
	hopTime       = 200 * time.Microsecond
	domainHopTime = time.Millisecond
	storeTime     = 3 * time.Millisecond
	storeTail     = 20 * time.Millisecond // mean of the tail that one call in tailOneIn has
	tailOneIn     = 10
	answerTimeout = 500 * time.Millisecond
	heartbeat     = time.Second
	tick          = 100 * time.Millisecond
	watchRetry    = 200 * time.Millisecond
	messageBytes  = 300 // of a heartbeat, or of a request for configuration
	framingBytes  = 60
)

type (
	way int

	// setting is one case of the measurement.
	setting struct {
		way     way
		hosts   int
		domains int
		loss    float64 // share of messages that get lost
		cutOff  int     // failure domains that do not reach the store
		changes int
		noPull  bool // lets tests show what pulls after a heartbeat bring
	}

	// world is the simulated hosts, network and store.
	world struct {
		setting
		now    time.Time
		queue  events
		order  int
		rnd    *rand.Rand
		hosts  []*node
		byName map[string]*node
		edges  map[string][]protocol.Host // by failure domain
		stored manifest.Manifest
		bodies map[string][]byte
		bytes  int64 // sent between hosts for configuration
		calls  int   // that reached the store
	}

	event struct {
		at    time.Time
		order int
		do    func()
	}

	events []event
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(s setting, seed uint64) *world {
	w := &world{
		setting: s, now: time.Unix(0, 0), bodies: make(map[string][]byte),
		byName: make(map[string]*node), edges: make(map[string][]protocol.Host),
		rnd: rand.New(rand.NewPCG(seed, uint64(s.hosts))), //nolint:gosec // repeatable on purpose
	}
	var all []protocol.Host
	for i := range s.hosts {
		h := protocol.Host{Name: fmt.Sprintf("e%03d", i), FailureDomain: fmt.Sprint("d", i%s.domains)}
		n := &node{world: w, host: h, cutOff: i%s.domains < s.cutOff}
		w.hosts, w.byName[h.Name], all = append(w.hosts, n), n, append(all, h)
	}
	for i := range s.domains {
		domain := fmt.Sprint("d", i)
		w.edges[domain] = spread.Edges(domain, all)
	}
	for _, n := range w.hosts {
		n.start()
	}
	return w
}

// Does f after d.
func (w *world) after(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.order, do: f})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// Sends a message unless it gets lost; failed may be nil.
func (w *world) send(from, to *node, bytes int, arrived, failed func()) {
	w.bytes += int64(bytes)
	if w.rnd.Float64() < w.loss || from.down || to.down {
		if failed != nil {
			w.after(answerTimeout, failed)
		}
		return
	}
	hop := hopTime
	if from.host.FailureDomain != to.host.FailureDomain {
		hop = domainHopTime
	}
	w.after(hop+time.Duration(w.rnd.ExpFloat64()*float64(hop)), func() {
		if !to.down {
			arrived()
		}
	})
}

// Calls the store; done learns whether it answered.
func (w *world) call(n *node, done func(ok bool)) {
	if n.cutOff {
		w.after(answerTimeout, func() { done(false) })
		return
	}
	w.calls++
	d := storeTime
	if w.rnd.IntN(tailOneIn) == 0 {
		d += time.Duration(w.rnd.ExpFloat64() * float64(storeTail))
	}
	w.after(d, func() { done(true) })
}

// Accepts the next change to a section at a host and returns its version.
func (w *world) accept(n *node, body []byte) protocol.ManifestVersion {
	section := document.SectionServices
	digest := document.Digest(body)
	w.bodies[digest] = body
	w.stored = next(w.stored, section, digest)
	n.offer(w.stored, [][]byte{body}, spread.SourceLocal)
	for _, other := range w.hosts {
		if other.watching {
			w.after(storeTime, other.read)
		}
	}
	return w.stored.Version()
}

// Returns the manifest that follows m.
func next(m manifest.Manifest, section document.Section, digest string) manifest.Manifest {
	return m.With(manifest.Change{
		ID: fmt.Sprintf("change-%013d", m.Revision+1), Author: "ana", Reason: "measure",
		Section: section, Before: m.Section(section).Digest, After: digest,
	})
}
