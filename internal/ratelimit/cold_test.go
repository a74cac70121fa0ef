package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/revision"
)

const (
	testStart     = 3 * time.Second
	testPerSecond = 15.0
	testBound     = 27.5 // requests in any second
)

var coldServer = replica.Replica{ID: "i-1", Born: 7, Service: "desk"}

// newColdTable returns a table of one of the given number of hosts, which has no share.
func newColdTable(seed uint64, hosts int) *ColdTable {
	t := &ColdTable{Seed: seed}
	t.SetBounds(1.5, 5)
	t.SetServices(map[string]ColdService{"desk": {Start: testStart, PerSecond: testPerSecond}})
	t.SetShare(0, hosts, start)
	return t
}

// stating returns server with what its entry says.
func stating(server replica.Replica, remaining time.Duration) replica.Replica {
	server.Cold = replica.Cold{Stated: true, Remaining: remaining}
	return server
}

// Guards against a cold replica that isn't noticed: one that has started in sight, again, or that nobody has seen before; and
// against one that is taken for cold although it was seen for longer than it can be cold.
func TestUnknownServerIsAssumedCold(t *testing.T) {
	table := newColdTable(1, 1)
	if n := table.Retain(start, []replica.Replica{coldServer}); n != 1 || table.Remaining(start, coldServer) != testStart {
		t.Errorf("%d assumed cold, remaining %v", n, table.Remaining(start, coldServer))
	}
	if table.Remaining(at(testStart), coldServer) != 0 {
		t.Error("cold for longer than its service says")
	}
	table.Retain(at(10*time.Second), []replica.Replica{coldServer})
	if table.Remaining(at(10*time.Second), coldServer) != 0 {
		t.Error("a replica that has long been seen is cold")
	}
	next := coldServer
	next.Born++
	table.Retain(at(20*time.Second), []replica.Replica{next})
	if table.Remaining(at(20*time.Second), next) != testStart || table.Remaining(at(20*time.Second), coldServer) != 0 {
		t.Error("the next incarnation isn't cold, or the earlier one is")
	}
	table.Retain(at(20*time.Second), []replica.Replica{{ID: "o", Service: "other"}})
	if table.Count(at(20*time.Second), []replica.Replica{next, {ID: "o", Service: "other"}}) != 1 {
		t.Error("a replica of a service without cold ones counts")
	}
}

// Guards against a service whose settings begin to name cold times while its replicas have long run.
func TestSettingsMakeNoServerCold(t *testing.T) {
	table := newColdTable(1, 1)
	table.SetServices(nil)
	table.Retain(start, []replica.Replica{coldServer})
	table.SetServices(map[string]ColdService{"desk": {Start: testStart, PerSecond: testPerSecond}})
	if n := table.Retain(at(time.Minute), []replica.Replica{coldServer}); n != 0 {
		t.Errorf("%d replicas assumed cold", n)
	}
}

// Guards against an entry that counts anew with each read, that lifts what was learnt later, or that is of an older copy of the
// store; and against an entry that is ignored.
func TestEntriesCountOnce(t *testing.T) {
	second := time.Second
	for _, test := range []struct {
		name  string
		steps func(table *ColdTable)
		want  time.Duration // remaining after 20 s
	}{
		{"same entry read again", func(table *ColdTable) {
			table.Read(at(0), at(0), stating(coldServer, 15*second), revision.New(0, 5))
			table.Read(at(19*second), at(19*second), stating(coldServer, 15*second), revision.New(0, 5))
		}, 0},
		{"written again", func(table *ColdTable) {
			table.Read(at(0), at(0), stating(coldServer, 0), revision.New(0, 5))
			table.Read(at(19*second), at(19*second), stating(coldServer, 15*second), revision.New(0, 6))
		}, 14 * second},
		{"warm after it was said to be cold", func(table *ColdTable) {
			table.Read(at(0), at(0), stating(coldServer, 100*second), revision.New(0, 5))
			table.Read(at(10*second), at(10*second), stating(coldServer, 0), revision.New(0, 6))
		}, 0},
		{"warm by a read before the response", func(table *ColdTable) {
			table.Read(at(0), at(0), stating(coldServer, 0), revision.New(0, 5))
			table.Responded(at(10*second), coldServer, at(9*second), 20*second)
			table.Read(at(10100*time.Millisecond), at(10050*time.Millisecond), stating(coldServer, 0), revision.New(0, 6))
		}, 10 * second},
		{"warm by an old entry that this host reads first after an evacuation", func(table *ColdTable) {
			table.Retain(at(0), []replica.Replica{coldServer})
			table.Expect(at(18*second), []replica.Replica{coldServer})
			table.Read(at(19*second), at(19*second), stating(coldServer, 0), revision.New(0, 5))
		}, second},
		{"warm by a new entry after an evacuation", func(table *ColdTable) {
			table.Read(at(0), at(0), stating(coldServer, 0), revision.New(0, 5))
			table.Expect(at(18*second), []replica.Replica{coldServer})
			table.Read(at(19*second), at(19*second), stating(coldServer, 0), revision.New(0, 6))
		}, 0},
		{"warm by an older copy of the store", func(table *ColdTable) {
			table.Read(at(0), at(0), stating(coldServer, 30*second), revision.New(0, 5))
			table.Read(at(10*second), at(10*second), stating(coldServer, 0), revision.New(1, 4))
		}, 10 * second},
		{"cold by an entry at the first read", func(table *ColdTable) {
			table.Read(at(0), at(0), stating(coldServer, 30*second), revision.New(0, 5))
		}, 10 * second},
		{"no statement", func(table *ColdTable) {
			table.Retain(at(18*second), []replica.Replica{coldServer})
			table.Read(at(18*second), at(18*second), coldServer, revision.New(0, 5))
		}, second},
		{"warm lifts an assumption", func(table *ColdTable) {
			table.Retain(at(18*second), []replica.Replica{coldServer})
			table.Read(at(18*second), at(18*second), stating(coldServer, 0), revision.New(0, 5))
		}, 0},
		{"over an hour", func(table *ColdTable) {
			table.Read(at(20*second), at(20*second), stating(coldServer, 1e6*time.Hour), revision.New(0, 5))
		}, MaxCold},
	} {
		table := newColdTable(1, 1)
		test.steps(table)
		if got := table.Remaining(at(20*second), coldServer); got != test.want {
			t.Errorf("%s: remaining %v, want %v", test.name, got, test.want)
		}
	}
}

// Responses overtake each other. An earlier end by a request that was sent before the later end was known doesn't count, and
// one by a later request does.
func TestOnlyLaterRequestsEndCold(t *testing.T) {
	table := newColdTable(1, 1)
	table.Responded(at(0), coldServer, at(0), 10*time.Second)
	if table.Responded(at(time.Second), coldServer, at(-time.Second), 0) {
		t.Error("a request that was sent before ends the cold time")
	}
	if table.Responded(at(time.Second), coldServer, at(500*time.Millisecond), 9*time.Second) {
		t.Error("a response that says the same changes something")
	}
	if !table.Responded(at(2*time.Second), coldServer, at(time.Second), 0) || table.Remaining(at(2*time.Second), coldServer) != 0 {
		t.Error("a later response doesn't end the cold time")
	}
	if !table.Responded(at(3*time.Second), coldServer, at(0), 4*time.Second) {
		t.Error("a replica that turns cold again isn't noticed")
	}
}

// Guards against statements that are lost between hosts, that come late, or that are sent for ever since two hosts don't agree;
// and against a host that has restarted and takes all replicas for cold.
func TestColdStatementsAgree(t *testing.T) {
	const latency = 20 * time.Millisecond
	exchange := func(now time.Time, from, to *ColdTable) int {
		return len(to.Merge(now.Add(latency), now.Add(-latency), from.Statements(now)))
	}
	old, restarted := newColdTable(1, 2), newColdTable(2, 2)
	old.Retain(start, []replica.Replica{coldServer})
	restarted.Retain(at(time.Minute), []replica.Replica{coldServer})
	if old.Digest(at(time.Minute)) == restarted.Digest(at(time.Minute)) {
		t.Fatal("the host that has restarted isn't told")
	}
	exchange(at(time.Minute), old, restarted)
	if restarted.Remaining(at(61*time.Second), coldServer) != 0 {
		t.Error("a host that has restarted takes a warm replica for cold")
	}
	exchange(at(time.Minute), restarted, old)
	if old.Remaining(at(61*time.Second), coldServer) != 0 {
		t.Error("a host that has restarted makes others take a warm replica for cold")
	}
	now := at(2 * time.Minute)
	old.Responded(now, coldServer, now, 5*time.Second)
	restarted.Responded(now.Add(time.Millisecond), coldServer, now, 4*time.Second)
	exchange(now.Add(time.Second), old, restarted)
	exchange(now.Add(time.Second), restarted, old)
	if a, b := old.Remaining(now, coldServer), restarted.Remaining(now, coldServer); a != 5*time.Second || b < 4*time.Second {
		t.Errorf("remaining %v and %v, want the later end to hold", a, b)
	}
	early := old.Statements(now)
	restarted.Responded(now.Add(2*time.Second), coldServer, now.Add(1500*time.Millisecond), 0)
	warm := restarted.Statements(now.Add(2 * time.Second))
	exchange(now.Add(3*time.Second), restarted, old)
	if r := old.Remaining(now.Add(3100*time.Millisecond), coldServer); r != 0 {
		t.Errorf("remaining %v after a response said otherwise", r)
	}
	// Messages that come late: nothing tells how late, so one that says cold counts and one that says warm doesn't.
	old.Merge(now.Add(3500*time.Millisecond), now, early)
	if old.Remaining(now.Add(4*time.Second), coldServer) == 0 {
		t.Error("a late statement of a cold replica is ignored")
	}
	old.Merge(now.Add(3600*time.Millisecond), now, warm)
	if old.Remaining(now.Add(4*time.Second), coldServer) == 0 {
		t.Error("a late statement of a warm replica counts as a new one")
	}
	end := now.Add(time.Minute)
	exchange(end, old, restarted)
	exchange(end, restarted, old)
	if old.Digest(end) != restarted.Digest(end) {
		t.Error("two hosts disagree for ever on what has ended")
	}
}

// Guards against replicas that are gone and that hosts remind each other of for ever, since each forgets them at another time.
func TestGoneServersAreForgotten(t *testing.T) {
	tables := []*ColdTable{newColdTable(1, 2), newColdTable(2, 2)}
	for i, table := range tables {
		table.Retain(at(time.Duration(i)*300*time.Millisecond), []replica.Replica{coldServer})
	}
	tables[0].Responded(at(time.Second), replica.Replica{ID: "other", Born: 1, Service: "desk"}, at(0), 10*time.Second)
	for now := at(time.Second); now.Before(at(3 * unlistedRetention)); now = now.Add(250 * time.Millisecond) {
		for i, table := range tables {
			table.Retain(now, nil)
			table.Merge(now, now, tables[1-i].Statements(now))
		}
	}
	for i, table := range tables {
		if n := len(table.rows); n != 0 || table.Digest(at(3*unlistedRetention)) != 0 {
			t.Errorf("table %d still knows %d servers", i, n)
		}
	}
}

// spend lets tables with the given shares (0 for a host that places alone) take all tokens that they get for 30 s, each in
// bursts after pauses if idle is set, and returns the most requests in one second and the mean in a second.
func spend(seed uint64, shares []float64, hosts int, idle time.Duration) (most int, mean float64) {
	random := rand.New(rand.NewPCG(seed, 5))
	var tables []*ColdTable
	for _, share := range shares {
		table := newColdTable(random.Uint64(), hosts)
		table.Responded(start, coldServer, start, MaxCold)
		table.SetShare(share, hosts, at(MaxCold))
		tables = append(tables, table)
	}
	const length = 20 * time.Second
	var taken []time.Duration
	first := 0
	for d := time.Duration(0); d < length; d += 10 * time.Millisecond {
		if idle > 0 && d%(2*idle) < idle {
			continue
		}
		for _, table := range tables {
			for table.mayTake(at(d), coldServer) {
				table.take(at(d), coldServer)
				taken = append(taken, d)
			}
		}
		for first < len(taken) && d-taken[first] >= time.Second {
			first++
		}
		most = max(most, len(taken)-first)
	}
	return most, float64(len(taken)) / length.Seconds()
}

// repeat returns n times the value.
func repeat(n int, value float64) []float64 {
	values := make([]float64, n)
	for i := range values {
		values[i] = value
	}
	return values
}

// Guards against more requests than the bound allows in any second over hosts that don't know of each other, also if all of
// them have been idle and then begin at once, and against a rate far below what a cold replica takes.
func TestAnySecondKeepsColdBound(t *testing.T) {
	for _, test := range []struct {
		name   string
		shares []float64
		hosts  int
		least  float64 // requests a second without pauses
	}{
		{"one planner", []float64{1}, 89, 14.5},
		{"four planners", repeat(4, 0.25), 89, 14.5},
		{"each host its own planner", repeat(89, 1.0/89), 89, 7},
		{"all hosts alone", repeat(89, 0), 89, 1.2},
		{"all hosts alone, few", repeat(3, 0), 3, 1.2},
		{"a planner with all hosts, which are alone too", append(repeat(89, 0), 1), 89, 16},
		{"a large planner and many small ones", append(repeat(44, 1.0/89), 45.0/89), 89, 10},
	} {
		for seed := range uint64(8) {
			for _, idle := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second} {
				most, mean := spend(seed, test.shares, test.hosts, idle)
				if float64(most) > testBound {
					t.Errorf("%s, seed %d, pauses %v: %d requests in a second", test.name, seed, idle, most)
				}
				if idle == 0 && mean < test.least {
					t.Errorf("%s, seed %d: %.1f requests a second, want %.1f", test.name, seed, mean, test.least)
				}
			}
		}
	}
}

// Guards against a planner that was frozen and goes on with a share that others have taken over, and against a host that spends
// anything before it knows how many others there are.
func TestColdShareEnds(t *testing.T) {
	table := newColdTable(1, 89)
	table.Responded(start, coldServer, start, MaxCold)
	table.SetShare(1, 89, at(time.Second))
	before, _, _ := table.capacity(at(900*time.Millisecond), coldServer)
	after, _, _ := table.capacity(at(1100*time.Millisecond), coldServer)
	if before != testPerSecond || after != testPerSecond*aloneShare/89 {
		t.Errorf("%v requests a second while the share holds, %v afterwards", before, after)
	}
	fresh := newColdTable(1, 0)
	fresh.Responded(start, coldServer, start, MaxCold)
	if rate, tokens, _ := fresh.capacity(at(time.Minute), coldServer); rate != 0 || tokens != 0 {
		t.Errorf("%v requests a second, %v tokens without a number of hosts", rate, tokens)
	}
}

// The rate that is aimed at leaves room in the bound for what planners and hosts spend that don't know of each other.
func TestAimLeavesMargin(t *testing.T) {
	for _, test := range []struct{ perSecond, over, slack, want float64 }{
		{15, 1.5, 5, 15},
		{2, 1.5, 5, 2},
		{100, 1, 5, 79.22},
		{15, 1, 5, 12.55},
		{2, 1, 0, 0.25},
	} {
		var table ColdTable
		table.SetBounds(test.over, test.slack)
		if got := table.aim(test.perSecond); fmt.Sprintf("%.2f", got) != fmt.Sprintf("%.2f", test.want) {
			t.Errorf("%v a second, bounds %v and %v: aim %.2f, want %.2f", test.perSecond, test.over, test.slack, got, test.want)
		}
	}
}
