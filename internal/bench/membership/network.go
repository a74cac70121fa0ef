package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/member"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Network runs the members of several failure domains in virtual time.
type Network struct {
	Rand    *rand.Rand
	Latency time.Duration
	Loss    float64                              // share of messages lost
	Cut     func(from, to protocol.Host) bool    // drops messages one way
	Prepare func(*member.List)                   // changes a list before its start
	Changed func(now time.Time, h protocol.Host) // called after each event of a host

	now   time.Time
	queue events
	order uint64
	nodes map[netip.AddrPort]*node
	hosts []protocol.Host
	calls uint64
}

// node is one host.
type node struct {
	host   protocol.Host
	list   *member.List
	dead   bool
	paused time.Time
	wake   time.Time // of the earliest timer in the queue
	open   map[uint64]func(*protocol.Ack)
	bytes  int64 // sent and received
	count  int64 // messages sent and received
}

// event is something that happens at a host.
type event struct {
	at    time.Time
	order uint64
	node  *node
	run   func()
}

// Start returns a network whose hosts know one another only from the platform's list.
func (n *Network) Start(sizes []int) {
	n.now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	n.nodes = make(map[netip.AddrPort]*node)
	for d, size := range sizes {
		for i := range size {
			n.hosts = append(n.hosts, protocol.Host{
				Name: fmt.Sprintf("entry-%d-%02d", d, i), Incarnation: uint64(n.now.UnixNano()),
				Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i + 1)}), 7001),
				FailureDomain: fmt.Sprintf("domain-%d", d), Region: "region-1",
			})
		}
	}
	for _, h := range n.hosts {
		n.Add(h)
	}
}

// Add starts a host, also in place of one that has crashed.
func (n *Network) Add(h protocol.Host) {
	nd := &node{host: h, open: make(map[uint64]func(*protocol.Ack))}
	nd.list = &member.List{Self: h, Rand: rand.New(rand.NewPCG(n.Rand.Uint64(), 1))}
	if n.Prepare != nil {
		n.Prepare(nd.list)
	}
	n.nodes[h.Address] = nd
	n.at(nd, n.now, func() {
		nd.list.Hint(n.now, n.platformList())
		n.perform(nd, nd.list.Join(n.now, nil))
	})
}

// Hosts returns all hosts that were started first.
func (n *Network) Hosts() []protocol.Host { return n.hosts }

// Now returns the virtual time.
func (n *Network) Now() time.Time { return n.now }

// List returns a host's list.
func (n *Network) List(h protocol.Host) *member.List { return n.nodes[h.Address].list }

// Crash stops a host at once.
func (n *Network) Crash(h protocol.Host) { n.nodes[h.Address].dead = true }

// Crashed reports whether a host has crashed.
func (n *Network) Crashed(h protocol.Host) bool { return n.nodes[h.Address].dead }

// Pause holds all events of a host back for a while.
func (n *Network) Pause(h protocol.Host, d time.Duration) { n.nodes[h.Address].paused = n.now.Add(d) }

// Leave makes a host announce that it stops.
func (n *Network) Leave(h protocol.Host) {
	nd := n.nodes[h.Address]
	n.at(nd, n.now, func() { n.perform(nd, nd.list.Leave(n.now)) })
}

// Traffic returns the messages that a host has sent and received and their encoded bytes.
func (n *Network) Traffic(h protocol.Host) (messages, bytes int64) {
	nd := n.nodes[h.Address]
	return nd.count, nd.bytes
}

// Run lets a duration pass.
func (n *Network) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		ev := heap.Pop(&n.queue).(event)
		n.now = ev.at
		switch {
		case ev.node.dead:
		case ev.at.Before(ev.node.paused):
			ev.at = ev.node.paused
			heap.Push(&n.queue, ev)
		default:
			ev.run()
			n.schedule(ev.node)
			if n.Changed != nil {
				n.Changed(n.now, ev.node.host)
			}
		}
	}
	n.now = end
}

func (n *Network) at(nd *node, at time.Time, run func()) {
	n.order++
	heap.Push(&n.queue, event{at: at, order: n.order, node: nd, run: run})
}

// schedule queues the host's next timer unless an earlier one is queued.
func (n *Network) schedule(nd *node) {
	next := nd.list.Next()
	if next.Before(n.now) {
		next = n.now
	}
	if !nd.wake.IsZero() && !next.Before(nd.wake) {
		return
	}
	nd.wake = next
	n.at(nd, next, func() {
		if nd.wake.Equal(next) {
			nd.wake = time.Time{}
		}
		if !n.now.Before(nd.list.Next()) {
			n.perform(nd, nd.list.Tick(n.now))
		}
	})
}

func (n *Network) perform(nd *node, actions []member.Action) {
	for _, a := range actions {
		n.call(nd, a, nil)
	}
}

// call sends an action's probe; then is called with whether it was answered.
func (n *Network) call(nd *node, a member.Action, then func(bool)) {
	n.calls++
	id := n.calls
	done := func(ack *protocol.Ack) {
		if nd.open[id] == nil {
			return
		}
		delete(nd.open, id)
		if ack != nil {
			n.perform(nd, nd.list.Acked(n.now, ack, a))
		} else {
			n.perform(nd, nd.list.Failed(n.now, a))
		}
		if then != nil {
			then(ack != nil)
		}
	}
	nd.open[id] = done
	n.at(nd, n.now.Add(a.Timeout), func() { done(nil) })
	probe := a.Probe
	n.send(nd, a.To.Address, &protocol.Message{Probe: &probe}, func(to *node) {
		n.answer(to, &probe, func(ack *protocol.Ack) {
			n.send(to, nd.host.Address, &protocol.Message{Ack: ack}, func(*node) { done(ack) })
		})
	})
}

// answer takes in a probe and calls reply with the answer.
func (n *Network) answer(nd *node, p *protocol.Probe, reply func(*protocol.Ack)) {
	ack, actions := nd.list.Probed(n.now, p)
	waits := false
	for _, a := range actions {
		if a.Kind != member.ActionRelay {
			n.call(nd, a, nil)
			continue
		}
		waits = true
		n.call(nd, a, func(ok bool) {
			ack.OK = ok
			reply(&ack)
		})
	}
	if !waits {
		reply(&ack)
	}
}

// send counts a message and delivers it unless it is lost.
func (n *Network) send(from *node, to netip.AddrPort, m *protocol.Message, deliver func(*node)) {
	var size counter
	if err := protocol.Write(&size, m); err != nil {
		panic(err)
	}
	from.count++
	from.bytes += int64(size)
	nd := n.nodes[to]
	if nd == nil || n.Rand.Float64() < n.Loss || n.Cut != nil && n.Cut(from.host, nd.host) {
		return
	}
	jitter := time.Duration(n.Rand.Int64N(int64(n.Latency) + 1))
	n.at(nd, n.now.Add(n.Latency/2+jitter), func() {
		nd.count++
		nd.bytes += int64(size)
		deliver(nd)
	})
}

func (n *Network) platformList() []platformapi.Host {
	var list []platformapi.Host
	for _, h := range n.hosts {
		list = append(list, platformapi.Host{
			Name: h.Name, Kind: platformapi.KindEntry, Address: h.Address, FailureDomain: h.FailureDomain, Region: h.Region,
		})
	}
	return list
}

// counter counts the bytes written to it.
type counter int64

// Write counts bytes.
func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))
	return len(p), nil
}

// events is a heap by time, then order.
type events []event

func (q events) Len() int { return len(q) }

func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event for container/heap.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event for container/heap.
func (q *events) Pop() any {
	old := *q
	ev := old[len(old)-1]
	*q = old[:len(old)-1]
	return ev
}
