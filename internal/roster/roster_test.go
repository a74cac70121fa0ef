package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func member(i int) Member {
	return Member{Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:8229", i)), Weight: 0.25}
}

// heardAll records that r heard from all members directly at now.
func heardAll(r *Roster, now time.Time, members []Member) {
	for _, m := range members {
		r.RecordHeartbeat(now, m)
	}
}

// members returns the members 1 to n.
func members(n int) []Member {
	var list []Member
	for i := 1; i <= n; i++ {
		list = append(list, member(i))
	}
	return list
}

func TestHostsAgreeOnThePlanner(t *testing.T) {
	var first Member
	for i := 1; i <= 18; i++ {
		r := New(start, member(i), nil)
		heardAll(r, start, members(18))
		if i == 1 {
			first = r.Planner(start)
		}
		if got := r.Planner(start); got.Address != first.Address {
			t.Errorf("host %d chooses %v, host 1 chooses %v", i, got.Address, first.Address)
		}
	}
}

func TestLostPlannerIsReplacedUntilItReturns(t *testing.T) {
	r := New(start, member(1), nil)
	heardAll(r, start, members(18))
	first := r.Planner(start)
	if first.Address == r.Self().Address {
		t.Fatal("host 1 is the planner; choose another host for this test")
	}
	r.RecordContact(start, first.Address)
	if lost := r.ExpireSilent(start.Add(replyTimeout + time.Millisecond)); len(lost) != 1 ||
		lost[0].Address != first.Address {
		t.Errorf("lost hosts %v, want the planner only", lost)
	}
	second := r.Planner(start)
	if second.Address == first.Address {
		t.Error("the lost host is still planner")
	}
	now := start.Add(3 * time.Second)
	found := false
	for _, address := range r.Contacts(now) {
		found = found || address == first.Address
	}
	if !found {
		t.Error("the lost host is not contacted again")
	}
	if !r.RecordHeartbeat(now, first) || r.Planner(now).Address != first.Address {
		t.Error("the host that returned is not planner again")
	}
}

func TestStoppingHostIsNotPlanner(t *testing.T) {
	r := New(start, member(1), nil)
	heardAll(r, start, members(18))
	first := r.Planner(start)
	first.Stopping = true
	r.RecordHeartbeat(start.Add(time.Second), first)
	if r.Planner(start.Add(time.Second)).Address == first.Address {
		t.Error("a stopping host is planner")
	}
	r.SetStopping()
	for _, e := range r.planningOrder() {
		if e.member.Address == r.Self().Address {
			t.Error("this host is stopping but still in the planning order")
		}
	}
}

func TestSilentHostsAreForgotten(t *testing.T) {
	r := New(start, member(1), []netip.AddrPort{member(2).Address})
	r.Merge(start, members(4))
	r.ExpireSilent(start.Add(forgetTimeout + time.Second))
	if n := len(r.entries); n != 1 {
		t.Errorf("%d entries left, want the seed only", n)
	}
	if !r.Isolated(start.Add(forgetTimeout+time.Second), time.Second) {
		t.Error("a host that has heard from no other host is not isolated")
	}
}

func TestHostsWithLargeProcessorSharePlanMoreOften(t *testing.T) {
	strong := 0
	for fleet := range 200 {
		r := New(start, Member{Address: netip.MustParseAddrPort(fmt.Sprintf("10.1.%d.1:8229", fleet)), Weight: 0.134}, nil)
		for i := 2; i <= 20; i++ {
			m := Member{Address: netip.MustParseAddrPort(fmt.Sprintf("10.1.%d.%d:8229", fleet, i)), Weight: 0.134}
			if i <= 5 {
				m.Weight = 0.8
			}
			r.RecordHeartbeat(start, m)
		}
		if r.Planner(start).Weight > 0.5 {
			strong++
		}
	}
	if strong < 180 {
		t.Errorf("a host with many CPU cores is planner in %d of 200 fleets, want 180 or more", strong)
	}
}

// Hundreds of hosts with few CPU cores don't precede a few with many.
func TestWeakHostsRarelyPrecedeStrongOnes(t *testing.T) {
	weakBefore := 0
	for fleet := range 50 {
		address := func(i int) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(fleet), byte(i >> 8), byte(i)}), 8229)
		}
		r := New(start, Member{Address: address(0), Weight: 0.192}, nil)
		for i := 1; i < 295; i++ {
			m := Member{Address: address(i), Weight: 0.192}
			if i <= 15 {
				m.Weight = 0.8
			}
			r.RecordHeartbeat(start, m)
		}
		for _, m := range r.Foremost(start, 5) {
			if m.Weight < 0.5 {
				weakBefore++
			}
		}
	}
	if weakBefore > 25 {
		t.Errorf("%d of the first 5 hosts in 50 planning orders are weak, want at most a tenth", weakBefore)
	}
}

func TestHostsNotHeardDirectlyAreNotPlanner(t *testing.T) {
	r := New(start, member(1), nil)
	r.Merge(start, members(18))
	if r.Planner(start).Address != r.Self().Address {
		t.Error("a host is planner that was only reported by others")
	}
	first := r.planningOrder()[0].member
	r.RecordHeartbeat(start, first)
	if r.Planner(start).Address != first.Address {
		t.Error("the first host in the planning order is not planner after it was heard from directly")
	}
}

// A failure domain that contains the planner and its first successors becomes unreachable. The host must choose the
// first reachable successor at once and not try the unreachable ones one by one.
func TestUnreachableFailureDomainIsSkippedAtOnce(t *testing.T) {
	r := New(start, member(1), nil)
	heardAll(r, start, members(18))
	order := r.planningOrder()
	now := start.Add(100 * time.Millisecond)
	for _, address := range r.Contacts(now) {
		r.RecordContact(now, address)
	}
	now = now.Add(directTimeout)
	r.ExpireSilent(now)
	answered := 0
	for _, e := range order[5:] {
		if e.member.Address != r.Self().Address {
			r.RecordHeartbeat(now, e.member)
			answered++
		}
	}
	if planner := r.Planner(now); answered == 0 || planner.Address != order[5].member.Address && planner.Address != r.Self().Address {
		t.Errorf("planner %v, want %v", planner.Address, order[5].member.Address)
	}
}

// The first hosts of the planning order are all that another host needs in order to choose the same planner.
func TestForemostHostsSufficeToChooseThePlanner(t *testing.T) {
	const limit = 8
	full := New(start, member(1), nil)
	heardAll(full, start, members(200))
	for i := range 5 {
		other := New(start, member(201), nil)
		foremost := full.Foremost(start, limit)
		if len(foremost) != limit {
			t.Fatalf("%d hosts, want %d", len(foremost), limit)
		}
		heardAll(other, start, foremost)
		want := full.Planner(start)
		if got := other.Planner(start); got.Address != want.Address && got.Address != other.Self().Address {
			t.Errorf("after %d losses a host that knows %d hosts chooses %v, want %v", i, limit, got.Address, want.Address)
		}
		full.MarkLost(start, want.Address)
	}
}

// A host that was frozen has heard from nobody. If it chose itself as planner when it continues, it would place the
// requests that wait on servers of which it knows nothing.
func TestHostThatWasPausedKeepsItsPlanner(t *testing.T) {
	const pause = 5 * time.Second
	r := New(start, member(1), nil)
	heardAll(r, start, members(18))
	planner := r.Planner(start)
	r.RecordContact(start, planner.Address)
	end := start.Add(pause)
	r.RecordPause(pause)
	if lost := r.ExpireSilent(end); len(lost) != 0 {
		t.Errorf("lost hosts %v", lost)
	}
	if got := r.Planner(end); got.Address != planner.Address {
		t.Errorf("planner %v after the pause, %v before", got.Address, planner.Address)
	}
	// A planner that is silent from then on is replaced as soon as ever.
	if lost := r.ExpireSilent(end.Add(replyTimeout + time.Millisecond)); len(lost) != 1 {
		t.Errorf("lost hosts %v, want the planner", lost)
	}
}
