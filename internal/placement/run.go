package placement

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/roster"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	heartbeatInterval = 250 * time.Millisecond
	// The list of members is sent over one connection every (1 + members/membersPerInterval) * membersInterval, so that
	// long lists are sent less often.
	membersInterval    = time.Second
	membersPerInterval = 30
	// The pause after a connection could not be accepted, for example because file descriptors ran out.
	acceptPause = 50 * time.Millisecond
	// How often the local planner is polled while placement requests wait there.
	pollInterval = 20 * time.Millisecond
	// A connection to a host other than the planner is closed if this host sent no heartbeat that was due for this time.
	idleTimeout = 6 * time.Second
)

// Run exchanges heartbeats and placement messages with other hosts until ctx ends; it accepts their connections on
// listener. It returns the error of ctx after it has closed the listener and all connections.
func (d *Desk) Run(ctx context.Context, listener net.Listener) error {
	go d.accept(listener)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = listener.Close()
			d.closeLinks()
			return ctx.Err()
		case <-heartbeat.C:
			d.tick(ctx)
		case <-poll.C:
			d.pollPlanner()
		}
	}
}

// Leave notifies the hosts that have connected to this one that it stops soon and must not be their planner. It also
// chooses another planner for this host, if there is one.
func (d *Desk) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Roster.SetLeaving()
	now := steady.Now()
	for p := range d.inbound {
		d.sendHeartbeat(now, p, true)
	}
	d.choosePlanner(now)
}

// pollPlanner sends the results on which the local planner can decide by now, if requests wait there.
func (d *Desk) pollPlanner() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.localPlanner.Waiting() > 0 {
		d.sendResults(steady.Now())
	}
}

func (d *Desk) closeLinks() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.outbound {
		if p.link != nil {
			p.link.Close()
		}
	}
	for p := range d.inbound {
		p.link.Close()
	}
}

func (d *Desk) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.Log.Warn("accept_failed", slog.String("error", err.Error()))
			time.Sleep(acceptPause)
			continue
		}
		p := &peer{link: link.New(c)}
		d.mu.Lock()
		d.inbound[p] = true
		d.mu.Unlock()
		go d.serve(p)
	}
}

// serve handles the messages of a connection until it ends. When a host's last accepted connection ends, the local
// planner drops the requests of that host; when a connection that this host opened ends, the other host counts as lost.
func (d *Desk) serve(p *peer) {
	err := p.link.Run(func(m *link.Message) { d.handle(p, m) })
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	if d.inbound[p] {
		delete(d.inbound, p)
		if p.address.IsValid() && !d.hasInbound(p.address) {
			d.localPlanner.HostLost(now, p.address.String())
			d.sendResults(now)
		}
		return
	}
	if d.outbound[p.address] == p {
		d.dropLink(now, p, err)
	}
}

// dropLink removes the connection to a host that can't be reached, marks the host lost and chooses the planner again.
func (d *Desk) dropLink(now time.Time, p *peer, err error) {
	delete(d.outbound, p.address)
	if d.Roster.Failed(now, p.address) {
		d.Log.Warn("host_lost", slog.String("peer", p.address.String()), slog.String("error", err.Error()))
	}
	d.choosePlanner(now)
}

// hasInbound reports whether a connection accepted from the host at address is open.
func (d *Desk) hasInbound(address netip.AddrPort) bool {
	for p := range d.inbound {
		if p.address == address {
			return true
		}
	}
	return false
}

// tick marks the hosts lost that did not reply in time, chooses the planner, sends heartbeats to the hosts that are due
// for one and closes idle connections.
func (d *Desk) tick(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	for _, m := range d.Roster.Lost(now) {
		d.Log.Warn("host_lost", slog.String("peer", m.Address.String()), slog.String("error", "no heartbeat reply in time"))
		if p := d.outbound[m.Address]; p != nil && p.link != nil {
			delete(d.outbound, m.Address)
			p.link.Close()
		}
	}
	d.choosePlanner(now)
	d.Meters.Gauge("hosts").Update(float64(d.Roster.Size()))
	d.Meters.Gauge("asks_waiting").Update(float64(d.localPlanner.Waiting()))
	for _, address := range d.Roster.Contacts(now) {
		d.Roster.Asked(now, address)
		d.contact(ctx, now, address)
	}
	for address, p := range d.outbound {
		if p.link != nil && address != d.plannerAddress && now.Sub(p.lastContact) > idleTimeout {
			delete(d.outbound, address)
			p.link.Close()
		}
	}
}

// contact sends a heartbeat to the host at address. If there is no connection, it starts to dial it; dial then sends
// the heartbeat.
func (d *Desk) contact(ctx context.Context, now time.Time, address netip.AddrPort) {
	p := d.outbound[address]
	if p == nil {
		p = &peer{address: address, dialing: true}
		d.outbound[address] = p
		go d.dial(ctx, p)
		return
	}
	if p.dialing {
		return
	}
	p.lastContact = now
	d.sendHeartbeat(now, p, false)
}

// dial connects to a peer and then sends it a heartbeat and, if it is the planner, the placed requests of this host.
func (d *Desk) dial(ctx context.Context, p *peer) {
	l, err := link.Dial(ctx, p.address)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	p.dialing = false
	if err != nil {
		d.dropLink(now, p, err)
		return
	}
	p.link = l
	p.lastContact = now
	go d.serve(p)
	d.sendHeartbeat(now, p, false)
	if p.address == d.plannerAddress {
		d.syncPlanner(now, p)
	}
}

// choosePlanner switches to the planner that the roster names. If that is a new one, it reports the placed requests in
// progress to it; if the new planner isn't connected yet, dial does so.
func (d *Desk) choosePlanner(now time.Time) {
	m := d.Roster.Planner(now)
	if m.Address == d.plannerAddress {
		return
	}
	d.Log.Event("planner_chosen", slog.String("planner", m.Address.String()),
		slog.String("before", d.plannerAddress.String()), slog.Int("hosts", d.Roster.Size()))
	d.plannerAddress = m.Address
	if d.plannerAddress == d.self() {
		d.restore(now, d.self().String(), d.currentPlacements(now))
		d.sendResults(now)
		return
	}
	if p := d.plannerLink(); p != nil {
		d.syncPlanner(now, p)
	}
}

// syncPlanner sends all placed requests in progress to a new planner.
func (d *Desk) syncPlanner(now time.Time, p *peer) {
	p.link.Send(&link.Message{Sync: &link.Sync{Whole: true, Held: d.currentPlacements(now)}})
}

// currentPlacements returns the placed requests in progress with their remaining times.
func (d *Desk) currentPlacements(now time.Time) []planner.Held {
	placements := make([]planner.Held, 0, len(d.placed))
	for _, h := range d.placed {
		placement := h.placement
		placement.Ask.Elapse(now.Sub(h.requestedAt))
		placements = append(placements, placement)
	}
	return placements
}

// restore gives the local planner the requests of host that another planner placed.
func (d *Desk) restore(now time.Time, host string, placements []planner.Held) {
	for _, h := range placements {
		h.Ask.Host = host
		d.localPlanner.Adopt(now, h)
	}
}

// sendHeartbeat sends a heartbeat to a peer. A reply may carry the list of members. If the peer has sent a heartbeat
// before, the heartbeat also carries this host's state, without the configuration and replicas that the peer has.
func (d *Desk) sendHeartbeat(now time.Time, p *peer, isReply bool) {
	configRevision, listDigest := d.Feed.Has()
	b := &link.Beat{
		Stamp:          now.UnixNano(),
		Host:           d.Roster.Self(),
		ConfigRevision: configRevision,
		ListDigest:     listDigest,
		Reply:          isReply,
	}
	if isReply && now.Sub(p.membersSentAt) >= membersInterval*time.Duration(1+d.Roster.Size()/membersPerInterval) {
		p.membersSentAt = now
		b.Members = d.Roster.Members(now)
	}
	if p.lastStamp != 0 {
		b.Echo = p.lastStamp
		state := d.Feed.Export(p.lastStampAt, p.configRevision, p.listDigest)
		b.State = &state
	}
	p.link.Send(&link.Message{Beat: b})
}

// handle handles one message from a peer.
func (d *Desk) handle(p *peer, m *link.Message) {
	if m.Beat != nil {
		d.handleHeartbeat(p, m.Beat)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	host := p.address.String()
	switch {
	case m.Ask != nil:
		d.handlePlacementRequest(now, p, *m.Ask)
	case m.Answer != nil:
		d.deliver(*m.Answer)
	case m.Queued != "":
		if replies := d.pending[m.Queued]; replies != nil {
			select {
			case replies <- reply{queued: true}:
			default:
			}
		}
	case m.Silent != nil:
		extraWait := d.localPlanner.Patience(now, host, m.Silent.ID)
		p.link.Send(&link.Message{Patience: &link.Silence{ID: m.Silent.ID, Patience: extraWait}})
	case m.Patience != nil:
		if wait := d.extraWaits[m.Patience.ID]; wait != nil {
			delete(d.extraWaits, m.Patience.ID)
			wait <- m.Patience.Patience
		}
	case m.Started != nil:
		d.localPlanner.Started(now, host, m.Started.ID)
	case m.Ended != nil:
		d.localPlanner.Ended(now, host, m.Ended.ID, m.Ended.Outcome)
	case m.Sync != nil:
		if m.Sync.Whole {
			d.localPlanner.HostLost(now, host)
		}
		d.restore(now, host, m.Sync.Held)
	}
	d.sendResults(now)
}

// handlePlacementRequest passes a placement request from a peer to the local planner. If the planner can't decide at
// once, the peer is notified that the request is queued, so that it does not time out.
func (d *Desk) handlePlacementRequest(now time.Time, p *peer, a planner.Ask) {
	a.Host = p.address.String()
	key := a.Host + "/" + a.ID
	d.unanswered[key] = true
	d.localPlanner.Ask(now, a)
	d.sendResults(now)
	if d.unanswered[key] {
		delete(d.unanswered, key)
		p.link.Send(&link.Message{Queued: a.ID})
	}
}

// handleHeartbeat takes over the state and members in a heartbeat, and replies unless it is a reply itself.
func (d *Desk) handleHeartbeat(p *peer, b *link.Beat) {
	now := steady.Now()
	if b.Echo != 0 && b.State != nil {
		d.Feed.Import(time.Unix(0, b.Echo), *b.State)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p.address = b.Host.Address
	p.lastStamp = b.Stamp
	p.lastStampAt = now
	p.configRevision = b.ConfigRevision
	p.listDigest = b.ListDigest
	if d.Roster.Heard(now, b.Host) {
		d.Log.Event("host_regained", slog.String("peer", b.Host.Address.String()))
	}
	d.Roster.Learn(now, withoutAddress(b.Members, b.Host.Address))
	if !b.Reply {
		d.sendHeartbeat(now, p, true)
	}
	d.choosePlanner(now)
}

// withoutAddress removes the member with the given address from members, in place.
func withoutAddress(members []roster.Member, address netip.AddrPort) []roster.Member {
	kept := members[:0]
	for _, m := range members {
		if m.Address != address {
			kept = append(kept, m)
		}
	}
	return kept
}
