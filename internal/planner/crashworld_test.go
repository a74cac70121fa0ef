package planner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/virtual"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	crashDomains         = 3
	crashHosts           = 6
	crashReplicas        = 15
	crashHeartbeat       = 250 * time.Millisecond  // between each host and its planner
	crashBypassAfter     = 80 * time.Millisecond   // a host plans by itself if its planner does not reply for this time
	crashLostAfter       = 900 * time.Millisecond  // a host notices after this time that others can't be reached
	crashUnlistAfter     = 1200 * time.Millisecond // the entry of a replica that is gone is removed after this time
	crashPoll            = 20 * time.Millisecond
	crashProbingDelay    = 10 * time.Second // as in package placement
	crashStableWindow    = 3 * time.Second
	crashMinReturn       = 2 * time.Second // from a crash to the next start at least; three times this at most
	crashMaxWriting      = 100 * time.Millisecond
	crashRestartDuration = 1500 * time.Millisecond
)

type (
	// crashWorld is a simulation in virtual time of entry hosts with their planners, replicas that some requests crash,
	// and callers. It depends only on its scenario and seed.
	crashWorld struct {
		virtual.Clock
		scenario *crashScenario
		begin    time.Time
		random   *rand.Rand // for what happens in the run; what is scheduled beforehand has sources of its own
		disrupt  *rand.Rand // for the times of disruptions
		hosts    []*crashHost
		planner  *crashHost // plans for all hosts that reach it
		replicas []*crashReplica
		starts   int // replicas started so far
		calls    []*crashCall
		attempts int
		crashes  map[uint64][]time.Time // caused by each bad part
		badSends map[uint64][]badSend   // attempts with each bad part that reached replicas
		crashed  int                    // replicas that have crashed for any reason
		sides    [crashDomains]int      // of each failure domain's replicas
		groups   int                    // last number given to a group of hosts
	}

	// badSend is an attempt with a bad part that reached a replica.
	badSend struct {
		at      time.Time
		inTouch bool // of the sending host
	}

	// crashHost is an entry host.
	crashHost struct {
		index        int
		name         string
		domain       int
		planner      *Planner
		plannedBy    *crashHost // may be the host itself
		plannedSince time.Time
		group        int // hosts of the same group reach each other
		side         int // hosts reach the replicas of the same side
		frozen       bool
		down         bool
		inbox        []func() // what happened to it while it was frozen
		calmSince    time.Time
		polling      bool
		pending      []*crashAttempt // without a placement result
		placed       []*crashAttempt // in progress
	}

	// crashReplica is one incarnation of a replica.
	crashReplica struct {
		replica  replica.Replica
		domain   int
		side     int
		dead     bool
		listed   bool
		attempts []*crashAttempt
	}
)

func newCrashWorld(s *crashScenario, seed uint64) *crashWorld {
	w := &crashWorld{
		scenario: s, begin: start, crashes: make(map[uint64][]time.Time), badSends: make(map[uint64][]badSend),
		random: rand.New(rand.NewPCG(seed, 200)), disrupt: rand.New(rand.NewPCG(seed, 100)),
	}
	w.Now = start
	for i := range crashHosts {
		w.hosts = append(w.hosts, &crashHost{
			index: i, name: "host-" + strconv.Itoa(i), domain: i % crashDomains, planner: newCrashPlanner(i),
			calmSince: start.Add(-crashStableWindow),
		})
	}
	w.planner = w.hosts[0]
	for _, h := range w.hosts {
		h.plannedBy = w.planner
	}
	for i := range crashReplicas {
		w.startReplica(i % crashDomains)
	}
	w.After(crashHeartbeat, w.heartbeats)
	return w
}

func newCrashPlanner(order int) *Planner {
	p := New(uint64(order))
	p.SetEngines(map[string]*catalog.EngineParams{"llm": testEngine})
	return p
}

// exchange passes what one host's planner knows of crashes on to another's, as the heartbeat from the first host to the
// second does. Heartbeats pass every crashHeartbeat between each host and its planner, and when a host gets a new planner.
func (w *crashWorld) exchange(from, to *crashHost) {
	if from.planner.Quarantine().Digest(w.Now) != to.planner.Quarantine().Digest(w.Now) {
		to.planner.Quarantine().Merge(w.Now, from.planner.Quarantine().Verdicts(w.Now))
		w.decide(to)
	}
}

// reportCrashes reports the attempts that broke off, as far as the host knows, to its new planner.
func (w *crashWorld) reportCrashes(h, p *crashHost) {
	crashes := h.planner.Quarantine().Crashes(w.Now)
	w.send(h, p, func() {
		for _, c := range crashes {
			p.planner.Quarantine().Crashed(w.Now, c)
		}
	})
}

// heartbeats exchanges heartbeats between each host and its planner.
func (w *crashWorld) heartbeats() {
	for _, h := range w.hosts {
		w.exchangeBoth(h, h.plannedBy)
		h.planner.SetProbing(h.plannedBy == h && w.Now.Sub(h.plannedSince) > crashProbingDelay)
	}
	w.After(crashHeartbeat, w.heartbeats)
}

// exchangeBoth exchanges heartbeats between two hosts, if both can.
func (w *crashWorld) exchangeBoth(h, p *crashHost) {
	if h == p || h.group != p.group || h.frozen || p.frozen || h.down || p.down {
		return
	}
	w.exchange(h, p)
	w.exchange(p, h)
}

// inTouch reports whether the host has been without disruption for the stable window.
func (w *crashWorld) inTouch(h *crashHost) bool {
	return !h.frozen && !h.down && h.group == 0 && w.Now.Sub(h.calmSince) >= crashStableWindow
}

// atHost runs f at the host: at once, or when the host continues if it is frozen.
func (w *crashWorld) atHost(h *crashHost, f func()) {
	switch {
	case h.down:
	case h.frozen:
		h.inbox = append(h.inbox, f)
	default:
		f()
	}
}

// send delivers a message from one host to another, where f handles it.
func (w *crashWorld) send(from, to *crashHost, f func()) {
	if from.group == to.group {
		w.atHost(to, f)
	}
}

// startReplica starts a replica with a new ID.
func (w *crashWorld) startReplica(domain int) {
	w.starts++
	address := netip.AddrFrom4([4]byte{10, byte(domain), byte(w.starts >> 8), byte(w.starts)})
	w.replicas = append(w.replicas, &crashReplica{
		domain: domain, side: w.sides[domain], listed: w.sides[domain] == 0,
		replica: replica.Replica{
			ID: fmt.Sprintf("i-%04d", w.starts), Service: "llm", Slots: 16, FailureDomain: string(rune('a' + domain)),
			Address: netip.AddrPortFrom(address, 8080), Born: w.Now.UnixMilli(),
		},
	})
	w.listReplicas()
}

// listReplicas reports the listed replicas to all hosts that reach the store.
func (w *crashWorld) listReplicas() {
	w.replicas = slices.DeleteFunc(w.replicas, func(r *crashReplica) bool { return r.dead && !r.listed })
	var list []replica.Replica
	for _, r := range w.replicas {
		if r.listed {
			list = append(list, r.replica)
		}
	}
	for _, h := range w.hosts {
		if h.group != 0 {
			continue
		}
		w.atHost(h, func() {
			h.planner.SetReplicas(w.Now, list)
			w.decide(h)
		})
	}
}

// crash ends a replica and all its attempts. A new one starts in its place some seconds later.
func (w *crashWorld) crash(r *crashReplica) {
	if r.dead {
		return
	}
	r.dead = true
	w.crashed++
	broken := r.attempts
	r.attempts = nil
	for _, a := range broken {
		w.endAttempt(a, OutcomeBroken)
	}
	w.After(crashUnlistAfter, func() {
		r.listed = false
		w.listReplicas()
	})
	w.After(crashMinReturn+w.jitter(2*crashMinReturn), func() { w.startReplica(r.domain) })
}

// jitter returns a random duration of at least 0 and less than d.
func (w *crashWorld) jitter(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// choosePlanner makes p plan for h, as placement.Client does when its roster names another planner.
func (w *crashWorld) choosePlanner(h, p *crashHost) {
	old := h.plannedBy
	if old == p || h.down {
		return
	}
	if old != h {
		w.removeHost(old, h)
	}
	h.plannedBy, h.plannedSince = p, w.Now
	placements := w.placementsOf(h)
	for _, a := range h.placed {
		a.bypassed = false
	}
	if p == h {
		h.planner.ReplaceHost(w.Now, h.name, placements)
	} else {
		h.planner.RemoveHost(w.Now, h.name)
		w.send(h, p, func() { p.planner.ReplaceHost(w.Now, h.name, placements) })
		w.exchangeBoth(h, p)
		w.reportCrashes(h, p)
	}
	for _, a := range slices.Clone(h.pending) {
		w.submit(a)
	}
	w.decide(h)
}

// removeHost makes a planner drop the requests of a host that it no longer plans for, also if the connection has ended.
func (w *crashWorld) removeHost(p, h *crashHost) {
	w.atHost(p, func() {
		p.planner.RemoveHost(w.Now, h.name)
		w.decide(p)
	})
}

// placementsOf returns the placed requests of a host with their remaining times.
func (w *crashWorld) placementsOf(h *crashHost) []Placement {
	var placements []Placement
	for _, a := range h.placed {
		placements = append(placements, w.placementOf(a))
	}
	return placements
}

func (w *crashWorld) placementOf(a *crashAttempt) Placement {
	req := a.request
	req.SubtractElapsed(w.Now.Sub(a.requestedAt))
	return Placement{
		Request: req, Replica: a.plan.Replica.ID, Helpers: a.plan.Helpers, Decoding: a.decoding,
		FirstEvent: max(a.firstEvent.Sub(w.Now), 1),
	}
}
