package placement

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/account"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/roster"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// introductionTime is how long a host that has just started waits to hear from another one before it counts as ready.
const introductionTime = time.Second

// Paths knows the paths from this host, which is dialer.Dialer: DialHost connects to another host; LostServers returns the
// backend servers that this host can't connect to directly; SetDetours sets the hosts through which it can, first those that are
// known to reach servers.
type Paths interface {
	DialHost(ctx context.Context, host netip.AddrPort) (*net.TCPConn, error)
	LostServers() []netip.AddrPort
	SetDetours(preferred, others []netip.AddrPort)
}

// noPaths is the Paths of a host that loses none.
type noPaths struct{}

func (noPaths) DialHost(ctx context.Context, host netip.AddrPort) (*net.TCPConn, error) {
	return netconn.Connect(ctx, host)
}
func (noPaths) LostServers() []netip.AddrPort    { return nil }
func (noPaths) SetDetours(_, _ []netip.AddrPort) {}

// Client is a placement client, an entry host's client of its planner: it submits placement requests and reports how
// the placed requests progress. Its exported fields must be set before Init and Run.
type Client struct {
	Roster  *roster.Roster // guarded by mu
	Cache   *feed.Cache
	Log     *eventlog.Log
	Metrics tally.Scope
	Paths   Paths // nil for a host without paths of its own
	// FailureDomain is that of this host, and CrossingPrice the value of a request per GB that crosses between failure
	// domains; see planner.SetCrossingPrice. Both are left out of placement requests if the price is 0.
	FailureDomain string
	CrossingPrice float64
	// ServeTunnel carries a connection of another host to a backend server until it ends.
	ServeTunnel func(c *net.TCPConn)
	// A cold replica gets at most its service's rate times ColdOver, plus ColdSlack, requests from all hosts in any second.
	ColdOver, ColdSlack float64
	Regions             map[string]string // region of each failure domain that is known
	// Newcomers, if not nil, bounds the accepted connections on which no valid message has come.
	Newcomers *account.Account

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
	startedAt time.Time // when Init was called
	hostCount hostCount // as this host or its planner has counted
	followers followers // of this host as planner
	followed  followed  // the planners that this host has followed
	ranking   ranking   // of the hosts that follow this one, as detours
	// Another host has answered a heartbeat of this one, and so has reported what replicas have announced.
	introduced bool
	inbound    map[*peerLink]bool   // connections that this host accepted
	hostLink   map[string]*peerLink // the newest of them from each host, by peerLink.host
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
	lastScheduled time.Time        // when tick last chose the other host as a contact, or the connection opened
	membersDigest uint64           // of the members that were last sent
	membersSentAt time.Time        // when the list of members was last sent
	verdictDigest uint64           // of the other host's verdicts on what crashes replicas, as its last heartbeat said
	lostServers   []netip.AddrPort // the backend servers that this host last reported as lost
	lostServersAt time.Time        // when that was
	limitDigest   uint64           // of what the other host knows of the limits of replicas, as its last heartbeat said
	coldDigest    uint64           // of what it knows of cold replicas
}

// Init makes the client ready for use; it must be called before any other method.
func (c *Client) Init() {
	c.localPlanner = planner.New(xxhash.Sum64String(c.self().String()))
	c.localPlanner.SetCrossingPrice(c.CrossingPrice)
	c.outbound = make(map[netip.AddrPort]*peerLink)
	c.pending = make(map[string]*pendingRequest)
	c.placed = make(map[string]*placedRequest)
	c.inSubmit = make(map[string]bool)
	c.extraWaits = make(map[string]chan time.Duration)
	c.inbound = make(map[*peerLink]bool)
	c.hostLink = make(map[string]*peerLink)
	c.plannerAddress = c.self()
	if c.Paths == nil {
		c.Paths = noPaths{}
	}
	c.startedAt = steady.Now()
	c.plannerSince = c.startedAt
	c.hostCount.memory = hostCountMemory
	c.followers = newFollowers()
	c.followed = followed{otherHeard: c.startedAt}
	c.localPlanner.SetRegions(c.Regions)
	c.localPlanner.Limits().Cold.SetBounds(c.ColdOver, c.ColdSlack)
	c.localPlanner.Limits().Cold.SetShare(0, assumedHosts, c.startedAt)
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
	count := max(c.Roster.Size(), c.hostCount.count)
	if steady.Now().Sub(c.startedAt) < discoveryTime {
		return max(count, assumedHosts)
	}
	return count
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

// AddSeeds adds addresses of hosts from which this host can learn of other hosts. It returns how many of them weren't known.
func (c *Client) AddSeeds(seeds []netip.AddrPort) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	unknown := c.Roster.Unknown(seeds)
	c.Roster.AddSeeds(seeds)
	return len(unknown)
}

// AddFound adds those of the hosts as seeds of which this host knows nothing, and returns how many they are. Of the others it hears
// anyway, or has lost them.
func (c *Client) AddFound(hosts []netip.AddrPort) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	unknown := c.Roster.Unknown(hosts)
	c.Roster.AddSeeds(unknown)
	return len(unknown)
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
	ended := c.localPlanner.SetEvacuated(c.Cache.Evacuated().Domains)
	c.localPlanner.Limits().Cold.SetServices(coldServices(config))
	c.expectCold(now, ended)
	c.recordAssumedCold(c.localPlanner.SetReplicas(now, replicas))
	c.sendResults(now)
	for p := range c.inbound {
		c.sendHeartbeat(now, p, true)
	}
	if p := c.linkToPlanner(); p != nil {
		c.sendHeartbeat(now, p, false)
	}
}
