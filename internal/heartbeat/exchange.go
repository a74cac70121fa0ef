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

// Peers sends messages to other hosts and returns their answers.
type Peers interface {
	Call(ctx context.Context, to netip.AddrPort, m *protocol.Message) (*protocol.Message, error)
}

// Gossip is the gossip that hosts send with probes and their answers.
type Gossip interface {
	// FillProbe adds this host's gossip to a probe of the host to.
	FillProbe(p *protocol.Probe, to protocol.Host)
	// FillAck adds this host's gossip to the answer to a probe from the host to.
	FillAck(a *protocol.Ack, to protocol.Host)
	// HandleProbe handles the gossip in a probe from a peer.
	HandleProbe(p *protocol.Probe)
	// HandleAck handles the gossip in a peer's answer to a probe.
	HandleAck(a *protocol.Ack)
}

// Exchange carries out the probes that the member list decides on and answers the probes of other hosts.
type Exchange struct {
	Members  *member.List
	Peers    Peers
	Gossip   Gossip
	OnChange func() // called after the membership has changed; may be nil
	Metrics  tally.Scope

	mu         sync.Mutex      // guards Members, revision and runContext
	revision   uint64          // revision of Members after the last update
	wake       chan struct{}   // signals to Run that the next tick may be due earlier
	once       sync.Once       // guards the creation of wake
	runContext context.Context // context of Run; nil before Run is called
	probes     sync.WaitGroup  // probes in progress
}

// initialTickInterval is the wait for the next tick while the member list is not initialized.
const initialTickInterval = time.Second

// Run probes other hosts, beginning with the seeds, until ctx ends. It returns nil after all probes have ended.
func (e *Exchange) Run(ctx context.Context, seeds []netip.AddrPort) error {
	e.init()
	e.mu.Lock()
	e.runContext = ctx
	e.mu.Unlock()
	defer e.probes.Wait()
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

// SetPlatformHosts passes a new copy of the platform's host list to the member list.
func (e *Exchange) SetPlatformHosts(hosts []platformapi.Host) {
	e.update(func(now time.Time) []member.Action {
		e.Members.SetPlatformHosts(now, hosts)
		return nil
	})
}

// Leave announces to the other hosts that this host takes on no roles any more.
func (e *Exchange) Leave() {
	e.update(e.Members.Leave)
}

// SendGossip sends this host's gossip to another host at once instead of with the next probe. Failures are ignored,
// because the next probe carries the gossip again.
func (e *Exchange) SendGossip(ctx context.Context, to protocol.Host) {
	e.mu.Lock()
	probe := protocol.Probe{From: e.Members.Self}
	e.mu.Unlock()
	e.Gossip.FillProbe(&probe, to)
	if answer, err := e.Peers.Call(ctx, to.Address, &protocol.Message{Probe: &probe}); err == nil && answer.Ack != nil {
		e.Gossip.HandleAck(answer.Ack)
	}
}

// Alive returns the hosts that are considered alive, including this host.
func (e *Exchange) Alive() []protocol.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Members.Alive()
}

// RelayTargets returns the hosts to which this host forwards gossip that it received from another host.
func (e *Exchange) RelayTargets(from protocol.Host) []protocol.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Members.RelayTargets(from)
}

// AllMembers returns all known hosts with their states.
func (e *Exchange) AllMembers() []protocol.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Members.Members()
}

// HandleProbe handles a peer's probe and returns the answer. If the probe asks this host to probe another one,
// HandleProbe returns after that host has answered or the probe has timed out.
func (e *Exchange) HandleProbe(ctx context.Context, p *protocol.Probe) *protocol.Ack {
	e.Gossip.HandleProbe(p)
	var ack protocol.Ack
	var relay *member.Action
	e.update(func(now time.Time) []member.Action {
		var actions []member.Action
		ack, actions = e.Members.HandleProbe(now, p)
		return slices.DeleteFunc(actions, func(a member.Action) bool {
			if a.Kind == member.ActionRelay {
				relay = &a
			}
			return a.Kind == member.ActionRelay
		})
	})
	if relay != nil {
		ack.TargetAnswered = e.probe(ctx, *relay)
	}
	e.Gossip.FillAck(&ack, p.From)
	return &ack
}

func (e *Exchange) init() { e.once.Do(func() { e.wake = make(chan struct{}, 1) }) }

// untilTick returns the time until the next tick is due, at least 1 ms.
func (e *Exchange) untilTick() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := e.Members.Next()
	if next.IsZero() {
		return initialTickInterval
	}
	return max(time.Until(next), time.Millisecond)
}

// update runs one step of the member list, calls OnChange if the membership has changed, and starts to carry out
// the actions that the step returned.
func (e *Exchange) update(step func(now time.Time) []member.Action) {
	e.init()
	e.mu.Lock()
	actions := step(time.Now())
	revision := e.Members.Revision()
	changed := revision != e.revision
	e.revision = revision
	ctx := e.runContext
	e.mu.Unlock()
	if changed && e.OnChange != nil {
		e.OnChange()
	}
	// Probes use the context of Run, so that they continue after the message or call that caused them has ended.
	if ctx == nil {
		ctx = context.Background()
	}
	for _, a := range actions {
		e.probes.Go(func() { _ = e.probe(ctx, a) })
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// probe sends the probe of an action, reports the result to the member list and returns whether the probe was
// answered with OK set.
func (e *Exchange) probe(ctx context.Context, a member.Action) bool {
	call, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	probe := a.Probe
	e.Gossip.FillProbe(&probe, a.To)
	answer, err := e.Peers.Call(call, a.To.Address, &protocol.Message{Probe: &probe})
	if err != nil || answer.Ack == nil {
		e.Metrics.Counter("probes_failed").Inc(1)
		e.update(func(now time.Time) []member.Action { return e.Members.HandleFailure(now, a) })
		return false
	}
	e.Gossip.HandleAck(answer.Ack)
	e.update(func(now time.Time) []member.Action { return e.Members.HandleAck(now, answer.Ack, a) })
	return answer.Ack.TargetAnswered
}
