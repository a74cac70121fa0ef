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

// Network simulates, in virtual time, the hosts of several failure domains and the network between them.
type Network struct {
	Rand    *rand.Rand
	Latency time.Duration
	Loss    float64                              // share of messages that are lost
	Cut     func(from, to protocol.Host) bool    // reports whether messages from one host to the other are dropped
	Prepare func(*member.List)                   // modifies a host's list before the host starts
	Changed func(now time.Time, h protocol.Host) // called after each event of a host

	now        time.Time
	queue      eventQueue
	seq        uint64
	nodes      map[netip.AddrPort]*node
	hosts      []protocol.Host
	lastCallID uint64
}

// node is a simulated host.
type node struct {
	host      protocol.Host
	list      *member.List
	dead      bool
	resumeAt  time.Time // events of the host are delayed until then
	nextTimer time.Time // time of the earliest timer event in the queue; zero if there is none
	pending   map[uint64]func(*protocol.Ack)
	bytes     int64 // bytes sent and received
	messages  int64 // messages sent and received
}

// event is a step that a host runs at a point in virtual time.
type event struct {
	at   time.Time
	seq  uint64
	node *node
	run  func()
}

// Start starts the hosts of the failure domains, whose sizes are given. At first they know each other only from the
// platform's list of hosts.
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

// Add starts a host. A host with the same address, such as one that has crashed, is replaced.
func (n *Network) Add(h protocol.Host) {
	nd := &node{host: h, pending: make(map[uint64]func(*protocol.Ack))}
	nd.list = &member.List{Self: h, Rand: rand.New(rand.NewPCG(n.Rand.Uint64(), 1))}
	if n.Prepare != nil {
		n.Prepare(nd.list)
	}
	n.nodes[h.Address] = nd
	n.schedule(nd, n.now, func() {
		nd.list.SetPlatformHosts(n.now, n.platformList())
		n.perform(nd, nd.list.Join(n.now, nil))
	})
}

// Hosts returns the hosts that Start started.
func (n *Network) Hosts() []protocol.Host { return n.hosts }

// Now returns the virtual time.
func (n *Network) Now() time.Time { return n.now }

// List returns a host's membership list.
func (n *Network) List(h protocol.Host) *member.List { return n.nodes[h.Address].list }

// Crash stops a host without notice to the others.
func (n *Network) Crash(h protocol.Host) { n.nodes[h.Address].dead = true }

// Crashed reports whether a host has crashed.
func (n *Network) Crashed(h protocol.Host) bool { return n.nodes[h.Address].dead }

// Pause delays all events of a host until d has passed.
func (n *Network) Pause(h protocol.Host, d time.Duration) { n.nodes[h.Address].resumeAt = n.now.Add(d) }

// Leave makes a host announce to the others that it is stopping.
func (n *Network) Leave(h protocol.Host) {
	nd := n.nodes[h.Address]
	n.schedule(nd, n.now, func() { n.perform(nd, nd.list.Leave(n.now)) })
}

// Traffic returns how many messages a host has sent and received, and their encoded size in bytes.
func (n *Network) Traffic(h protocol.Host) (messages, bytes int64) {
	nd := n.nodes[h.Address]
	return nd.messages, nd.bytes
}

// Run advances the virtual time by d and runs the events that are due.
func (n *Network) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		ev := heap.Pop(&n.queue).(event)
		n.now = ev.at
		switch {
		case ev.node.dead:
		case ev.at.Before(ev.node.resumeAt):
			ev.at = ev.node.resumeAt
			heap.Push(&n.queue, ev)
		default:
			ev.run()
			n.scheduleTimer(ev.node)
			if n.Changed != nil {
				n.Changed(n.now, ev.node.host)
			}
		}
	}
	n.now = end
}

func (n *Network) schedule(nd *node, at time.Time, run func()) {
	n.seq++
	heap.Push(&n.queue, event{at: at, seq: n.seq, node: nd, run: run})
}

// scheduleTimer queues the host's next timer event, unless one that is not later is queued already.
func (n *Network) scheduleTimer(nd *node) {
	next := nd.list.Next()
	if next.Before(n.now) {
		next = n.now
	}
	if !nd.nextTimer.IsZero() && !next.Before(nd.nextTimer) {
		return
	}
	nd.nextTimer = next
	n.schedule(nd, next, func() {
		if nd.nextTimer.Equal(next) {
			nd.nextTimer = time.Time{}
		}
		if !n.now.Before(nd.list.Next()) {
			n.perform(nd, nd.list.Tick(n.now))
		}
	})
}

func (n *Network) perform(nd *node, actions []member.Action) {
	for _, a := range actions {
		n.sendProbe(nd, a, nil)
	}
}

// sendProbe sends an action's probe and passes the outcome to the host's list. It then calls onResult, unless nil, with
// whether the probe was acknowledged in time.
func (n *Network) sendProbe(nd *node, a member.Action, onResult func(bool)) {
	n.lastCallID++
	id := n.lastCallID
	done := func(ack *protocol.Ack) {
		if nd.pending[id] == nil {
			return
		}
		delete(nd.pending, id)
		if ack != nil {
			n.perform(nd, nd.list.HandleAck(n.now, ack, a))
		} else {
			n.perform(nd, nd.list.HandleFailure(n.now, a))
		}
		if onResult != nil {
			onResult(ack != nil)
		}
	}
	nd.pending[id] = done
	n.schedule(nd, n.now.Add(a.Timeout), func() { done(nil) })
	probe := a.Probe
	n.send(nd, a.To.Address, &protocol.Message{Probe: &probe}, func(to *node) {
		n.handleProbe(to, &probe, func(ack *protocol.Ack) {
			n.send(to, nd.host.Address, &protocol.Message{Ack: ack}, func(*node) { done(ack) })
		})
	})
}

// handleProbe handles a probe that a host has received and calls reply with the acknowledgment. If the host has to
// relay the probe to its target, reply waits for the target's result.
func (n *Network) handleProbe(nd *node, p *protocol.Probe, reply func(*protocol.Ack)) {
	ack, actions := nd.list.HandleProbe(n.now, p)
	relayed := false
	for _, a := range actions {
		if a.Kind != member.ActionRelay {
			n.sendProbe(nd, a, nil)
			continue
		}
		relayed = true
		n.sendProbe(nd, a, func(ok bool) {
			ack.TargetAnswered = ok
			reply(&ack)
		})
	}
	if !relayed {
		reply(&ack)
	}
}

// send counts a message in the traffic of both hosts and delivers it, unless it is lost or dropped by Cut.
func (n *Network) send(from *node, to netip.AddrPort, m *protocol.Message, deliver func(*node)) {
	var size byteCounter
	if err := protocol.Write(&size, m); err != nil {
		panic(err)
	}
	from.messages++
	from.bytes += int64(size)
	nd := n.nodes[to]
	if nd == nil || n.Rand.Float64() < n.Loss || n.Cut != nil && n.Cut(from.host, nd.host) {
		return
	}
	jitter := time.Duration(n.Rand.Int64N(int64(n.Latency) + 1))
	n.schedule(nd, n.now.Add(n.Latency/2+jitter), func() {
		nd.messages++
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
type byteCounter int64

// Write adds the length of p to the count.
func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// eventQueue is a heap ordered by time; events of the same time keep the order in which they were scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event for container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	ev := old[len(old)-1]
	*q = old[:len(old)-1]
	return ev
}
