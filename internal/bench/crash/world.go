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
	serverCount    = 16
	hostCount      = 21
	domainCount    = 3
	edgeCount      = 2                // of each failure domain
	arrivals       = 26 * time.Second // then no request comes
	duration       = 40 * time.Second
	restart        = 12 * time.Second
	gossipEvery    = time.Second
	broadcastTime  = 5 * time.Millisecond
	repeatTime     = 300 * time.Millisecond
	gossipLoss     = 0.1
	arrivalsPerSec = 20
	requestTime    = 10 * time.Second // until a request's deadline
	popular        = 5                // contents that many bystanders share
	killSpread     = 200 * time.Millisecond
)

type (
	// Scenario names the faults of a run.
	Scenario struct {
		Name      string
		Crashers  int  // contents that crash each backend server that runs them
		Resend    bool // their callers send them again before the final answer
		Killed    int  // backend servers that die together of another cause
		Kills     int  // how often; 0 means once if Killed is set
		DeadHosts int  // entry hosts that die
	}

	// Result counts what happened in one run.
	Result struct {
		Crashers   int
		Lost       int // servers lost to crashing contents
		MostLost   int // by one content
		Wrong      int // bystanders refused as crashing
		Bystanders int // whose entry host lived
		Answered   int
	}

	server struct {
		name      string
		scheduler int
		epoch     uint64
		dead      bool
		suspects  int // granted and not over
		attempts  map[protocol.AttemptID]*attempt
	}

	host struct {
		index   int
		name    string
		dead    bool
		ledger  *suspect.Ledger
		policy  *retry.Policy
		refused map[int]time.Time // servers that refused connections
	}

	world struct {
		virtual.Clock
		Scenario
		rand    *rand.Rand
		hosts   []*host
		servers []*server
		names   uint64
		last    time.Time      // of the bystanders' arrivals
		lost    map[uint64]int // by crashing fingerprint
		result  Result
	}
)

// Simulate runs a scenario in virtual time; configure changes each host's ledger before the start.
func Simulate(s Scenario, seed uint64, configure func(*suspect.Ledger)) Result {
	w := &world{Scenario: s, rand: rand.New(rand.NewPCG(seed, seed)), lost: make(map[uint64]int)}
	w.Now = time.Unix(1_000_000, 0)
	end := w.Now.Add(duration)
	w.build(configure)
	w.schedule()
	w.RunUntil(end)
	for _, n := range w.lost {
		w.result.Lost += n
		w.result.MostLost = max(w.result.MostLost, n)
	}
	w.result.Crashers = s.Crashers
	return w.result
}

func (w *world) build(configure func(*suspect.Ledger)) {
	for i := range hostCount {
		h := &host{
			index: i, name: fmt.Sprintf("host-%02d", i), refused: make(map[int]time.Time),
			ledger: &suspect.Ledger{Host: fmt.Sprintf("host-%02d", i)},
			policy: &retry.Policy{Rand: rand.New(rand.NewPCG(uint64(i), w.rand.Uint64()))},
		}
		configure(h.ledger)
		w.hosts = append(w.hosts, h)
	}
	for i := range serverCount {
		w.servers = append(w.servers, &server{
			name: fmt.Sprintf("engine-%02d", i), scheduler: w.rand.IntN(hostCount),
			attempts: make(map[protocol.AttemptID]*attempt),
		})
	}
}

func (w *world) schedule() {
	for i := range w.hosts {
		w.After(w.spread(gossipEvery), func() { w.gossip(i) })
	}
	for i := range w.servers {
		w.start(i)
	}
	w.After(0, w.arrive)
	w.last = w.Now.Add(arrivals)
	for i := range w.Crashers {
		w.After(5*time.Second+w.spread(10*time.Second), func() { w.sendCrasher(uint64(1_000_000+i), 0) })
	}
	for range max(w.Kills, min(1, w.Killed)) {
		w.After(3*time.Second+w.spread(20*time.Second), w.kill)
	}
	for range w.DeadHosts {
		w.After(3*time.Second+w.spread(20*time.Second), func() { w.hosts[w.rand.IntN(hostCount)].dead = true })
	}
}

// spread returns a random duration below d.
func (w *world) spread(d time.Duration) time.Duration { return time.Duration(w.rand.Int64N(int64(d))) }

// domain returns the failure domain of host i.
func domain(i int) int { return i % domainCount }

// edges lists the first living hosts of each failure domain, which talk to those of the others.
func (w *world) edges() []int {
	var list []int
	var found [domainCount]int
	for i, h := range w.hosts {
		if !h.dead && found[domain(i)] < edgeCount {
			found[domain(i)]++
			list = append(list, i)
		}
	}
	return list
}

// gossip exchanges news with one random peer, as probes do: of the own failure domain or, between edge hosts, of others.
func (w *world) gossip(i int) {
	w.After(gossipEvery, func() { w.gossip(i) })
	j := w.rand.IntN(hostCount/domainCount)*domainCount + domain(i)
	if edges := w.edges(); slices.Contains(edges, i) && w.rand.IntN(2) == 0 {
		j = edges[w.rand.IntN(len(edges))]
	}
	a, b := w.hosts[i], w.hosts[j]
	if a == b || a.dead || b.dead || w.rand.Float64() < gossipLoss {
		return
	}
	w.learn(b, a, a.ledger.Recent(w.Now))
	w.learn(a, b, b.ledger.Recent(w.Now))
}

// start brings a backend server up with a new epoch, which its scheduler reads from its load report.
func (w *world) start(i int) {
	s := w.servers[i]
	s.dead = false
	s.epoch = w.rand.Uint64()
	w.hosts[s.scheduler].ledger.Epoch(w.Now, s.name, s.epoch)
}

// crash ends a backend server and breaks its streams; hosts notice one after the other.
func (w *world) crash(i int) {
	s := w.servers[i]
	if s.dead {
		return
	}
	s.dead = true
	w.After(restart+w.spread(restart), func() { w.start(i) })
	w.After(w.spread(500*time.Millisecond), func() {
		if h := w.hosts[s.scheduler]; !h.dead {
			w.noticed(h, i)
		}
	})
	broken := w.sorted(s)
	clear(s.attempts)
	for _, a := range broken {
		a.leave()
		w.After(w.spread(50*time.Millisecond), func() { a.broke() })
	}
}

// noticed records a crash at one host, which tells the others at once.
func (w *world) noticed(h *host, i int) {
	h.refused[i] = w.Now
	h.ledger.Crashed(w.Now, w.servers[i].name)
	w.tell(h, func(peer *host) bool { return domain(peer.index) == domain(h.index) })
}

// learn takes in a peer's news; an edge host passes evidence on that it didn't have.
func (w *world) learn(h, from *host, news []protocol.Suspicion) {
	edges := w.edges()
	if h.dead || !h.ledger.Merge(w.Now, news) || !slices.Contains(edges, h.index) {
		return
	}
	if domain(from.index) == domain(h.index) {
		w.tell(h, func(peer *host) bool {
			return slices.Contains(edges, peer.index) && domain(peer.index) != domain(h.index)
		})
		return
	}
	w.tell(h, func(peer *host) bool { return domain(peer.index) == domain(h.index) })
}

// tell sends a host's news to chosen peers, over connections that repeat what is lost.
func (w *world) tell(h *host, chosen func(*host) bool) {
	news := h.ledger.Recent(w.Now)
	for _, peer := range w.hosts {
		if peer == h || !chosen(peer) {
			continue
		}
		delay := w.spread(broadcastTime)
		if w.rand.Float64() < gossipLoss {
			delay += w.spread(repeatTime)
		}
		w.After(delay, func() { w.learn(peer, h, news) })
	}
}

// kill ends several running backend servers within a moment, as the loss of their host does.
func (w *world) kill() {
	var alive []int
	for i, s := range w.servers {
		if !s.dead {
			alive = append(alive, i)
		}
	}
	w.rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	for _, i := range alive[:min(w.Killed, len(alive))] {
		w.After(w.spread(killSpread), func() { w.crash(i) })
	}
}
