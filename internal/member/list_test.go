package member_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/bench/membership"
	"github.com/turmericshunt/turmericshunt/internal/member"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/violation"
)

func TestMain(m *testing.M) {
	if err := violation.FixSeed(); err != nil {
		panic(err)
	}
	for name, value := range map[string]string{"rapid.checks": "30", "rapid.shrinktime": "0s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// newNetwork starts a simulated network with one failure domain for each size and runs it for 12 s. All hosts have
// the protection named off disabled; an empty name disables none.
func newNetwork(seed uint64, off string, sizes ...int) *membership.Network {
	n := &membership.Network{
		Rand: rand.New(rand.NewPCG(seed, 2)), Latency: time.Millisecond,
		Prepare: func(l *member.List) { l.Disable(off) },
	}
	n.Start(sizes)
	n.Run(12 * time.Second)
	return n
}

func seesAlive(n *membership.Network, at, of protocol.Host) bool {
	return slices.ContainsFunc(n.List(at).Alive(), func(h protocol.Host) bool { return h == of })
}

// countTransitions counts how often a host changes its view of a running host of its failure domain to the given
// state. The count goes on while the network runs.
func countTransitions(n *membership.Network, state protocol.MemberState) *int {
	count := new(int)
	last := make(map[string]protocol.MemberState)
	n.Changed = func(_ time.Time, at protocol.Host) {
		for _, m := range n.List(at).Members() {
			pair := at.Name + m.Host.Name
			own := m.Host.FailureDomain == at.FailureDomain
			if own && m.State != last[pair] && m.State == state && !n.Crashed(m.Host) {
				*count++
			}
			last[pair] = m.State
		}
	}
	return count
}

// cutOneWay returns a Cut function that drops messages from a to b, but not those from b to a.
func cutOneWay(a, b protocol.Host) func(from, to protocol.Host) bool {
	return func(from, to protocol.Host) bool { return from == a && to == b }
}

// TestProtections runs a scenario for each protection. Hosts must not get a wrong view of another host with the
// protection, and must get one without it.
func TestProtections(t *testing.T) {
	tests := []struct {
		name string
		off  string
		// wrong runs a scenario and counts wrong views of running or dead hosts.
		wrong func(n *membership.Network) int
	}{
		{"a slow host refutes its suspicion", member.Refutation, func(n *membership.Network) int {
			removed := countTransitions(n, protocol.StateDead)
			n.Pause(n.Hosts()[1], 900*time.Millisecond)
			n.Run(10 * time.Second)
			return *removed
		}},
		{"a slow host is not removed at once", member.Suspicion, func(n *membership.Network) int {
			removed := countTransitions(n, protocol.StateDead)
			n.Pause(n.Hosts()[1], 1050*time.Millisecond)
			n.Run(10 * time.Second)
			return *removed
		}},
		{"a host that some can't reach is not suspected", member.Indirect, func(n *membership.Network) int {
			suspected := countTransitions(n, protocol.StateSuspect)
			h := n.Hosts()
			n.Cut = cutOneWay(h[0], h[1])
			n.Run(10 * time.Second)
			n.Cut = cutOneWay(h[1], h[2])
			n.Run(10 * time.Second)
			return *suspected
		}},
		{"outdated gossip does not revive a dead host", member.Tombstones, func(n *membership.Network) int {
			h := n.Hosts()
			n.Crash(h[1])
			n.Run(10 * time.Second)
			now := n.Now()
			n.List(h[0]).HandleProbe(now, &protocol.Probe{From: h[2], Members: []protocol.Member{{Host: h[1]}}})
			if seesAlive(n, h[0], h[1]) {
				return 1
			}
			return 0
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.wrong(newNetwork(1, "", 5)); got != 0 {
				t.Errorf("%d wrong views", got)
			}
			if got := tt.wrong(newNetwork(1, tt.off, 5)); got == 0 {
				t.Errorf("no wrong views without %s, so the scenario does not exercise this protection", tt.off)
			}
		})
	}
}

// TestLagCompensation pauses a host for 5 s right after it has asked other hosts to probe two that do not answer. The
// paused host must not suspect them, because it could not receive their answers during the pause.
func TestLagCompensation(t *testing.T) {
	for _, off := range []string{"", member.LagCompensation} {
		l := &member.List{Self: protocol.Host{Name: "a"}, Rand: rand.New(rand.NewPCG(1, 1))}
		l.Disable(off)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for _, name := range []string{"b", "c"} {
			l.HandleProbe(now, &protocol.Probe{From: protocol.Host{Name: name}})
		}
		for asked := false; !asked; {
			now = l.Next()
			for _, a := range l.Tick(now) {
				asked = asked || a.Probe.Target != ""
			}
		}
		l.Tick(now.Add(5 * time.Second))
		suspected := slices.ContainsFunc(l.Members(), func(m protocol.Member) bool {
			return m.State == protocol.StateSuspect
		})
		if suspected != (off == member.LagCompensation) {
			t.Errorf("with %q disabled: a paused host suspects others: %v", off, suspected)
		}
	}
}

// TestLeave checks that all hosts stop counting a leaving host as alive within 1 s and never suspect it.
func TestLeave(t *testing.T) {
	n := newNetwork(1, "", 4, 3)
	suspected := countTransitions(n, protocol.StateSuspect)
	leaving := n.Hosts()[1]
	n.Leave(leaving)
	n.Run(time.Second)
	for _, at := range n.Hosts() {
		if seesAlive(n, at, leaving) {
			t.Errorf("%s still counts the leaving host as alive", at.Name)
		}
	}
	n.Run(30 * time.Second)
	if *suspected != 0 {
		t.Errorf("%d suspicions", *suspected)
	}
}

// TestReplacement starts a new incarnation of a host, or another host, at the address of a running host. The other
// hosts must replace the old host with the new one.
func TestReplacement(t *testing.T) {
	tests := []struct {
		name   string
		change func(*protocol.Host)
	}{
		{"restart", func(h *protocol.Host) { h.Incarnation++ }},
		{"other host at the address", func(h *protocol.Host) { h.Name = "entry-new" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNetwork(1, "", 4)
			old := n.Hosts()[1]
			next := old
			tt.change(&next)
			n.Add(next)
			n.Run(3 * time.Second)
			for _, at := range []protocol.Host{n.Hosts()[0], n.Hosts()[2], next} {
				if seesAlive(n, at, old) || !seesAlive(n, at, next) {
					t.Errorf("members of %s: %+v", at.Name, n.List(at).Members())
				}
			}
		})
	}
}

// TestPartitionHeals separates three hosts of a failure domain from the other three and then ends the partition. All
// hosts must agree afterwards, and none may declare a running host dead while they merge their members.
func TestPartitionHeals(t *testing.T) {
	n := newNetwork(1, "", 6, 3)
	inside := func(h protocol.Host) bool { return slices.Contains(n.Hosts()[:3], h) }
	n.Cut = func(from, to protocol.Host) bool { return inside(from) != inside(to) }
	n.Run(20 * time.Second)
	for _, at := range n.Hosts()[:3] {
		if got := n.List(at).Alive(); len(got) < 3 || seesAlive(n, at, n.Hosts()[4]) {
			t.Errorf("alive hosts according to %s: %+v", at.Name, got)
		}
	}
	removed := countTransitions(n, protocol.StateDead)
	n.Run(time.Second)
	*removed = 0
	n.Cut = nil
	n.Run(30 * time.Second)
	if !n.Agree() {
		t.Error("the hosts do not agree")
	}
	if *removed != 0 {
		t.Errorf("%d removals of running hosts after the partition", *removed)
	}
}

// agreement returns a property: 25 s after random failures of hosts and connections, all hosts agree on the running
// hosts.
func agreement(off string) func(*rapid.T) {
	return func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), off, 3, 2)
		for range rapid.IntRange(1, 6).Draw(t, "failures") {
			h := rapid.SampledFrom(n.Hosts()).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "failure") {
			case 0:
				n.Crash(h)
			case 1:
				n.Pause(h, time.Duration(rapid.IntRange(100, 5000).Draw(t, "ms"))*time.Millisecond)
			case 2:
				n.Cut = cutOneWay(h, rapid.SampledFrom(n.Hosts()).Draw(t, "to"))
			case 3:
				n.Loss = 0.3
			}
			n.Run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
			n.Cut, n.Loss = nil, 0
		}
		n.Run(25 * time.Second)
		if !n.Agree() {
			t.Fatal("the hosts do not agree")
		}
	}
}

func TestAgreement(t *testing.T) { rapid.Check(t, agreement("")) }

// TestAgreementFailsWithoutRefutation checks that the property of TestAgreement fails if hosts cannot refute
// suspicions.
func TestAgreementFailsWithoutRefutation(t *testing.T) {
	if !violation.FindsCounterexample(t, agreement(member.Refutation)) {
		t.Error("hosts agree without refutation, so TestAgreement does not exercise it")
	}
}

// TestRelayReachesAllHosts checks that gossip from any host reaches all hosts, even if the messages from this host to
// its edge hosts are lost and the edge hosts receive the gossip from a third host.
func TestRelayReachesAllHosts(t *testing.T) {
	n := newNetwork(1, "", 7, 5, 4)
	for _, first := range n.Hosts() {
		informed := map[string]bool{first.Name: true}
		var receive func(at, from protocol.Host)
		receive = func(at, from protocol.Host) {
			if informed[at.Name] {
				return
			}
			informed[at.Name] = true
			for _, next := range n.List(at).RelayTargets(from) {
				receive(next, at)
			}
		}
		edges := n.List(first).EdgeHosts(first.FailureDomain)
		var intermediate protocol.Host
		for _, h := range n.Hosts() {
			if h.FailureDomain == first.FailureDomain && h != first && !slices.Contains(edges, h) {
				intermediate = h
				receive(h, first)
			}
		}
		for _, edge := range edges {
			if edge != first {
				receive(edge, intermediate)
			}
		}
		if len(informed) != len(n.Hosts()) {
			t.Errorf("from %s: %d of %d hosts informed", first.Name, len(informed), len(n.Hosts()))
		}
	}
}
