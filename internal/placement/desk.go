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
	// The maximum time that another host's planner may take to reply. If it neither decides on a placement request nor
	// says that the request is queued, this host plans the request itself. If it does not answer a query about a silent
	// request, the extra wait is 0.
	plannerTimeout = 80 * time.Millisecond
	// Appended to the id of a placement request that this host plans itself because the planner did not reply.
	localIDSuffix = "~"
)

// Desk is an entry host's client of its planner: it submits placement requests and reports how the placed requests
// progress. Its exported fields must be set before Init and Run.
type Desk struct {
	Roster *roster.Roster // guarded by mu
	Feed   *feed.Feed
	Log    *eventlog.Log
	Meters tally.Scope

	mu             sync.Mutex
	localPlanner   *planner.Planner
	plannerAddress netip.AddrPort                // of the host that plans for this one; may be this host's own address
	outbound       map[netip.AddrPort]*peer      // connections that this host opened or is opening, by the address dialed
	pending        map[string]chan reply         // placement requests of this host without a result, by request id
	placed         map[string]*placedRequest     // placed requests in progress, by request id
	extraWaits     map[string]chan time.Duration // queries about silent requests that wait for a reply, by request id
	unanswered     map[string]bool               // requests of other hosts without a result yet, by "HOST/ID"
	inbound        map[*peer]bool                // connections that this host accepted
}

// peer is a connection to another host and what the heartbeats on it have reported.
type peer struct {
	link           *link.Link     // nil while dialing
	address        netip.AddrPort // of the other host; invalid on accepted connections until the first heartbeat
	lastStamp      int64          // stamp of the newest heartbeat from the other host; 0 before the first
	lastStampAt    time.Time      // when lastStamp was received
	configRevision int64          // revision of the other host's configuration
	listDigest     uint64         // digest of the other host's set of replicas
	dialing        bool
	lastContact    time.Time // when this host last sent a heartbeat that was due, or connected
	membersSentAt  time.Time // when the list of members was last sent
}

// placedRequest is a placed request in progress. It is kept so that the request can be reported to a new planner.
type placedRequest struct {
	placement      planner.Held
	requestedAt    time.Time // when the placement was requested; currentPlacements deducts the time since then
	plannedLocally bool      // planned here because the other host that plans for this one did not reply
}

// reply is the planner's reply to a placement request: the result, or notice that the request is queued.
type reply struct {
	result planner.Answer
	queued bool // the request waits at the planner; the result follows
}

// Init initializes the state; it must be called before any other method.
func (d *Desk) Init() {
	d.localPlanner = planner.New()
	d.outbound = make(map[netip.AddrPort]*peer)
	d.pending = make(map[string]chan reply)
	d.placed = make(map[string]*placedRequest)
	d.unanswered = make(map[string]bool)
	d.extraWaits = make(map[string]chan time.Duration)
	d.inbound = make(map[*peer]bool)
	d.plannerAddress = d.self()
}

func (d *Desk) self() netip.AddrPort { return d.Roster.Self().Address }

// plannerLink returns the connection to the host that plans for this one. It returns nil if that host is this one or is
// not connected.
func (d *Desk) plannerLink() *peer {
	p := d.outbound[d.plannerAddress]
	if d.plannerAddress == d.self() || p == nil || p.link == nil {
		return nil
	}
	return p
}

// Hosts returns the number of entry hosts that this host knows, itself included.
func (d *Desk) Hosts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Roster.Size()
}

// Members returns the addresses of the entry hosts that this host knows: its own first, then the others in order of
// address.
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

// Waiting returns the number of placement requests that wait at this host's planner.
func (d *Desk) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.localPlanner.Waiting()
}

// AddSeeds adds addresses of hosts from which this host can learn of other hosts.
func (d *Desk) AddSeeds(seeds []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Roster.AddSeeds(seeds)
}

// Alone reports whether this host has run for at least limit and knows of no other host that was heard from within it.
func (d *Desk) Alone(limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Roster.Alone(steady.Now(), limit)
}

// Plans reports whether this host is its own planner; if so, it may plan for other hosts too.
func (d *Desk) Plans() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plannerAddress == d.self()
}

// Planner returns the address of the host that plans for this one.
func (d *Desk) Planner() netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plannerAddress
}

// MaxAge returns how old this host's cached configuration and replicas may become before it reads the store itself. It
// is 0 while this host is its own planner, so that a planner always reads. For other hosts it grows with their rank in
// the order of planners, so that the hosts next in this order read first if nothing newer reaches them.
func (d *Desk) MaxAge() time.Duration {
	const (
		baseAge    = 1000 * time.Millisecond
		agePerRank = 40 * time.Millisecond
		maxAge     = 1600 * time.Millisecond
	)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.plannerAddress == d.self() {
		return 0
	}
	return min(baseAge+time.Duration(d.Roster.Rank())*agePerRank, maxAge)
}

// Update passes the active configuration and replicas to the local planner. It also sends a heartbeat with them at once
// to the hosts that have connected to this one and to the host that plans for this one.
func (d *Desk) Update() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := steady.Now()
	replicas := d.Feed.Replicas()
	d.localPlanner.SetEngines(engines(d.Feed.Catalog(), replicas))
	d.localPlanner.SetReplicas(now, replicas)
	d.sendResults(now)
	for p := range d.inbound {
		d.sendHeartbeat(now, p, true)
	}
	if p := d.plannerLink(); p != nil {
		d.sendHeartbeat(now, p, false)
	}
}

// engines returns the engine parameters of each service that has engines and at least one replica.
func engines(c *catalog.Catalog, replicas []replica.Replica) map[string]*catalog.Engine {
	byService := make(map[string]*catalog.Engine)
	if c == nil {
		return byService
	}
	for _, r := range replicas {
		if s := c.Service(r.Service); s != nil && s.Engine != nil {
			byService[r.Service] = s.Engine
		}
	}
	return byService
}

// Ask submits a placement request to the planner and returns its result. If another host's planner does not reply in
// time, this host plans the request itself. The ID in the result is the one to pass to Started, Patience and Ended; it
// differs from a.ID if this host planned the request itself. Ask returns an error only if ctx ends first.
func (d *Desk) Ask(ctx context.Context, a planner.Ask) (planner.Answer, error) {
	requestedAt := steady.Now()
	replies := make(chan reply, 2)
	a.Host = d.self().String()
	d.mu.Lock()
	d.pending[a.ID] = replies
	remote := d.submit(a)
	d.mu.Unlock()
	result, ok := d.await(ctx, replies, remote)
	if !ok && ctx.Err() == nil {
		d.Meters.Counter("planner_passed_over").Inc(1)
		d.Log.Warn("planner_passed_over", slog.String("request_id", a.ID), slog.String("planner", d.Planner().String()),
			eventlog.Milliseconds("waited_ms", steady.Now().Sub(requestedAt)))
		a, replies = d.planLocally(a, requestedAt)
		result, ok = d.await(ctx, replies, false)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, a.ID)
	if !ok {
		d.reportEnded(a.ID, planner.OutcomeCanceled)
		return planner.Answer{}, ctx.Err()
	}
	if result.Plan != nil {
		d.track(a, result, requestedAt)
	}
	return result, nil
}

// submit passes a placement request to the planner and reports whether the planner is on another host.
func (d *Desk) submit(a planner.Ask) bool {
	if p := d.plannerLink(); p != nil && !p.link.Closed() {
		p.link.Send(&link.Message{Ask: &a})
		return true
	}
	now := steady.Now()
	d.localPlanner.Ask(now, a)
	d.sendResults(now)
	return false
}

// planLocally submits a placement request, requested at requestedAt, to the local planner under a new id, with its
// remaining times shortened by the time elapsed since. It returns the changed request and its channel of replies.
func (d *Desk) planLocally(a planner.Ask, requestedAt time.Time) (planner.Ask, chan reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, a.ID)
	elapsed := steady.Now().Sub(requestedAt)
	a.ID += localIDSuffix
	a.Elapse(elapsed)
	replies := make(chan reply, 2)
	d.pending[a.ID] = replies
	now := steady.Now()
	d.localPlanner.Ask(now, a)
	d.sendResults(now)
	return a, replies
}

// await returns the result of a placement request. It returns false if ctx ends, if the result is empty or if, for a
// remote planner, no reply comes within plannerTimeout. Once the planner has said that the request is queued, only ctx
// limits the wait.
func (d *Desk) await(ctx context.Context, replies chan reply, remote bool) (planner.Answer, bool) {
	var timeout <-chan time.Time
	if remote {
		timer := time.NewTimer(plannerTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		select {
		case r := <-replies:
			if !r.queued {
				return r.result, r.result.Plan != nil || r.result.Refusal != nil
			}
			timeout = nil
		case <-timeout:
			return planner.Answer{}, false
		case <-ctx.Done():
			return planner.Answer{}, false
		}
	}
}

// track keeps a placed request so that it can be reported to a new planner. If this host planned the request instead of
// another host's planner, it reports the placement to that planner at once.
func (d *Desk) track(a planner.Ask, result planner.Answer, requestedAt time.Time) {
	h := &placedRequest{
		placement:   planner.Held{Ask: a, Replica: result.Plan.Replica.ID, Helpers: result.Plan.Helpers},
		requestedAt: requestedAt,
	}
	d.placed[a.ID] = h
	if !strings.HasSuffix(a.ID, localIDSuffix) {
		return
	}
	h.plannedLocally = true
	if p := d.plannerLink(); p != nil {
		p.link.Send(&link.Message{Sync: &link.Sync{Held: []planner.Held{h.placement}}})
	}
}

// Started notifies the planner that the first event of the request with the given id has arrived.
func (d *Desk) Started(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.placed[id]
	if h == nil {
		return
	}
	h.placement.Writing = true
	now := steady.Now()
	if d.plannerAddress == d.self() || h.plannedLocally {
		d.localPlanner.Started(now, d.self().String(), id)
		d.sendResults(now)
	}
	if p := d.plannerLink(); p != nil {
		p.link.Send(&link.Message{Started: &link.Report{ID: id}})
	}
}

// Patience asks the planner for the extra wait of the silent request with the given id: how much longer its backend
// server may send nothing. It returns 0 if the server seems to be gone, or if the planner does not answer in time.
func (d *Desk) Patience(ctx context.Context, id string) time.Duration {
	d.mu.Lock()
	h := d.placed[id]
	p := d.plannerLink()
	if h == nil || h.plannedLocally || p == nil {
		defer d.mu.Unlock()
		return d.localPlanner.Patience(steady.Now(), d.self().String(), id)
	}
	wait := make(chan time.Duration, 1)
	d.extraWaits[id] = wait
	p.link.Send(&link.Message{Silent: &link.Silence{ID: id}})
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.extraWaits, id)
	}()
	timer := time.NewTimer(plannerTimeout)
	defer timer.Stop()
	select {
	case extraWait := <-wait:
		return extraWait
	case <-timer.C:
	case <-ctx.Done():
	}
	return 0
}

// Ended notifies the planner how the request with the given id ended and stops tracking the request.
func (d *Desk) Ended(id string, outcome planner.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.placed, id)
	d.reportEnded(id, outcome)
}

// reportEnded notifies the local planner, which ignores ids that it does not know, and the planner on another host, if
// that one plans for this host.
func (d *Desk) reportEnded(id string, outcome planner.Outcome) {
	now := steady.Now()
	d.localPlanner.Ended(now, d.self().String(), id, outcome)
	d.sendResults(now)
	if p := d.plannerLink(); p != nil {
		p.link.Send(&link.Message{Ended: &link.Report{ID: id, Outcome: outcome}})
	}
}

// sendResults sends the results on which the local planner can decide now to the hosts that requested them.
func (d *Desk) sendResults(now time.Time) {
	for _, result := range d.localPlanner.Settle(now) {
		delete(d.unanswered, result.Host+"/"+result.ID)
		if result.Host == d.self().String() {
			d.deliver(result)
			continue
		}
		for p := range d.inbound {
			if p.address.String() == result.Host {
				p.link.Send(&link.Message{Answer: &result})
				break
			}
		}
	}
}

// deliver passes a result to the request that waits for it. If the result is a plan, no request waits for it and the
// request is not placed already, deliver reports the request as canceled, so that the planner frees what it planned.
func (d *Desk) deliver(result planner.Answer) {
	replies := d.pending[result.ID]
	if replies == nil {
		if result.Plan != nil && d.placed[result.ID] == nil {
			d.reportEnded(result.ID, planner.OutcomeCanceled)
		}
		return
	}
	delete(d.pending, result.ID)
	replies <- reply{result: result}
}
