package planner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const (
	crashSeeds = 20
	// The users' bounds: once a part has crashed this many replicas, only so many requests with it reach replicas later
	// than the stable window after that.
	crashBudgetCrashes  = 5
	crashBudgetRequests = 3
	// The users' bound: this long after those crashes, sound requests that share a part with the bad ones begin at the
	// first attempt at least half as often as without bad requests, if there are enough of them to tell.
	crashSettled    = 2 * crashStableWindow
	crashLostShare  = 0.5
	crashLostSample = 20
)

const badHash, otherBadHash = 7001, 7002

// usual returns a scenario of usual length with bad requests.
func usual(name string, disrupt func(w *crashWorld), bad ...badTraffic) crashScenario {
	for i := range bad {
		bad[i].from += 3 * time.Second
	}
	return crashScenario{name: name, length: 25 * time.Second, soundRate: 20, bad: bad, disrupt: disrupt}
}

var badScenarios = []crashScenario{
	usual("beside a common first part", nil, badTraffic{hash: badHash}),
	usual("beside any first part", nil, badTraffic{hash: badHash, layout: badBesideAnyFirst}),
	usual("as the first part", nil, badTraffic{hash: badHash, layout: badIsFirst}),
	usual("two at once, one rare", nil,
		badTraffic{hash: badHash}, badTraffic{hash: otherBadHash, layout: badBesideAnyFirst, rate: 0.4}),
	usual("planner changes", changePlanners, badTraffic{hash: badHash}),
	usual("planner changes, any first part", changePlanners, badTraffic{hash: badHash, layout: badBesideAnyFirst}),
	usual("planner frozen", freezePlanners, badTraffic{hash: badHash}),
	usual("host out of touch", cutHost, badTraffic{hash: badHash}),
	usual("failure domain cut off", cutDomain, badTraffic{hash: badHash, layout: badBesideAnyFirst}),
	usual("failure domain cut off, common first part", cutDomain, badTraffic{hash: badHash}),
	usual("hosts restarted", restartHosts, badTraffic{hash: badHash}),
	{
		name: "the only shared part", length: 25 * time.Second, soundRate: 20, noParts: true,
		bad: []badTraffic{{hash: badHash, layout: badIsOnly, from: 3 * time.Second}},
	},
	usual("the only shared part, sound requests share others", nil, badTraffic{hash: badHash, layout: badIsOnly}),
	{
		name: "all other parts those of rare sound requests", length: 190 * time.Second, soundRate: 3,
		rareEvery: 8 * time.Second, bad: []badTraffic{{hash: badHash, layout: badBesideRare, from: 3 * time.Second, rate: 1}},
	},
}

var soundScenarios = []crashScenario{
	{name: "a third of the replicas crash together", length: 25 * time.Second, soundRate: 20, disrupt: crashThirds},
	{name: "single replicas crash", length: 25 * time.Second, soundRate: 20, disrupt: crashSingles},
	{name: "attempts break off", length: 25 * time.Second, soundRate: 20, brokenShare: 0.05},
}

// sometime returns a random time at which a disruption begins.
func (w *crashWorld) sometime() time.Duration {
	return 2*time.Second + time.Duration(w.disrupt.Int64N(int64(17*time.Second)))
}

// changePlanners changes the planner at random times. Half of the planners that are replaced lose what they know.
func changePlanners(w *crashWorld) {
	for range 5 {
		restart := w.disrupt.IntN(2) == 0
		w.After(w.sometime(), func() {
			if restart {
				w.restart(w.planner)
				return
			}
			w.changePlanner()
		})
	}
}

// freezePlanners freezes the planner so that the hosts plan for themselves.
func freezePlanners(w *crashWorld) {
	for range 3 {
		w.After(w.sometime(), func() { w.freeze(w.planner, 1500*time.Millisecond) })
	}
}

// cutHost separates a host from the other hosts and the store, but not from the replicas.
func cutHost(w *crashWorld) {
	h := w.hosts[w.disrupt.IntN(crashHosts)]
	w.After(w.sometime(), func() { w.cut([]*crashHost{h}, -1, 5*time.Second) })
}

// cutDomain cuts off a failure domain.
func cutDomain(w *crashWorld) {
	domain := w.disrupt.IntN(crashDomains)
	var hosts []*crashHost
	for _, h := range w.hosts {
		if h.domain == domain {
			hosts = append(hosts, h)
		}
	}
	w.After(w.sometime(), func() { w.cut(hosts, domain, 5*time.Second) })
}

// restartHosts restarts random hosts.
func restartHosts(w *crashWorld) {
	for range 3 {
		h := w.hosts[w.disrupt.IntN(crashHosts)]
		w.After(w.sometime(), func() { w.restart(h) })
	}
}

// crashThirds crashes a third of the replicas at once, three times.
func crashThirds(w *crashWorld) {
	for i := range 3 {
		w.After(time.Duration(4+5*i)*time.Second, func() {
			for range crashReplicas / 3 {
				w.crashRandom()
			}
		})
	}
}

// crashSingles crashes single replicas for a while.
func crashSingles(w *crashWorld) {
	for at := 3 * time.Second; at < 23*time.Second; at += 700 * time.Millisecond {
		w.After(at, w.crashRandom)
	}
}

// crashRandom crashes a replica.
func (w *crashWorld) crashRandom() {
	var alive []*crashReplica
	for _, r := range w.replicas {
		if !r.dead {
			alive = append(alive, r)
		}
	}
	if len(alive) > 0 {
		w.crash(alive[w.random.IntN(len(alive))])
	}
}

// crashFigures is what a run shows of one bad part.
type crashFigures struct {
	crashes      int     // caused by the part
	budget       int     // requests with it that reached replicas too late
	sound        int     // sound requests by which the share is measured
	begun, usual float64 // share of those that began at the first attempt, and without bad requests
	lastAt       time.Duration
}

func (f *crashFigures) String() string {
	return fmt.Sprintf("%d crashes, %d requests too late, last at %.1f s; of %d sound ones %.2f begin, usually %.2f",
		f.crashes, f.budget, f.lastAt.Seconds(), f.sound, f.begun, f.usual)
}

// figuresOf returns the figures of a bad part from a run and from the same run without bad requests.
func figuresOf(w, baseline *crashWorld, b *badTraffic) *crashFigures {
	crashes := w.crashes[b.hash]
	f := &crashFigures{crashes: len(crashes)}
	if len(crashes) == 0 {
		return f
	}
	counted := crashes[min(len(crashes), crashBudgetCrashes)-1]
	for _, sent := range w.badSends[b.hash] {
		if len(crashes) >= crashBudgetCrashes && sent.inTouch && sent.at.Sub(counted) > crashStableWindow {
			f.budget++
			f.lastAt = sent.at.Sub(w.begin)
		}
	}
	settled := counted.Add(crashSettled).Sub(w.begin)
	var usualSound int
	f.sound, f.begun = begunShare(w, w, b, settled)
	usualSound, f.usual = begunShare(baseline, w, b, settled)
	f.sound = min(f.sound, usualSound)
	return f
}

// begunShare returns the number of sound requests that share a part with the bad ones of run w and arrive at hosts in
// touch from settled on while bad ones still come, and the share of them that began at the first attempt in the run
// measured.
func begunShare(measured, w *crashWorld, b *badTraffic, settled time.Duration) (int, float64) {
	related := make(map[uint64]bool)
	var lastBad time.Duration
	for _, c := range w.calls {
		if c.bad != b.hash {
			continue
		}
		lastBad = c.at
		for _, part := range c.parts {
			related[part] = related[part] || b.layout == badIsFirst || part == c.parts[0]
		}
	}
	count, begun := 0, 0
	for _, c := range measured.calls {
		isRelated := len(c.parts) > 0 && related[c.parts[0]] || b.layout == badIsOnly ||
			b.layout == badIsFirst && slices.ContainsFunc(c.parts, func(part uint64) bool { return related[part] })
		if c.bad != 0 || !isRelated || !c.inTouch || c.at < settled || c.at > lastBad {
			continue
		}
		count++
		if c.begun && !c.broken {
			begun++
		}
	}
	return count, float64(begun) / float64(max(count, 1))
}

// refusedSound returns the number of sound requests that were refused because of crashes, and how many of them though
// fewer than ownCrashes of their own attempts had broken off.
func (w *crashWorld) refusedSound() (all, forOthers int) {
	for _, c := range w.calls {
		if c.bad == 0 && c.refused {
			all++
		}
		if c.bad == 0 && c.refusedPart {
			forOthers++
		}
	}
	return all, forOthers
}

// forEachSeed runs a scenario's check with each seed.
func forEachSeed(t *testing.T, scenarios []crashScenario, check func(t *testing.T, s *crashScenario, seed uint64)) {
	for i := range scenarios {
		s := &scenarios[i]
		t.Run(strings.ReplaceAll(s.name, ",", ""), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(crashSeeds) {
				check(t, s, seed+1)
			}
		})
	}
}

// Guards against a prompt part that crashes one replica after the other in ever new requests (incident BUDGET), and
// against a protection that refuses the sound requests which share other parts with them.
func TestPartThatCrashesReplicasIsContained(t *testing.T) {
	forEachSeed(t, badScenarios, func(t *testing.T, s *crashScenario, seed uint64) {
		w, baseline := runCrashWorld(s, seed, true), runCrashWorld(s, seed, false)
		for i := range s.bad {
			f := figuresOf(w, baseline, &s.bad[i])
			refused, forOthers := w.refusedSound()
			t.Logf("seed %d, part %d: %v; %d sound ones refused for crashes, %d of them for those of others", seed,
				s.bad[i].hash, f, refused, forOthers)
			if f.budget > crashBudgetRequests {
				t.Errorf("seed %d: %d requests with part %d reached replicas after its fifth crash and the stable window, "+
					"want at most %d", seed, f.budget, s.bad[i].hash, crashBudgetRequests)
			}
			if f.sound >= crashLostSample && f.begun < crashLostShare*f.usual {
				t.Errorf("seed %d: %.2f of %d sound requests begin at the first attempt, without bad ones %.2f",
					seed, f.begun, f.sound, f.usual)
			}
		}
	})
}

// Guards against a protection that takes sound requests for the cause of crashes or of broken connections.
func TestCrashesWithoutBadPartRefuseNoSoundRequest(t *testing.T) {
	forEachSeed(t, soundScenarios, func(t *testing.T, s *crashScenario, seed uint64) {
		w := runCrashWorld(s, seed, false)
		refused, forOthers := w.refusedSound()
		t.Logf("seed %d: %d requests, %d replicas crashed, %d requests refused for crashes, %d of them for those of others",
			seed, len(w.calls), w.crashed, refused, forOthers)
		if refused > 0 {
			t.Errorf("seed %d: %d of %d sound requests refused for crashes, %d of them for those of others",
				seed, refused, len(w.calls), forOthers)
		}
	})
}

// The simulation must depend on its scenario and seed alone.
func TestCrashWorldIsDeterministic(t *testing.T) {
	s := usual("deterministic", changePlanners, badTraffic{hash: badHash})
	first, second := runCrashWorld(&s, 3, true), runCrashWorld(&s, 3, true)
	if first.attempts != second.attempts || first.crashed != second.crashed || !slices.EqualFunc(first.calls, second.calls,
		func(x, y *crashCall) bool { return x.begun == y.begun && x.broken == y.broken && x.tries == y.tries }) {
		t.Errorf("two runs of a seed differ: %d and %d attempts, %d and %d crashes",
			first.attempts, second.attempts, first.crashed, second.crashed)
	}
}
