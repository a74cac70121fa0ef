package crash

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/virtual"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/retry"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
)

const (
	serverCount           = 16
	hostCount             = 21
	domainCount           = 3
	edgeHostsPerDomain    = 2
	arrivalPeriod         = 26 * time.Second // bystanders' requests arrive during this time
	runDuration           = 40 * time.Second
	minRestartTime        = 12 * time.Second // from a crash to the restart; the maximum is twice as long
	gossipInterval        = time.Second
	maxBroadcastDelay     = 5 * time.Millisecond   // of a message that isn't lost
	maxRepeatDelay        = 300 * time.Millisecond // added when a lost message is sent again
	gossipLossProbability = 0.1                    // of an exchange or of one sending of a message
	arrivalsPerSecond     = 20                     // bystanders' requests
	requestTimeout        = 10 * time.Second       // from a request's arrival to its deadline
	popularContents       = 5                      // contents that many bystanders share
	maxKillDelay          = 200 * time.Millisecond // within which servers that crash together crash
)

type (
	// Scenario says which faults a run has.
	Scenario struct {
		Name      string
		Crashers  int  // number of contents that crash each backend server that runs them
		Resend    bool // callers send a crashing content again before they get the final response
		Killed    int  // number of backend servers that crash together for another reason
		Kills     int  // how often Killed servers crash together; 0 means once if Killed is set
		DeadHosts int  // number of entry host failures
	}

	// Result counts the outcomes of one run.
	Result struct {
		Crashers   int // Scenario.Crashers
		Lost       int // backend servers crashed by crashing contents
		MostLost   int // the maximum number of backend servers crashed by one content
		Wrong      int // bystanders refused as crashing
		Bystanders int // requests of non-crashing contents whose entry host didn't fail
		Answered   int // bystanders that received a complete response
	}

	// server is a backend server.
	server struct {
		name            string
		scheduler       int    // index of the host that schedules it
		epoch           uint64 // changes with each start
		crashed         bool
		runningSuspects int // attempts of suspects that were granted and haven't ended
		attempts        map[protocol.AttemptID]*attempt
	}

	// host is an entry host, which may also schedule backend servers.
	host struct {
		index     int
		name      string
		failed    bool
		tracker   *suspect.Tracker
		policy    *retry.Policy
		refusedAt map[int]time.Time // by server index: when the server last refused a connection, as far as the host knows
	}

	// cluster is the state of one run: the hosts, the backend servers and the counts.
	cluster struct {
		virtual.Clock
		Scenario
		rng          *rand.Rand
		hosts        []*host
		servers      []*server
		requestCount uint64
		lastArrival  time.Time      // no bystander is sent after it
		lostServers  map[uint64]int // backend servers crashed by each crashing content, by fingerprint
		result       Result
	}
)

// Simulate runs a scenario in virtual time and returns its result, which depends only on its arguments. It calls
// configure on each host's suspicion tracker before the run starts.
func Simulate(s Scenario, seed uint64, configure func(*suspect.Tracker)) Result {
	c := &cluster{Scenario: s, rng: rand.New(rand.NewPCG(seed, seed)), lostServers: make(map[uint64]int)}
	c.Now = time.Unix(1_000_000, 0)
	end := c.Now.Add(runDuration)
	c.addHostsAndServers(configure)
	c.scheduleEvents()
	c.RunUntil(end)
	for _, n := range c.lostServers {
		c.result.Lost += n
		c.result.MostLost = max(c.result.MostLost, n)
	}
	c.result.Crashers = s.Crashers
	return c.result
}

func (c *cluster) addHostsAndServers(configure func(*suspect.Tracker)) {
	for i := range hostCount {
		h := &host{
			index: i, name: fmt.Sprintf("host-%02d", i), refusedAt: make(map[int]time.Time),
			tracker: &suspect.Tracker{Host: fmt.Sprintf("host-%02d", i)},
			policy:  &retry.Policy{Rand: rand.New(rand.NewPCG(uint64(i), c.rng.Uint64()))},
		}
		configure(h.tracker)
		c.hosts = append(c.hosts, h)
	}
	for i := range serverCount {
		c.servers = append(c.servers, &server{
			name: fmt.Sprintf("engine-%02d", i), scheduler: c.rng.IntN(hostCount),
			attempts: make(map[protocol.AttemptID]*attempt),
		})
	}
}

func (c *cluster) scheduleEvents() {
	for i := range c.hosts {
		c.After(c.jitter(gossipInterval), func() { c.gossip(i) })
	}
	for i := range c.servers {
		c.startServer(i)
	}
	c.After(0, c.sendBystander)
	c.lastArrival = c.Now.Add(arrivalPeriod)
	for i := range c.Crashers {
		c.After(5*time.Second+c.jitter(10*time.Second), func() { c.sendCrashingRequest(uint64(1_000_000+i), 0) })
	}
	for range max(c.Kills, min(1, c.Killed)) {
		c.After(3*time.Second+c.jitter(20*time.Second), c.killServers)
	}
	for range c.DeadHosts {
		c.After(3*time.Second+c.jitter(20*time.Second), func() { c.hosts[c.rng.IntN(hostCount)].failed = true })
	}
}

// jitter returns a random duration of at least 0 and less than d.
func (c *cluster) jitter(d time.Duration) time.Duration { return time.Duration(c.rng.Int64N(int64(d))) }

// failureDomain returns the failure domain of host i.
func failureDomain(i int) int { return i % domainCount }

// edgeHosts returns the indices of the edge hosts: the first edgeHostsPerDomain hosts of each failure domain that are
// alive. They exchange gossip with the edge hosts of the other failure domains.
func (c *cluster) edgeHosts() []int {
	var list []int
	var found [domainCount]int
	for i, h := range c.hosts {
		if !h.failed && found[failureDomain(i)] < edgeHostsPerDomain {
			found[failureDomain(i)]++
			list = append(list, i)
		}
	}
	return list
}

// gossip exchanges suspicions between host i and one random peer, as a membership probe does, and schedules the next
// exchange. The peer is a host of the same failure domain; if host i is an edge host, it is in half of the exchanges
// any edge host instead. An exchange is lost with the probability gossipLossProbability.
func (c *cluster) gossip(i int) {
	c.After(gossipInterval, func() { c.gossip(i) })
	j := c.rng.IntN(hostCount/domainCount)*domainCount + failureDomain(i)
	if edges := c.edgeHosts(); slices.Contains(edges, i) && c.rng.IntN(2) == 0 {
		j = edges[c.rng.IntN(len(edges))]
	}
	a, b := c.hosts[i], c.hosts[j]
	if a == b || a.failed || b.failed || c.rng.Float64() < gossipLossProbability {
		return
	}
	c.mergeGossip(b, a, a.tracker.Gossip(c.Now))
	c.mergeGossip(a, b, b.tracker.Gossip(c.Now))
}

// startServer starts a backend server with a new epoch, which its scheduler learns from the server's load report.
func (c *cluster) startServer(i int) {
	s := c.servers[i]
	s.crashed = false
	s.epoch = c.rng.Uint64()
	c.hosts[s.scheduler].tracker.SetEpoch(c.Now, s.name, s.epoch)
}

// crashServer crashes a backend server and breaks its streams. The scheduler's host and the entry host of each broken
// stream detect the crash after different delays. It does nothing if the server has already crashed.
func (c *cluster) crashServer(i int) {
	s := c.servers[i]
	if s.crashed {
		return
	}
	s.crashed = true
	c.After(minRestartTime+c.jitter(minRestartTime), func() { c.startServer(i) })
	c.After(c.jitter(500*time.Millisecond), func() {
		if h := c.hosts[s.scheduler]; !h.failed {
			c.recordCrash(h, i)
		}
	})
	broken := c.sortedAttempts(s)
	clear(s.attempts)
	for _, a := range broken {
		a.releaseSuspectSlot()
		c.After(c.jitter(50*time.Millisecond), func() { a.handleBrokenStream() })
	}
}

// recordCrash records at host h that server i crashed; h then broadcasts its suspicions to the hosts of its failure
// domain at once.
func (c *cluster) recordCrash(h *host, i int) {
	h.refusedAt[i] = c.Now
	h.tracker.Crashed(c.Now, c.servers[i].name)
	c.broadcast(h, func(peer *host) bool { return failureDomain(peer.index) == failureDomain(h.index) })
}

// mergeGossip merges suspicions that host from sent into the tracker of host h. If they hold evidence new to h and h is
// an edge host, h forwards its suspicions: those from its own failure domain to the edge hosts of the other failure
// domains, those from another failure domain to all hosts of its own.
func (c *cluster) mergeGossip(h, from *host, suspicions []protocol.Suspicion) {
	edges := c.edgeHosts()
	if h.failed || !h.tracker.Merge(c.Now, suspicions) || !slices.Contains(edges, h.index) {
		return
	}
	if failureDomain(from.index) == failureDomain(h.index) {
		c.broadcast(h, func(peer *host) bool {
			return slices.Contains(edges, peer.index) && failureDomain(peer.index) != failureDomain(h.index)
		})
		return
	}
	c.broadcast(h, func(peer *host) bool { return failureDomain(peer.index) == failureDomain(h.index) })
}

// broadcast sends the recent suspicions of host h to the peers for which chosen returns true. Lost messages are sent
// again by the connection, which adds up to maxRepeatDelay.
func (c *cluster) broadcast(h *host, chosen func(*host) bool) {
	suspicions := h.tracker.Gossip(c.Now)
	for _, peer := range c.hosts {
		if peer == h || !chosen(peer) {
			continue
		}
		delay := c.jitter(maxBroadcastDelay)
		if c.rng.Float64() < gossipLossProbability {
			delay += c.jitter(maxRepeatDelay)
		}
		c.After(delay, func() { c.mergeGossip(peer, h, suspicions) })
	}
}

// killServers crashes Scenario.Killed running backend servers within maxKillDelay, as the loss of the machine that they
// run on does.
func (c *cluster) killServers() {
	var alive []int
	for i, s := range c.servers {
		if !s.crashed {
			alive = append(alive, i)
		}
	}
	c.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, i := range alive[:min(c.Killed, len(alive))] {
		c.After(c.jitter(maxKillDelay), func() { c.crashServer(i) })
	}
}
