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
	beatInterval = 250 * time.Millisecond
	// How often the members are passed on over one link: an interval for each so many of them.
	memberInterval     = time.Second
	membersPerInterval = 30
	// Pause after a connection could not be accepted, as when descriptors run out.
	acceptPause = 50 * time.Millisecond
	// How often asks that wait are looked at again.
	settleInterval = 20 * time.Millisecond
	// A link that carries nothing but answers to beats is closed after this time.
	idleTimeout = 6 * time.Second
)

// Run exchanges beats with other hosts and accepts theirs on listener until ctx ends.
func (d *Desk) Run(ctx context.Context, listener net.Listener) error {
	go d.accept(listener)
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	poll := time.NewTicker(settleInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = listener.Close()
			d.closeAll()
			return ctx.Err()
		case <-beat.C:
			d.tick(ctx)
		case <-poll.C:
			d.poll()
		}
	}
}

// Leave tells the others that this host stops soon and plans for no one.
func (d *Desk) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Roster.SetLeaving()
	now := steady.Now()
	for p := range d.inbound {
		d.sendBeat(now, p, true)
	}
	d.choose(now)
}

func (d *Desk) poll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.local.Waiting() > 0 {
		d.settle(steady.Now())
	}
}

func (d *Desk) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.links {
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

// serve handles the messages of a link until it ends.
func (d *Desk) serve(p *peer) {
	err := p.link.Run(func(m *link.Message) { d.handle(p, m) })
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	if d.inbound[p] {
		delete(d.inbound, p)
		if p.address.IsValid() && !d.hasInbound(p.address) {
			d.local.HostLost(now, p.address.String())
			d.settle(now)
		}
		return
	}
	if d.links[p.address] == p {
		d.drop(now, p, err)
	}
}

// drop forgets the link to a host that can't be reached, and chooses the planner anew.
func (d *Desk) drop(now time.Time, p *peer, err error) {
	delete(d.links, p.address)
	if d.Roster.Failed(now, p.address) {
		d.Log.Warn("host_lost", slog.String("peer", p.address.String()), slog.String("error", err.Error()))
	}
	d.choose(now)
}

func (d *Desk) hasInbound(address netip.AddrPort) bool {
	for p := range d.inbound {
		if p.address == address {
			return true
		}
	}
	return false
}

// tick contacts the hosts that are due and chooses the planner.
func (d *Desk) tick(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	for _, m := range d.Roster.Lost(now) {
		d.Log.Warn("host_lost", slog.String("peer", m.Address.String()), slog.String("error", "no answer"))
		if p := d.links[m.Address]; p != nil && p.link != nil {
			delete(d.links, m.Address)
			p.link.Close()
		}
	}
	d.choose(now)
	d.Meters.Gauge("hosts").Update(float64(d.Roster.Size()))
	d.Meters.Gauge("asks_waiting").Update(float64(d.local.Waiting()))
	for _, address := range d.Roster.Contacts(now) {
		d.Roster.Asked(now, address)
		d.contact(ctx, now, address)
	}
	for address, p := range d.links {
		if p.link != nil && address != d.current && now.Sub(p.idleSince) > idleTimeout {
			delete(d.links, address)
			p.link.Close()
		}
	}
}

// contact sends a beat to the host at address, after connecting if need be.
func (d *Desk) contact(ctx context.Context, now time.Time, address netip.AddrPort) {
	p := d.links[address]
	if p == nil {
		p = &peer{address: address, dialing: true}
		d.links[address] = p
		go d.dial(ctx, p)
		return
	}
	if p.dialing {
		return
	}
	p.idleSince = now
	d.sendBeat(now, p, false)
}

func (d *Desk) dial(ctx context.Context, p *peer) {
	l, err := link.Dial(ctx, p.address)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	p.dialing = false
	if err != nil {
		d.drop(now, p, err)
		return
	}
	p.link = l
	p.idleSince = now
	go d.serve(p)
	d.sendBeat(now, p, false)
	if p.address == d.current {
		d.sync(now, p)
	}
}

// choose takes the planner that the roster names and tells it what is under way.
func (d *Desk) choose(now time.Time) {
	m := d.Roster.Planner(now)
	if m.Address == d.current {
		return
	}
	d.Log.Event("planner_chosen", slog.String("planner", m.Address.String()), slog.String("before", d.current.String()),
		slog.Int("hosts", d.Roster.Size()))
	d.current = m.Address
	if d.current == d.self() {
		d.adopt(now, d.self().String(), d.sums(now))
		d.settle(now)
		return
	}
	if p := d.plannerLink(); p != nil {
		d.sync(now, p)
	}
}

// sync tells a new planner about all requests under way.
func (d *Desk) sync(now time.Time, p *peer) {
	p.link.Send(&link.Message{Sync: &link.Sync{Whole: true, Held: d.sums(now)}})
}

// sums returns the requests under way with their remaining times.
func (d *Desk) sums(now time.Time) []planner.Held {
	all := make([]planner.Held, 0, len(d.held))
	for _, h := range d.held {
		one := h.held
		one.Ask.Elapse(now.Sub(h.asked))
		all = append(all, one)
	}
	return all
}

func (d *Desk) adopt(now time.Time, host string, all []planner.Held) {
	for _, h := range all {
		h.Ask.Host = host
		d.local.Adopt(now, h)
	}
}

func (d *Desk) sendBeat(now time.Time, p *peer, isReply bool) {
	config, list := d.Feed.Has()
	b := &link.Beat{
		Stamp:          now.UnixNano(),
		Host:           d.Roster.Self(),
		ConfigRevision: config,
		ListDigest:     list,
		Reply:          isReply,
	}
	if isReply && now.Sub(p.toldAt) >= memberInterval*time.Duration(1+d.Roster.Size()/membersPerInterval) {
		p.toldAt = now
		b.Members = d.Roster.Members(now)
	}
	if p.stamp != 0 {
		b.Echo = p.stamp
		state := d.Feed.Export(p.stampAt, p.config, p.list)
		b.State = &state
	}
	p.link.Send(&link.Message{Beat: b})
}

// handle takes one message of a peer.
func (d *Desk) handle(p *peer, m *link.Message) {
	if m.Beat != nil {
		d.handleBeat(p, m.Beat)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	host := p.address.String()
	switch {
	case m.Ask != nil:
		d.handleAsk(now, p, *m.Ask)
	case m.Answer != nil:
		d.deliver(*m.Answer)
	case m.Queued != "":
		if wait := d.asks[m.Queued]; wait != nil {
			select {
			case wait <- reply{queued: true}:
			default:
			}
		}
	case m.Silent != nil:
		patience := d.local.Patience(now, host, m.Silent.ID)
		p.link.Send(&link.Message{Patience: &link.Silence{ID: m.Silent.ID, Patience: patience}})
	case m.Patience != nil:
		if wait := d.silent[m.Patience.ID]; wait != nil {
			delete(d.silent, m.Patience.ID)
			wait <- m.Patience.Patience
		}
	case m.Started != nil:
		d.local.Started(now, host, m.Started.ID)
	case m.Ended != nil:
		d.local.Ended(now, host, m.Ended.ID, m.Ended.Outcome)
	case m.Sync != nil:
		if m.Sync.Whole {
			d.local.HostLost(now, host)
		}
		d.adopt(now, host, m.Sync.Held)
	}
	d.settle(now)
}

func (d *Desk) handleAsk(now time.Time, p *peer, a planner.Ask) {
	a.Host = p.address.String()
	key := a.Host + "/" + a.ID
	d.queued[key] = true
	d.local.Ask(now, a)
	d.settle(now)
	if d.queued[key] {
		delete(d.queued, key)
		p.link.Send(&link.Message{Queued: a.ID})
	}
}

func (d *Desk) handleBeat(p *peer, b *link.Beat) {
	now := steady.Now()
	if b.Echo != 0 && b.State != nil {
		d.Feed.Import(time.Unix(0, b.Echo), *b.State)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p.address = b.Host.Address
	p.stamp = b.Stamp
	p.stampAt = now
	p.config = b.ConfigRevision
	p.list = b.ListDigest
	if d.Roster.Heard(now, b.Host) {
		d.Log.Event("host_regained", slog.String("peer", b.Host.Address.String()))
	}
	d.Roster.Learn(now, without(b.Members, b.Host.Address))
	if !b.Reply {
		d.sendBeat(now, p, true)
	}
	d.choose(now)
}

func without(members []roster.Member, address netip.AddrPort) []roster.Member {
	kept := members[:0]
	for _, m := range members {
		if m.Address != address {
			kept = append(kept, m)
		}
	}
	return kept
}
