package heartbeat

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/member"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Peers sends messages to other hosts.
type Peers interface {
	Call(ctx context.Context, to netip.AddrPort, m *protocol.Message) (*protocol.Message, error)
}

// News is what hosts tell one another with their probes.
type News interface {
	// Fill adds this host's news to a probe for the host named to.
	Fill(p *protocol.Probe, to protocol.Host)
	// FillAck adds this host's news to the answer for the host named to.
	FillAck(a *protocol.Ack, to protocol.Host)
	// Take takes in a peer's news.
	Take(p *protocol.Probe)
	// TakeAck takes in the news of a peer's answer.
	TakeAck(a *protocol.Ack)
}

// Exchange runs the membership's probes.
type Exchange struct {
	Members *member.List
	Peers   Peers
	News    News
	Changed func() // called after the membership has changed
	Metrics tally.Scope

	mu       sync.Mutex // guards Members
	revision uint64
	wake     chan struct{}
	once     sync.Once
	running  context.Context // of Run; nil before
	probing  sync.WaitGroup
}

const idleTick = time.Second

// Run probes other hosts, the seeds first, until ctx ends.
func (e *Exchange) Run(ctx context.Context, seeds []netip.AddrPort) error {
	e.init()
	e.mu.Lock()
	e.running = ctx
	e.mu.Unlock()
	defer e.probing.Wait()
	e.update(func(now time.Time) []member.Action { return e.Members.Join(now, seeds) })
	for {
		timer := time.NewTimer(e.untilTick())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-e.wake:
			timer.Stop()
			continue
		case <-timer.C:
		}
		e.update(e.Members.Tick)
	}
}

// Hint takes in the platform's host list.
func (e *Exchange) Hint(hosts []platformapi.Host) {
	e.update(func(now time.Time) []member.Action {
		e.Members.Hint(now, hosts)
		return nil
	})
}

// Leave tells the other hosts that this one takes no roles any more.
func (e *Exchange) Leave() {
	e.update(e.Members.Leave)
}

// Announce sends a host this host's news outside the turn of probes; a lost one is made up for by the next probe.
func (e *Exchange) Announce(ctx context.Context, to protocol.Host) {
	e.mu.Lock()
	probe := protocol.Probe{From: e.Members.Self}
	e.mu.Unlock()
	e.News.Fill(&probe, to)
	if answer, err := e.Peers.Call(ctx, to.Address, &protocol.Message{Probe: &probe}); err == nil && answer.Ack != nil {
		e.News.TakeAck(answer.Ack)
	}
}

// Alive returns the hosts that are believed to live, this one included.
func (e *Exchange) Alive() []protocol.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Members.Alive()
}

// Relay returns the hosts to which this one passes on news that it had from another.
func (e *Exchange) Relay(from protocol.Host) []protocol.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Members.Relay(from)
}

// All returns all known hosts with their states.
func (e *Exchange) All() []protocol.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Members.Members()
}

// Answer answers a peer's probe; a probe that is to be passed on is answered when its target has been.
func (e *Exchange) Answer(ctx context.Context, p *protocol.Probe) *protocol.Ack {
	e.News.Take(p)
	var ack protocol.Ack
	var relay *member.Action
	e.update(func(now time.Time) []member.Action {
		var actions []member.Action
		ack, actions = e.Members.Probed(now, p)
		return slices.DeleteFunc(actions, func(a member.Action) bool {
			if a.Kind == member.ActionRelay {
				relay = &a
			}
			return a.Kind == member.ActionRelay
		})
	})
	if relay != nil {
		ack.OK = e.probe(ctx, *relay)
	}
	e.News.FillAck(&ack, p.From)
	return &ack
}

func (e *Exchange) init() { e.once.Do(func() { e.wake = make(chan struct{}, 1) }) }

func (e *Exchange) untilTick() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := e.Members.Next()
	if next.IsZero() {
		return idleTick
	}
	return max(time.Until(next), time.Millisecond)
}

// Runs one step of the decisions and carries out its actions.
func (e *Exchange) update(step func(now time.Time) []member.Action) {
	e.init()
	e.mu.Lock()
	actions := step(time.Now())
	revision := e.Members.Revision()
	changed := revision != e.revision
	e.revision = revision
	ctx := e.running
	e.mu.Unlock()
	if changed && e.Changed != nil {
		e.Changed()
	}
	// Probes outlive the message or call that led to them.
	if ctx == nil {
		ctx = context.Background()
	}
	for _, a := range actions {
		e.probing.Go(func() { _ = e.probe(ctx, a) })
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Sends a probe and reports whether it was answered.
func (e *Exchange) probe(ctx context.Context, a member.Action) bool {
	call, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	probe := a.Probe
	e.News.Fill(&probe, a.To)
	answer, err := e.Peers.Call(call, a.To.Address, &protocol.Message{Probe: &probe})
	if err != nil || answer.Ack == nil {
		e.Metrics.Counter("probes_failed").Inc(1)
		e.update(func(now time.Time) []member.Action { return e.Members.Failed(now, a) })
		return false
	}
	e.News.TakeAck(answer.Ack)
	e.update(func(now time.Time) []member.Action { return e.Members.Acked(now, answer.Ack, a) })
	return answer.Ack.OK
}
