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
	if err := violation.Fix(); err != nil {
		panic(err)
	}
	for name, value := range map[string]string{"rapid.checks": "30", "rapid.shrinktime": "0s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// newNetwork starts hosts with one protection switched off, or none.
func newNetwork(seed uint64, off string, sizes ...int) *membership.Network {
	n := &membership.Network{
		Rand: rand.New(rand.NewPCG(seed, 2)), Latency: time.Millisecond,
		Prepare: func(l *member.List) { l.SwitchOff(off) },
	}
	n.Start(sizes)
	n.Run(12 * time.Second)
	return n
}

func holds(n *membership.Network, at, of protocol.Host) bool {
	return slices.ContainsFunc(n.List(at).Alive(), func(h protocol.Host) bool { return h == of })
}

// watch counts how often hosts begin to believe a state of a running host of their failure domain.
func watch(n *membership.Network, state protocol.MemberState) *int {
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

// oneWay cuts the way from one host to another.
func oneWay(a, b protocol.Host) func(from, to protocol.Host) bool {
	return func(from, to protocol.Host) bool { return from == a && to == b }
}

func TestProtections(t *testing.T) {
	tests := []struct {
		name string
		off  string
		// wrong counts wrong beliefs in a scenario.
		wrong func(n *membership.Network) int
	}{
		{"a slow host refutes its suspicion", member.Refutation, func(n *membership.Network) int {
			removed := watch(n, protocol.StateDead)
			n.Pause(n.Hosts()[1], 900*time.Millisecond)
			n.Run(10 * time.Second)
			return *removed
		}},
		{"a slow host is not removed at once", member.Suspicion, func(n *membership.Network) int {
			removed := watch(n, protocol.StateDead)
			n.Pause(n.Hosts()[1], 1050*time.Millisecond)
			n.Run(10 * time.Second)
			return *removed
		}},
		{"a host that some can't reach is not suspected", member.Indirect, func(n *membership.Network) int {
			suspected := watch(n, protocol.StateSuspect)
			h := n.Hosts()
			n.Cut = oneWay(h[0], h[1])
			n.Run(10 * time.Second)
			n.Cut = oneWay(h[1], h[2])
			n.Run(10 * time.Second)
			return *suspected
		}},
		{"old news does not revive a dead host", member.Tombstones, func(n *membership.Network) int {
			h := n.Hosts()
			n.Crash(h[1])
			n.Run(10 * time.Second)
			now := n.Now()
			n.List(h[0]).Probed(now, &protocol.Probe{From: h[2], Members: []protocol.Member{{Host: h[1]}}})
			if holds(n, h[0], h[1]) {
				return 1
			}
			return 0
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.wrong(newNetwork(1, "", 5)); got != 0 {
				t.Errorf("%d wrong beliefs", got)
			}
			if got := tt.wrong(newNetwork(1, tt.off, 5)); got == 0 {
				t.Errorf("no wrong beliefs without %s, so the test does not see what it is for", tt.off)
			}
		})
	}
}

// TestLag stops a host for a while right after it has asked others to probe two that do not answer.
func TestLag(t *testing.T) {
	for _, off := range []string{"", member.Lag} {
		l := &member.List{Self: protocol.Host{Name: "a"}, Rand: rand.New(rand.NewPCG(1, 1))}
		l.SwitchOff(off)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for _, name := range []string{"b", "c"} {
			l.Probed(now, &protocol.Probe{From: protocol.Host{Name: name}})
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
		if suspected != (off == member.Lag) {
			t.Errorf("with %q off, others suspected by a host that was stopped: %v", off, suspected)
		}
	}
}

func TestLeave(t *testing.T) {
	n := newNetwork(1, "", 4, 3)
	suspected := watch(n, protocol.StateSuspect)
	leaving := n.Hosts()[1]
	n.Leave(leaving)
	n.Run(time.Second)
	for _, at := range n.Hosts() {
		if holds(n, at, leaving) {
			t.Errorf("%s still takes the leaving host for alive", at.Name)
		}
	}
	n.Run(30 * time.Second)
	if *suspected != 0 {
		t.Errorf("%d suspicions", *suspected)
	}
}

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
				if holds(n, at, old) || !holds(n, at, next) {
					t.Errorf("%s believes %+v", at.Name, n.List(at).Members())
				}
			}
		})
	}
}

// TestPartitionHeals cuts three hosts of a failure domain off from the other three, and then lets all talk again.
func TestPartitionHeals(t *testing.T) {
	n := newNetwork(1, "", 6, 3)
	inside := func(h protocol.Host) bool { return slices.Contains(n.Hosts()[:3], h) }
	n.Cut = func(from, to protocol.Host) bool { return inside(from) != inside(to) }
	n.Run(20 * time.Second)
	for _, at := range n.Hosts()[:3] {
		if got := n.List(at).Alive(); len(got) < 3 || holds(n, at, n.Hosts()[4]) {
			t.Errorf("%s believes %+v", at.Name, got)
		}
	}
	removed := watch(n, protocol.StateDead)
	n.Run(time.Second)
	*removed = 0
	n.Cut = nil
	n.Run(30 * time.Second)
	if !n.Agree() {
		t.Error("the hosts do not agree")
	}
	if *removed != 0 {
		t.Errorf("%d removals of running hosts while healing", *removed)
	}
}

// agreement lets random failures happen to hosts and checks that all agree on the running ones a while later.
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
				n.Cut = oneWay(h, rapid.SampledFrom(n.Hosts()).Draw(t, "to"))
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

func TestAgreementFailsWithoutRefutation(t *testing.T) {
	if !violation.Found(t, agreement(member.Refutation)) {
		t.Error("hosts agree without refutation, so the test does not see what it is for")
	}
}

// TestRelayReachesAllHosts loses the first host's messages to its edge hosts, which hear the news from another host.
func TestRelayReachesAllHosts(t *testing.T) {
	n := newNetwork(1, "", 7, 5, 4)
	for _, first := range n.Hosts() {
		knows := map[string]bool{first.Name: true}
		var hear func(at, from protocol.Host)
		hear = func(at, from protocol.Host) {
			if knows[at.Name] {
				return
			}
			knows[at.Name] = true
			for _, next := range n.List(at).Relay(from) {
				hear(next, at)
			}
		}
		edges := n.List(first).Edges(first.FailureDomain)
		var between protocol.Host
		for _, h := range n.Hosts() {
			if h.FailureDomain == first.FailureDomain && h != first && !slices.Contains(edges, h) {
				between = h
				hear(h, first)
			}
		}
		for _, edge := range edges {
			if edge != first {
				hear(edge, between)
			}
		}
		if len(knows) != len(n.Hosts()) {
			t.Errorf("from %s: %d of %d hosts know", first.Name, len(knows), len(n.Hosts()))
		}
	}
}
