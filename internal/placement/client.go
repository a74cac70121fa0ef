package placement

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// How long a host that has just started waits to hear from another one before it counts as ready.
	introductionTime = time.Second
	// Appended to the id of a placement request that this host plans because another host's planner did not reply.
	bypassIDSuffix = "~"
)

// Client is a placement client, an entry host's client of its planner: it submits placement requests and reports how
// the placed requests progress. Its exported fields must be set before Init and Run.
type Client struct {
	Roster  *roster.Roster // guarded by mu
	Cache   *feed.Cache
	Log     *eventlog.Log
	Metrics tally.Scope

	mu             sync.Mutex
	lastTick       time.Time // when tick was last called; zero before the first call
	localPlanner   *planner.Planner
	engines        map[string]*catalog.EngineParams // by service; those that the local planner has
	plannerAddress netip.AddrPort                   // of the host that plans for this one; may be this host's own address
	plannerSince   time.Time                        // when that host was chosen
	verdictDigest  uint64                           // of the verdicts on what crashes replicas that were last logged
	outbound       map[netip.AddrPort]*peerLink     // connections that this host opened or is opening, by the address dialed
	pending        map[string]*pendingRequest       // placement requests of this host without a result, by request id
	placed         map[string]*placedRequest        // placed requests in progress, by request id
	extraWaits     map[string]chan time.Duration    // queries about silent requests that wait for a reply, by request id
	// Requests of other hosts that handlePlacementRequest is submitting and that have no result yet, by "HOST/ID";
	// empty between messages.
	inSubmit  map[string]bool
	startedAt time.Time            // when Init was called
	hostCount hostCount            // as this host or its planner has counted
	followers followers            // of this host as planner
	// Another host has answered a heartbeat of this one, and so has reported what replicas have announced.
	introduced bool
	inbound   map[*peerLink]bool   // connections that this host accepted
	hostLink  map[string]*peerLink // the newest of them from each host, by peerLink.host
}

// peerLink is a connection to another host, with what the heartbeats on it have reported.
type peerLink struct {
	link          *link.Link     // nil while dialing
	address       netip.AddrPort // of the other host; invalid on accepted connections until the first heartbeat
	host          string         // address as a string, by which the planner names the other host
	lastStamp     int64          // stamp of the newest heartbeat from the other host; 0 before the first
	lastStampAt   time.Time      // when lastStamp was received
	versions      feed.Versions  // what the other host has, or will have once it has received what was sent
	sent          feed.Versions  // what this host had when it last sent configuration or replicas
	sentAt        time.Time      // when that was
	sentStamp     int64          // stamp of the heartbeat with which that was sent
	dialing       bool
	lastScheduled time.Time // when tick last chose the other host as a contact, or the connection opened
	membersDigest uint64    // of the members that were last sent
	membersSentAt time.Time // when the list of members was last sent
	verdictDigest uint64    // of the other host's verdicts on what crashes replicas, as its last heartbeat said
	limitDigest   uint64    // of what the other host knows of the limits of replicas, as its last heartbeat said
}

// pendingRequest is a placement request without a result. It is kept so that a new planner can be asked for one.
type pendingRequest struct {
	request     planner.Request
	requestedAt time.Time  // when the times in request applied
	replies     chan reply // has room for the notice that the request is queued and for the result
	queued      bool       // the notice has been passed on
}

// newPendingRequest returns a request without a reply, whose times applied at requestedAt.
func newPendingRequest(req planner.Request, requestedAt time.Time) *pendingRequest {
	return &pendingRequest{request: req, requestedAt: requestedAt, replies: make(chan reply, 2)}
}

// requestAt returns the request with its remaining times at now.
func (p *pendingRequest) requestAt(now time.Time) planner.Request {
	req := p.request
	req.SubtractElapsed(now.Sub(p.requestedAt))
	return req
}

// placedRequest is a placed request in progress. It is kept so that the request can be reported to a new planner.
type placedRequest struct {
	placement       planner.Placement
	requestedAt     time.Time // when the placement was requested; placementAt deducts the time since then
	replica         replica.Replica
	firstEvent      time.Time // when the planner has predicted the first event
	writingSince    time.Time // when the first event arrived; zero before
	plannerBypassed bool      // planned here in place of another host's planner that did not reply
}

// placementAt returns the placement with its remaining times at now.
func (p *placedRequest) placementAt(now time.Time) planner.Placement {
	placement := p.placement
	placement.Request.SubtractElapsed(now.Sub(p.requestedAt))
	placement.FirstEvent = max(p.firstEvent.Sub(now), 1)
	return placement
}

// reply is the planner's reply to a placement request: the result, or notice that the request is queued.
type reply struct {
	result planner.Result
	queued bool // the request waits at the planner; the result follows
}

// Init makes the client ready for use; it must be called before any other method.
func (c *Client) Init() {
	c.localPlanner = planner.New(xxhash.Sum64String(c.self().String()))
	c.outbound = make(map[netip.AddrPort]*peerLink)
	c.pending = make(map[string]*pendingRequest)
	c.placed = make(map[string]*placedRequest)
	c.inSubmit = make(map[string]bool)
	c.extraWaits = make(map[string]chan time.Duration)
	c.inbound = make(map[*peerLink]bool)
	c.hostLink = make(map[string]*peerLink)
	c.plannerAddress = c.self()
	c.startedAt = steady.Now()
	c.plannerSince = c.startedAt
	c.hostCount.memory = hostCountMemory
	c.followers = newFollowers()
}

func (c *Client) self() netip.AddrPort { return c.Roster.Self().Address }

// linkToPlanner returns the connection to the host that plans for this one. It returns nil if that host is this one or
// is not connected.
func (c *Client) linkToPlanner() *peerLink {
	p := c.outbound[c.plannerAddress]
	if c.plannerAddress == c.self() || p == nil || p.link == nil {
		return nil
	}
	return p
}

// HostCount returns the number of entry hosts, this one included, that this host knows or its planner has reported. A host
// that has just started may not know most of the others yet; until discoveryTime has passed, it assumes at least
// assumedHosts, so that its share of what all hosts share isn't too large.
func (c *Client) HostCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.assumeHosts(steady.Now(), max(c.Roster.Size(), c.hostCount.count))
}

// Members returns the addresses of the entry hosts that this host knows: its own first, then the others in order of
// address.
func (c *Client) Members() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := []netip.AddrPort{c.self()}
	for _, m := range c.Roster.Members(steady.Now()) {
		if m.Address != c.self() {
			addresses = append(addresses, m.Address)
		}
	}
	slices.SortFunc(addresses[1:], netip.AddrPort.Compare)
	return addresses
}

// Waiting returns the number of placement requests that wait at this host's planner.
func (c *Client) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.localPlanner.Waiting()
}

// AddSeeds adds addresses of hosts from which this host can learn of other hosts.
func (c *Client) AddSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Roster.AddSeeds(seeds)
}

// Isolated reports whether this host has run for at least limit and knows of no other host that was heard from within
// it.
func (c *Client) Isolated(limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Roster.Isolated(steady.Now(), limit)
}

// Introduced reports whether this host has heard what others know of the replicas, or has run for so long without
// hearing from any host that there seems to be none.
func (c *Client) Introduced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.introduced || steady.Now().Sub(c.startedAt) > introductionTime
}

// IsPlanner reports whether this host is its own planner; if so, it may plan for other hosts too.
func (c *Client) IsPlanner() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plannerAddress == c.self()
}

// Planner returns the address of the host that plans for this one.
func (c *Client) Planner() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plannerAddress
}

// MaxStateAge returns how old this host's cached configuration and replicas may become before it reads the store
// itself; see maxStateAge. It is 0 while this host is its own planner, so that a planner always reads.
func (c *Client) MaxStateAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plannerAddress == c.self() {
		return 0
	}
	return maxStateAge(c.Roster.Rank())
}

// ApplyState passes the active configuration and replicas to the local planner. It also sends a heartbeat with them at
// once to the hosts that have connected to this one and to the host that plans for this one.
func (c *Client) ApplyState() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := steady.Now()
	replicas := c.Cache.Replicas()
	config, _ := c.Cache.Active()
	c.engines = engines(c.engines, config, replicas)
	c.localPlanner.SetEngines(c.engines)
	c.localPlanner.SetReplicas(now, replicas)
	c.sendResults(now)
	for p := range c.inbound {
		c.sendHeartbeat(now, p, true)
	}
	if p := c.linkToPlanner(); p != nil {
		c.sendHeartbeat(now, p, false)
	}
}

// Place submits a placement request to the planner and returns its result. If another host's planner does not reply in
// time, this host plans the request in its place. The ID in the result is the one to pass to Started, ExtraWait and
// Ended; it differs from req.ID only in that case. Place returns an error only if ctx ends first.
func (c *Client) Place(ctx context.Context, req planner.Request) (planner.Result, error) {
	requestedAt := steady.Now()
	req.Host = c.self().String()
	pending := newPendingRequest(req, requestedAt)
	c.mu.Lock()
	c.pending[req.ID] = pending
	remote := c.submit(req)
	c.mu.Unlock()
	result, ok := c.await(ctx, pending.replies, remote)
	if !ok && ctx.Err() == nil {
		c.Metrics.Counter("planner_passed_over").Inc(1)
		c.Log.Warn("planner_passed_over", slog.String("request_id", req.ID), slog.String("planner", c.Planner().String()),
			eventlog.Milliseconds("waited_ms", steady.Now().Sub(requestedAt)))
		pending = c.bypassPlanner(pending)
		req = pending.request
		result, ok = c.await(ctx, pending.replies, false)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, req.ID)
	if !ok {
		c.reportEnded(link.Progress{ID: req.ID, Outcome: planner.OutcomeCanceled})
		return planner.Result{}, ctx.Err()
	}
	if result.Plan != nil {
		c.track(req, result, pending.requestedAt)
	}
	return result, nil
}

// submit submits a placement request to the planner or, if that is on another host and not connected, to the local one.
// It reports whether the request was sent to another host.
func (c *Client) submit(req planner.Request) bool {
	if p := c.linkToPlanner(); p != nil && !p.link.Closed() {
		p.link.Send(&link.Message{Request: &req})
		return true
	}
	now := steady.Now()
	c.localPlanner.Submit(now, req)
	c.sendResults(now)
	return false
}

// resubmit submits all placement requests without a result to the planner, which is a new one.
func (c *Client) resubmit(now time.Time) {
	for _, pending := range c.pending {
		c.submit(pending.requestAt(now))
	}
}

// bypassPlanner submits a placement request to the local planner under a new id, with its remaining times, and returns
// it.
func (c *Client) bypassPlanner(pending *pendingRequest) *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, pending.request.ID)
	now := steady.Now()
	req := pending.requestAt(now)
	req.ID += bypassIDSuffix
	bypassing := newPendingRequest(req, now)
	c.pending[req.ID] = bypassing
	c.localPlanner.Submit(now, req)
	c.sendResults(now)
	return bypassing
}

// await returns the result of a placement request. It returns false if ctx ends, if the peer sent an invalid result,
// with neither plan nor refusal, or if, for a remote planner, no reply comes within plannerTimeout. Once the planner
// has said that the request is queued, only ctx limits the wait.
func (c *Client) await(ctx context.Context, replies chan reply, remote bool) (planner.Result, bool) {
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
			return planner.Result{}, false
		case <-ctx.Done():
			return planner.Result{}, false
		}
	}
}

// track keeps a placed request so that it can be reported to a new planner. If this host planned the request instead of
// another host's planner, it reports the placement to that planner at once.
func (c *Client) track(req planner.Request, result planner.Result, requestedAt time.Time) {
	now := steady.Now()
	placed := &placedRequest{
		placement:   planner.Placement{Request: req, Replica: result.Plan.Replica.ID, Helpers: result.Plan.Helpers},
		requestedAt: requestedAt,
		replica:     result.Plan.Replica,
		firstEvent:  now.Add(result.Plan.FirstEventTime),
	}
	c.placed[req.ID] = placed
	if !strings.HasSuffix(req.ID, bypassIDSuffix) {
		return
	}
	placed.plannerBypassed = true
	if p := c.linkToPlanner(); p != nil {
		placements := []planner.Placement{placed.placementAt(now)}
		p.link.Send(&link.Message{PlacementSync: &link.PlacementSync{Placements: placements}})
	}
}

// Started notifies the planner that the first event of the request with the given id has arrived.
func (c *Client) Started(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	placed := c.placed[id]
	if placed == nil {
		return
	}
	placed.placement.Decoding = true
	now := steady.Now()
	placed.writingSince = now
	if c.plannerAddress == c.self() || placed.plannerBypassed {
		c.localPlanner.Started(now, c.self().String(), id)
		c.sendResults(now)
	}
	if p := c.linkToPlanner(); p != nil {
		p.link.Send(&link.Message{Started: &link.Progress{ID: id}})
	}
}

// ExtraWait asks the planner for the extra wait of the silent request with the given id: how much longer its backend
// server may send nothing. It returns 0 if the server seems to be gone, or if the planner does not answer in time.
func (c *Client) ExtraWait(ctx context.Context, id string) time.Duration {
	c.mu.Lock()
	placed := c.placed[id]
	p := c.linkToPlanner()
	if placed == nil || placed.plannerBypassed || p == nil {
		defer c.mu.Unlock()
		return c.localPlanner.ExtraWait(steady.Now(), c.self().String(), id)
	}
	wait := make(chan time.Duration, 1)
	c.extraWaits[id] = wait
	p.link.Send(&link.Message{ExtraWaitQuery: &link.ExtraWait{ID: id}})
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.extraWaits, id)
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

// Ended notifies the planner how the request with the given id ended and stops tracking the request. The pause is the
// one that the backend server has asked for, 0 for none.
func (c *Client) Ended(id string, outcome planner.Outcome, pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if placed := c.placed[id]; placed != nil {
		c.recordOutcome(steady.Now(), placed, outcome)
		delete(c.placed, id)
	}
	c.reportEnded(link.Progress{ID: id, Outcome: outcome, Pause: pause})
}

// Leaving marks r as leaving on this host and, through the planner, on all others.
func (c *Client) Leaving(r replica.Replica) {
	if !c.Cache.MarkLeaving(r.ID, r.Born) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.linkToPlanner(); p != nil {
		p.link.Send(&link.Message{Leaving: &link.Leaving{Replica: r.ID, Born: r.Born}})
	}
}

// IsLeaving reports whether this incarnation of r has announced that it leaves.
func (c *Client) IsLeaving(r replica.Replica) bool { return c.Cache.IsLeaving(r) }

// reportEnded notifies the local planner, which ignores ids that it does not know, and the planner on another host, if
// that one plans for this host.
func (c *Client) reportEnded(ended link.Progress) {
	now := steady.Now()
	c.endLocal(now, c.self().String(), ended)
	c.sendResults(now)
	if p := c.linkToPlanner(); p != nil {
		p.link.Send(&link.Message{Ended: &ended})
	}
}

// endLocal notifies the local planner how a request of host ended.
func (c *Client) endLocal(now time.Time, host string, ended link.Progress) {
	if ended.Pause > 0 {
		c.localPlanner.Pause(now, host, ended.ID, ended.Pause)
	}
	c.localPlanner.Ended(now, host, ended.ID, ended.Outcome)
}

// sendResults sends the results on which the local planner can decide now to the hosts that requested them.
func (c *Client) sendResults(now time.Time) {
	for _, result := range c.localPlanner.Decide(now) {
		delete(c.inSubmit, result.Host+"/"+result.ID)
		if result.Host == c.self().String() {
			result.SendBefore = now.Add(limitedPlanTime)
			c.deliver(result)
			continue
		}
		if p := c.hostLink[result.Host]; p != nil {
			p.link.Send(&link.Message{Result: newLinkResult(now, p, result)})
		}
	}
}

// deliver passes a result to the request that waits for it. If the result is a plan, no request waits for it and the
// request is not placed already, deliver reports the request as canceled, so that the planner frees what it planned.
func (c *Client) deliver(result planner.Result) {
	pending := c.pending[result.ID]
	if pending == nil {
		if result.Plan != nil && c.placed[result.ID] == nil {
			c.reportEnded(link.Progress{ID: result.ID, Outcome: planner.OutcomeCanceled})
		}
		return
	}
	delete(c.pending, result.ID)
	pending.replies <- reply{result: result}
}

// notifyQueued passes on once that the planner keeps the request with the given id waiting.
func (c *Client) notifyQueued(id string) {
	pending := c.pending[id]
	if pending == nil || pending.queued {
		return
	}
	pending.queued = true
	pending.replies <- reply{queued: true}
}
