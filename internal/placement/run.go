package placement

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/account"
	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/internal/tunnel"
)

const (
	heartbeatInterval = 250 * time.Millisecond
	// The pause after a connection could not be accepted, for example because file descriptors ran out.
	acceptPause = 50 * time.Millisecond
	// How long another host may take to send something on a connection that it has opened.
	firstByteTimeout = 8 * time.Second
	// What an accepted connection takes before its first message: its goroutine and buffers.
	newcomerBytes = 16 << 10
	// How often the local planner is polled while placement requests wait there.
	pollInterval = 20 * time.Millisecond
	// A connection to a host other than the planner is closed if tick has not chosen the host as a contact for this
	// time.
	idleTimeout = 6 * time.Second
	// A host that has been its own planner for this time lets requests through whose quarantine is over.
	probingDelay = 10 * time.Second
)

// Run exchanges heartbeats and placement messages with other hosts until ctx ends; it accepts their connections on
// listener. It returns the error of ctx after it has closed the listener and all connections.
func (c *Client) Run(ctx context.Context, listener net.Listener) error {
	go c.accept(listener)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = listener.Close()
			c.closeLinks()
			return ctx.Err()
		case <-heartbeat.C:
			c.tick(ctx)
		case <-poll.C:
			c.pollPlanner()
		}
	}
}

// AnnounceStop notifies the hosts that have connected to this one that it stops soon and must not be their planner. It
// also chooses another planner for this host, if there is one.
func (c *Client) AnnounceStop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Roster.SetStopping()
	now := steady.Now()
	for p := range c.inbound {
		c.sendHeartbeat(now, p, true)
	}
	c.choosePlanner(now)
}

// pollPlanner sends the results on which the local planner can decide by now, if requests wait there.
func (c *Client) pollPlanner() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.localPlanner.Waiting() > 0 {
		c.sendResults(steady.Now())
	}
}

func (c *Client) closeLinks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.outbound {
		if p.link != nil {
			p.link.Close()
		}
	}
	for p := range c.inbound {
		p.link.Close()
	}
}

func (c *Client) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.Log.Warn("accept_failed", slog.String("error", err.Error()))
			time.Sleep(acceptPause)
			continue
		}
		go c.serveAccepted(conn)
	}
}

// serveAccepted serves a connection that another host has opened: a tunnel to a backend server, or one for messages.
func (c *Client) serveAccepted(conn net.Conn) {
	newcomer, ok := c.openNewcomer(conn)
	if !ok {
		_ = conn.Close()
		return
	}
	if newcomer != nil {
		defer newcomer.Close()
	}
	tcp, ok := conn.(*net.TCPConn)
	if ok && c.ServeTunnel != nil {
		_ = tcp.SetReadDeadline(time.Now().Add(firstByteTimeout))
		first, err := netconn.FirstByte(tcp)
		if err != nil {
			_ = conn.Close()
			return
		}
		if first == tunnel.FirstByte {
			if newcomer != nil {
				newcomer.Close()
			}
			c.ServeTunnel(tcp)
			return
		}
	}
	p := &peerLink{link: link.New(conn)}
	if newcomer != nil {
		p.link.Newcomer = newcomer
	}
	c.mu.Lock()
	c.inbound[p] = true
	c.mu.Unlock()
	c.serve(p)
}

// openNewcomer adds an accepted connection to Newcomers, if the client has it, and reports whether there is room for it.
func (c *Client) openNewcomer(conn net.Conn) (*account.Entry, bool) {
	if c.Newcomers == nil {
		return nil, true
	}
	address, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	e := c.Newcomers.Open(address.Addr(), newcomerBytes, func() { _ = conn.Close() })
	return e, e != nil
}

// serve handles the messages of a connection until it ends. When a host's newest accepted connection ends, the local
// planner drops the requests of that host; when a connection that this host opened ends and tick has not removed it,
// the other host counts as lost.
func (c *Client) serve(p *peerLink) {
	err := p.link.Run(func(m *link.Message) { c.handle(p, m) })
	c.mu.Lock()
	defer c.mu.Unlock()
	now := steady.Now()
	if c.inbound[p] {
		delete(c.inbound, p)
		if c.hostLink[p.host] == p {
			delete(c.hostLink, p.host)
			c.localPlanner.RemoveHost(now, p.host)
			c.sendResults(now)
		}
		return
	}
	if c.outbound[p.address] == p {
		c.dropLink(now, p, err)
	}
}

// dropLink removes the connection to a host that can't be reached, marks the host lost and chooses the planner again.
func (c *Client) dropLink(now time.Time, p *peerLink, err error) {
	delete(c.outbound, p.address)
	if c.Roster.MarkLost(now, p.address) {
		c.Log.Warn("host_lost", slog.String("peer", p.address.String()), slog.String("error", err.Error()))
	}
	c.choosePlanner(now)
}

// tick marks the hosts lost that did not reply in time, chooses the planner, sends heartbeats to the hosts that are due
// for one and closes idle connections.
func (c *Client) tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := steady.Now()
	c.recordPause(now)
	for _, m := range c.Roster.ExpireSilent(now) {
		c.Log.Warn("host_lost", slog.String("peer", m.Address.String()), slog.String("error", "no heartbeat reply in time"))
		if p := c.outbound[m.Address]; p != nil && p.link != nil {
			delete(c.outbound, m.Address)
			p.link.Close()
		}
	}
	c.choosePlanner(now)
	ownPlanner := c.plannerAddress == c.self()
	c.localPlanner.SetProbing(ownPlanner && now.Sub(c.plannerSince) > probingDelay)
	if ownPlanner {
		c.hostCount.record(now, c.Roster.Size())
	}
	c.updateLimitShare(now)
	c.updateFollowers(now)
	c.updatePaths(now)
	c.Metrics.Gauge("hosts").Update(float64(c.Roster.Size()))
	c.Metrics.Gauge("asks_waiting").Update(float64(c.localPlanner.Waiting()))
	for _, address := range c.Roster.Contacts(now) {
		c.Roster.RecordContact(now, address)
		c.contact(ctx, now, address)
	}
	for address, p := range c.outbound {
		if p.link != nil && address != c.plannerAddress && now.Sub(p.lastScheduled) > idleTimeout {
			delete(c.outbound, address)
			p.link.Close()
		}
	}
}

// recordPause records the time by which a call of tick at now is late, if this host has missed a heartbeat or more.
func (c *Client) recordPause(now time.Time) {
	late := now.Sub(c.lastTick) - heartbeatInterval
	if !c.lastTick.IsZero() && late > heartbeatInterval {
		c.Roster.RecordPause(late)
	}
	c.lastTick = now
}

// contact sends a heartbeat to the host at address. If there is no connection, it starts to dial it; dial then sends
// the heartbeat.
func (c *Client) contact(ctx context.Context, now time.Time, address netip.AddrPort) {
	p := c.outbound[address]
	if p == nil {
		p = &peerLink{address: address, dialing: true}
		c.outbound[address] = p
		go c.dial(ctx, p)
		return
	}
	if p.dialing {
		return
	}
	p.lastScheduled = now
	c.sendHeartbeat(now, p, false)
}

// dial connects to a peer and then sends it a heartbeat and, if it is the planner, the placed requests of this host.
func (c *Client) dial(ctx context.Context, p *peerLink) {
	l, err := link.Dial(ctx, c.Paths.DialHost, p.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := steady.Now()
	p.dialing = false
	if err != nil {
		c.dropLink(now, p, err)
		return
	}
	p.link = l
	p.lastScheduled = now
	go c.serve(p)
	c.sendHeartbeat(now, p, false)
	if p.address == c.plannerAddress {
		c.syncPlanner(now, p)
	}
}

// choosePlanner switches to the planner that the roster names. If that is a new one, it reports the placed requests in
// progress to it and submits those that wait; if the new planner isn't connected yet, the local planner plans until dial
// has connected it.
func (c *Client) choosePlanner(now time.Time) {
	m := c.Roster.Planner(now)
	if m.Address == c.plannerAddress {
		return
	}
	c.Log.Event("planner_chosen", slog.String("planner", m.Address.String()),
		slog.String("before", c.plannerAddress.String()), slog.Int("hosts", c.Roster.Size()))
	c.leavePlanner()
	c.followed.leave(now, c.plannerAddress.String(), c.plannerAddress == c.self())
	left := c.linkToPlanner()
	c.plannerAddress = m.Address
	c.plannerSince = now
	if left != nil {
		c.sendHeartbeat(now, left, false)
	}
	c.updateLimitShare(now)
	c.updateFollowers(now)
	if p := c.linkToPlanner(); p != nil {
		c.syncPlanner(now, p)
		return
	}
	c.localPlanner.ReplaceHost(now, c.self().String(), c.currentPlacements(now))
	c.resubmit(now)
	c.sendResults(now)
}

// leavePlanner tells the planner, if it can still be reached, that it no longer plans for this host.
func (c *Client) leavePlanner() {
	if p := c.linkToPlanner(); p != nil {
		p.link.Send(&link.Message{PlacementSync: &link.PlacementSync{Complete: true}})
	}
}

// syncPlanner reports all placed requests in progress and the replicas that leave to a new planner on another host, and
// submits the requests that wait. The local planner no longer plans for this host.
func (c *Client) syncPlanner(now time.Time, p *peerLink) {
	c.localPlanner.RemoveHost(now, c.self().String())
	for _, placed := range c.placed {
		placed.plannerBypassed = false
	}
	p.link.Send(&link.Message{PlacementSync: &link.PlacementSync{Complete: true, Placements: c.currentPlacements(now)}})
	c.reportLeaving(p)
	if limits := c.localPlanner.Limits().Statements(now); len(limits) > 0 {
		p.link.Send(&link.Message{Limits: limits})
	}
	if crashes := c.localPlanner.Quarantine().Crashes(now); len(crashes) > 0 {
		p.link.Send(&link.Message{Crashes: crashes})
	}
	c.resubmit(now)
}

// reportLeaving reports to another host the replicas that have announced that they leave. A host that has restarted reads
// them from the store as if they hadn't.
func (c *Client) reportLeaving(p *peerLink) {
	for _, r := range c.Cache.LeavingReplicas() {
		p.link.Send(&link.Message{Leaving: &link.Leaving{Replica: r.ID, Born: r.Born}})
	}
}

// currentPlacements returns the placed requests in progress with their remaining times.
func (c *Client) currentPlacements(now time.Time) []planner.Placement {
	placements := make([]planner.Placement, 0, len(c.placed))
	for _, placed := range c.placed {
		placements = append(placements, placed.placementAt(now))
	}
	return placements
}

// takePlacements passes the placed requests that a host reports to the local planner.
func (c *Client) takePlacements(now time.Time, host string, sync *link.PlacementSync) {
	if sync.Complete {
		c.localPlanner.ReplaceHost(now, host, sync.Placements)
		return
	}
	for _, placement := range sync.Placements {
		placement.Request.Host = host
		c.localPlanner.Restore(now, placement)
	}
}

// handle handles one message from a peer.
func (c *Client) handle(p *peerLink, m *link.Message) {
	if m.Heartbeat != nil {
		c.handleHeartbeat(p, m.Heartbeat)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := steady.Now()
	host := p.host
	switch {
	case m.Request != nil:
		c.handlePlacementRequest(now, p, *m.Request)
	case m.Result != nil:
		c.deliverFromPlanner(m.Result)
	case m.Queued != "":
		c.notifyQueued(m.Queued)
	case m.ExtraWaitQuery != nil:
		extraWait := c.localPlanner.ExtraWait(now, host, m.ExtraWaitQuery.ID)
		p.link.Send(&link.Message{ExtraWaitReply: &link.ExtraWait{ID: m.ExtraWaitQuery.ID, Wait: extraWait}})
	case m.ExtraWaitReply != nil:
		if wait := c.extraWaits[m.ExtraWaitReply.ID]; wait != nil {
			delete(c.extraWaits, m.ExtraWaitReply.ID)
			wait <- m.ExtraWaitReply.Wait
		}
	case m.Started != nil:
		c.localPlanner.Started(now, host, m.Started.ID)
	case m.Ended != nil:
		c.endLocal(now, host, *m.Ended)
	case m.Leaving != nil:
		c.Cache.MarkLeaving(m.Leaving.Replica, m.Leaving.Born)
	case m.Misdirected != nil:
		c.localPlanner.Misdirected(now, host, *m.Misdirected)
	case m.PlacementSync != nil:
		c.takePlacements(now, host, m.PlacementSync)
	case len(m.Limits) > 0:
		c.mergeLimits(now, m.Limits)
	case len(m.Crashes) > 0:
		for i := range m.Crashes {
			c.localPlanner.Quarantine().Crashed(now, m.Crashes[i])
		}
	}
	c.sendResults(now)
}

// handlePlacementRequest passes a placement request from a peer to the local planner. If the planner can't decide at
// once, the peer is notified that the request is queued, so that it does not time out.
func (c *Client) handlePlacementRequest(now time.Time, p *peerLink, req planner.Request) {
	req.Host = p.host
	key := req.Host + "/" + req.ID
	c.inSubmit[key] = true
	c.localPlanner.Submit(now, req)
	c.sendResults(now)
	if c.inSubmit[key] {
		delete(c.inSubmit, key)
		p.link.Send(&link.Message{Queued: req.ID})
	}
}
