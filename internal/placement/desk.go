package placement

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/roster"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// A planner that neither answers an ask nor says that it waits within this time is passed over.
	askTimeout = 80 * time.Millisecond
	// Marks the id of an ask that is planned here because the planner did not answer.
	localSuffix = "~"
)

// Desk is an entry host's way to its planner; its fields must be set before Run.
type Desk struct {
	Roster *roster.Roster // used under the desk's lock only
	Feed   *feed.Feed
	Log    *eventlog.Log
	Meters tally.Scope

	mu      sync.Mutex
	local   *planner.Planner
	current netip.AddrPort // the host that plans for this one
	links   map[netip.AddrPort]*peer
	asks    map[string]chan reply
	held    map[string]*held
	silent  map[string]chan time.Duration
	queued  map[string]bool // asks of other hosts that were told to wait
	inbound map[*peer]bool
}

// peer is a link with what its beats have told.
type peer struct {
	link      *link.Link
	address   netip.AddrPort // of the host at the other end; invalid until it has told it
	stamp     int64          // the newest of the other end
	stampAt   time.Time
	config    int64 // what the other end has
	list      uint64
	dialing   bool
	idleSince time.Time
	toldAt    time.Time // when the members were last passed on
}

// held is a request under way, for telling a new planner.
type held struct {
	held  planner.Held
	asked time.Time
	local bool // planned here though another host plans
}

type reply struct {
	answer planner.Answer
	queued bool
}

// Init makes the desk's state; it must be called before any other method.
func (d *Desk) Init() {
	d.local = planner.New()
	d.links = make(map[netip.AddrPort]*peer)
	d.asks = make(map[string]chan reply)
	d.held = make(map[string]*held)
	d.queued = make(map[string]bool)
	d.silent = make(map[string]chan time.Duration)
	d.inbound = make(map[*peer]bool)
	d.current = d.self()
}

func (d *Desk) self() netip.AddrPort { return d.Roster.Self().Address }

// plannerLink returns the link to the host that plans for this one, or nil if that is this host or it isn't connected.
func (d *Desk) plannerLink() *peer {
	p := d.links[d.current]
	if d.current == d.self() || p == nil || p.link == nil {
		return nil
	}
	return p
}

// Hosts returns how many entry hosts there are, as far as this one knows.
func (d *Desk) Hosts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Roster.Size()
}

// Members returns the addresses of the entry hosts that this one knows, itself first.
func (d *Desk) Members() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses := []netip.AddrPort{d.self()}
	for _, m := range d.Roster.Members(steady.Now()) {
		if m.Address != d.self() {
			addresses = append(addresses, m.Address)
		}
	}
	slices.SortFunc(addresses[1:], netip.AddrPort.Compare)
	return addresses
}

// Waiting returns how many asks wait at this host's planner.
func (d *Desk) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.local.Waiting()
}

// AddSeeds adds hosts that may know others.
func (d *Desk) AddSeeds(seeds []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Roster.AddSeeds(seeds)
}

// Alone tells whether no other host has been heard for limit.
func (d *Desk) Alone(limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Roster.Alone(steady.Now(), limit)
}

// Plans tells whether this host plans for itself, and so perhaps for others.
func (d *Desk) Plans() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current == d.self()
}

// Planner returns the host that plans for this one.
func (d *Desk) Planner() netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// MaxAge returns how old this host's knowledge of the store may become before it reads the store itself: the planner
// reads always, the others in the order in which they would plan.
func (d *Desk) MaxAge() time.Duration {
	const (
		first = 1000 * time.Millisecond
		step  = 40 * time.Millisecond
		last  = 1600 * time.Millisecond
	)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == d.self() {
		return 0
	}
	return min(first+time.Duration(d.Roster.Rank())*step, last)
}

// Update gives the local planner the configuration and replicas in force, and tells peers about them at once.
func (d *Desk) Update() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	replicas := d.Feed.Replicas()
	d.local.SetEngines(engines(d.Feed.Catalog(), replicas))
	d.local.SetReplicas(now, replicas)
	d.settle(now)
	for p := range d.inbound {
		d.sendBeat(now, p, true)
	}
	if p := d.plannerLink(); p != nil {
		d.sendBeat(now, p, false)
	}
}

func engines(c *catalog.Catalog, replicas []replica.Replica) map[string]*catalog.Engine {
	found := make(map[string]*catalog.Engine)
	if c == nil {
		return found
	}
	for _, r := range replicas {
		if s := c.Service(r.Service); s != nil && s.Engine != nil {
			found[r.Service] = s.Engine
		}
	}
	return found
}

// Ask returns the planner's answer. Its id in the answer is the one for Started and Ended.
func (d *Desk) Ask(ctx context.Context, a planner.Ask) (planner.Answer, error) {
	asked := steady.Now()
	wait := make(chan reply, 2)
	a.Host = d.self().String()
	d.mu.Lock()
	d.asks[a.ID] = wait
	remote := d.send(a)
	d.mu.Unlock()
	answer, ok := d.await(ctx, wait, remote)
	if !ok && ctx.Err() == nil {
		d.Meters.Counter("planner_passed_over").Inc(1)
		d.Log.Warn("planner_passed_over", slog.String("request_id", a.ID), slog.String("planner", d.Planner().String()),
			eventlog.Milliseconds("waited_ms", steady.Now().Sub(asked)))
		a, wait = d.askLocally(a, asked)
		answer, ok = d.await(ctx, wait, false)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.asks, a.ID)
	if !ok {
		d.tellEnded(a.ID, planner.OutcomeCanceled)
		return planner.Answer{}, ctx.Err()
	}
	if answer.Plan != nil {
		d.hold(a, answer, asked)
	}
	return answer, nil
}

// send passes an ask to the planner and tells whether that is another host.
func (d *Desk) send(a planner.Ask) bool {
	if p := d.plannerLink(); p != nil && !p.link.Closed() {
		p.link.Send(&link.Message{Ask: &a})
		return true
	}
	now := steady.Now()
	d.local.Ask(now, a)
	d.settle(now)
	return false
}

func (d *Desk) askLocally(a planner.Ask, asked time.Time) (planner.Ask, chan reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.asks, a.ID)
	passed := steady.Now().Sub(asked)
	a.ID += localSuffix
	a.Elapse(passed)
	wait := make(chan reply, 2)
	d.asks[a.ID] = wait
	now := steady.Now()
	d.local.Ask(now, a)
	d.settle(now)
	return a, wait
}

// await returns the answer, or false if it is not coming.
func (d *Desk) await(ctx context.Context, wait chan reply, remote bool) (planner.Answer, bool) {
	var timeout <-chan time.Time
	if remote {
		timer := time.NewTimer(askTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		select {
		case r := <-wait:
			if !r.queued {
				return r.answer, r.answer.Plan != nil || r.answer.Refusal != nil
			}
			timeout = nil
		case <-timeout:
			return planner.Answer{}, false
		case <-ctx.Done():
			return planner.Answer{}, false
		}
	}
}

func (d *Desk) hold(a planner.Ask, answer planner.Answer, asked time.Time) {
	h := &held{
		held:  planner.Held{Ask: a, Replica: answer.Plan.Replica.ID, Helpers: answer.Plan.Helpers},
		asked: asked,
	}
	d.held[a.ID] = h
	if !strings.HasSuffix(a.ID, localSuffix) {
		return
	}
	h.local = true
	if p := d.plannerLink(); p != nil {
		p.link.Send(&link.Message{Sync: &link.Sync{Held: []planner.Held{h.held}}})
	}
}

// Started tells the planner that the first event of the request with the given id came.
func (d *Desk) Started(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.held[id]
	if h == nil {
		return
	}
	h.held.Writing = true
	now := steady.Now()
	if d.current == d.self() || h.local {
		d.local.Started(now, d.self().String(), id)
		d.settle(now)
	}
	if p := d.plannerLink(); p != nil {
		p.link.Send(&link.Message{Started: &link.Report{ID: id}})
	}
}

// Patience asks the planner how much longer nothing may come for the request with the given id; 0 means that its server
// seems to be gone.
func (d *Desk) Patience(ctx context.Context, id string) time.Duration {
	d.mu.Lock()
	h := d.held[id]
	p := d.plannerLink()
	if h == nil || h.local || p == nil {
		defer d.mu.Unlock()
		return d.local.Patience(steady.Now(), d.self().String(), id)
	}
	wait := make(chan time.Duration, 1)
	d.silent[id] = wait
	p.link.Send(&link.Message{Silent: &link.Silence{ID: id}})
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.silent, id)
	}()
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case patience := <-wait:
		return patience
	case <-timer.C:
	case <-ctx.Done():
	}
	return 0
}

// Ended tells the planner how the request with the given id ended.
func (d *Desk) Ended(id string, outcome planner.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.held, id)
	d.tellEnded(id, outcome)
}

func (d *Desk) tellEnded(id string, outcome planner.Outcome) {
	now := steady.Now()
	d.local.Ended(now, d.self().String(), id, outcome)
	d.settle(now)
	if p := d.plannerLink(); p != nil {
		p.link.Send(&link.Message{Ended: &link.Report{ID: id, Outcome: outcome}})
	}
}

// settle sends out the answers that the local planner has.
func (d *Desk) settle(now time.Time) {
	for _, answer := range d.local.Settle(now) {
		delete(d.queued, answer.Host+"/"+answer.ID)
		if answer.Host == d.self().String() {
			d.deliver(answer)
			continue
		}
		for p := range d.inbound {
			if p.address.String() == answer.Host {
				p.link.Send(&link.Message{Answer: &answer})
				break
			}
		}
	}
}

// deliver hands an answer to the request that waits for it; a plan that nobody waits for is given back.
func (d *Desk) deliver(answer planner.Answer) {
	wait := d.asks[answer.ID]
	if wait == nil {
		if answer.Plan != nil && d.held[answer.ID] == nil {
			d.tellEnded(answer.ID, planner.OutcomeCanceled)
		}
		return
	}
	delete(d.asks, answer.ID)
	wait <- reply{answer: answer}
}
