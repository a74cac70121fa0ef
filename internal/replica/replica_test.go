package replica

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/uptime"
)

var start = time.Unix(1000, 0)

// readAt returns what a host knows that has read the store once, at the given time.
func readAt(read time.Time) uptime.Interval { return uptime.Interval{Since: read, Until: read} }

// kinds returns the kind of change of each replica, by id.
func kinds(changes []Change) map[string]ChangeKind {
	m := make(map[string]ChangeKind)
	for _, c := range changes {
		m[c.Replica.ID] = c.Kind
	}
	return m
}

func TestUpdateReturnsChanges(t *testing.T) {
	l := NewList()
	got := kinds(l.Update(start, 0, []Replica{{ID: "a"}, {ID: "b"}}))
	if len(got) != 2 || got["a"] != ChangeNew {
		t.Errorf("changes of the first read: %v", got)
	}
	got = kinds(l.Update(start.Add(time.Second), 0, []Replica{{ID: "a", Draining: true}}))
	if got["a"] != ChangeDraining || got["b"] != ChangeGone {
		t.Errorf("changes of the second read: %v", got)
	}
	if got = kinds(l.Update(start.Add(2*time.Second), 0, []Replica{{ID: "a", Draining: true, Born: 5}})); got["a"] !=
		ChangeUpdated {
		t.Errorf("changes of the third read: %v", got)
	}
}

func TestExpiredEntriesAreKeptAfterOutage(t *testing.T) {
	l := NewList()
	l.Update(start, 0, []Replica{{ID: "a"}, {ID: "b"}})
	outageEnd := start.Add(5 * time.Second)
	l.RecordFailure(start.Add(time.Second))
	if got := kinds(l.Update(outageEnd, 0, nil)); len(got) != 2 || got["a"] != ChangeKept || got["b"] != ChangeKept {
		t.Errorf("changes at the first read after the outage: %v, want a and b kept", got)
	}
	if got := kinds(l.Update(outageEnd.Add(time.Second), 0, []Replica{{ID: "a"}})); len(got) != 1 || got["a"] != ChangeRenewed {
		t.Errorf("changes a second later: %v, want only a renewed", got)
	}
	got := kinds(l.Update(outageEnd.Add(2100*time.Millisecond), 0, []Replica{{ID: "a"}}))
	if got["b"] != ChangeGone || len(got) != 1 {
		t.Errorf("changes after renewalTime: %v, want b gone", got)
	}
}

func TestEntryRemovedAfterOutageIsGone(t *testing.T) {
	l := NewList()
	l.Update(start, 0, []Replica{{ID: "a"}, {ID: "b"}})
	outageEnd := start.Add(5 * time.Second)
	l.RecordFailure(start.Add(time.Second))
	l.Update(outageEnd, 0, []Replica{{ID: "a"}, {ID: "b"}})
	if got := kinds(l.Update(outageEnd.Add(500*time.Millisecond), 0, []Replica{{ID: "a"}})); got["b"] != ChangeGone {
		t.Errorf("changes after b was removed: %v, want b gone", got)
	}
}

// TestConfirmedListSeesNoOutage guards against a host that takes the time in which it didn't read the store itself for
// an outage and so keeps removed replicas.
func TestConfirmedListSeesNoOutage(t *testing.T) {
	l := NewList()
	l.Replace(readAt(start), []Replica{{ID: "a"}, {ID: "b"}})
	now := start.Add(10 * time.Second)
	l.RecordFailure(now.Add(-200 * time.Millisecond))
	// Another host has read the store in the meantime.
	l.Confirm(uptime.Interval{Since: start, Until: now.Add(-300 * time.Millisecond)})
	if got := kinds(l.Update(now, 0, []Replica{{ID: "a"}})); got["b"] != ChangeGone {
		t.Errorf("changes after b was removed without an outage: %v, want b gone", got)
	}
}

func TestReplaceTakesOverSetOfOtherHost(t *testing.T) {
	l := NewList()
	l.Update(start, 0, []Replica{{ID: "a"}, {ID: "b"}})
	same := NewList()
	same.Update(start, 0, []Replica{{ID: "b"}, {ID: "a"}})
	if l.Digest() != same.Digest() {
		t.Error("digests of the same set differ")
	}
	if got := kinds(l.Replace(readAt(start.Add(9*time.Second)), []Replica{{ID: "a"}})); got["b"] != ChangeGone {
		t.Errorf("changes: %v, want b gone", got)
	}
	if l.Digest() == same.Digest() {
		t.Error("digests of different sets are the same")
	}
}

// The store comes back from a copy made before replica a drained, b was removed and c registered.
func TestRestoredStoreTakesNoReplicaBack(t *testing.T) {
	before := []Replica{{ID: "a", Born: 1}, {ID: "b", Born: 2}}
	l := NewList()
	l.Update(start, 0, before)
	now := start.Add(time.Second)
	l.Update(now, 0, []Replica{{ID: "a", Born: 1, Draining: true}, {ID: "c", Born: 3}})
	now = now.Add(time.Second)
	l.BeginRestore(now)
	if got := kinds(l.Update(now, 1, before)); len(got) != 1 || got["c"] != ChangeKept {
		t.Errorf("changes at the first read after the restore: %v, want only c kept", got)
	}
	if changes := l.Update(now.Add(renewalTime/2), 1, before); len(changes) != 0 {
		t.Errorf("changes within renewalTime: %v", kinds(changes))
	}
	now = now.Add(renewalTime + time.Millisecond)
	if got := kinds(l.Update(now, 1, before)); len(got) != 1 || got["c"] != ChangeGone {
		t.Errorf("changes after renewalTime: %v, want only c gone", got)
	}
	restarted := []Replica{{ID: "a", Born: 8}, {ID: "b", Born: 9}}
	if got := kinds(l.Update(now.Add(time.Second), 1, restarted)); got["a"] != ChangeUpdated || got["b"] != ChangeNew {
		t.Errorf("changes after a and b started again: %v, want a moved and b new", got)
	}
}

// An entry that a replica has written after the restore says what the replica does now.
func TestEntryWrittenAfterRestoreIsTaken(t *testing.T) {
	l := NewList()
	l.Update(start, 0, []Replica{{ID: "a", Written: 5}, {ID: "b", Written: 6}})
	l.Update(start.Add(time.Second), 0, []Replica{{ID: "a", Draining: true, Written: 7}})
	now := start.Add(2 * time.Second)
	l.BeginRestore(now)
	l.Update(now, 1, []Replica{{ID: "a", Written: 5}, {ID: "b", Written: 6}})
	now = now.Add(time.Second)
	got := kinds(l.Update(now, 1, []Replica{{ID: "a", Written: 5}, {ID: "b", Written: 7}}))
	if a, _ := l.Get("a"); !a.Draining || got["b"] != ChangeNew || len(got) != 1 {
		t.Errorf("changes %v, a %+v; want only b new, and a draining as its entry is of the copy", got, a)
	}
}

func TestEntryThatOutlivesRestoreIsTaken(t *testing.T) {
	l := NewList()
	l.Update(start, 0, []Replica{{ID: "a", Born: 1}})
	l.Update(start.Add(time.Second), 0, nil)
	l.BeginRestore(start.Add(2 * time.Second))
	for now := start.Add(2 * time.Second); now.Before(start.Add(2*time.Second + staleTime)); now = now.Add(time.Second) {
		if changes := l.Update(now, 1, []Replica{{ID: "a", Born: 1}}); len(changes) != 0 {
			t.Fatalf("changes %v after the restore: %v", now.Sub(start), kinds(changes))
		}
	}
	if got := kinds(l.Update(start.Add(2*time.Second+staleTime), 1, []Replica{{ID: "a", Born: 1}})); got["a"] != ChangeNew {
		t.Errorf("changes after staleTime: %v, want a new", got)
	}
}

func TestLeavingReplicaStaysSoUntilItStartsAgain(t *testing.T) {
	l := NewList()
	ready := []Replica{{ID: "a", Born: 1}, {ID: "b", Born: 2}}
	l.Update(start, 0, ready)
	if _, ok := l.MarkLeaving(start, "a", 7); ok {
		t.Error("another incarnation was marked as leaving")
	}
	change, ok := l.MarkLeaving(start, "a", 1)
	if !ok || change.Kind != ChangeDraining {
		t.Errorf("change %+v, %v; want a draining", change, ok)
	}
	peer := NewList()
	peer.Replace(readAt(start), l.All())
	for name, list := range map[string]*List{"own": l, "peer's": peer} {
		list.Update(start.Add(time.Second), 0, ready)
		list.Update(start.Add(2*time.Second), 0, nil)
		list.Update(start.Add(3*time.Second), 0, ready)
		if a, _ := list.Get("a"); a.TakesRequests() {
			t.Errorf("%s list: a takes requests although it leaves", name)
		}
		if b, _ := list.Get("b"); !b.TakesRequests() || len(list.Leaving()) != 1 {
			t.Errorf("%s list: %d replicas leave, want only a", name, len(list.Leaving()))
		}
		list.Update(start.Add(4*time.Second), 0, []Replica{{ID: "a", Born: 9}})
		if a, _ := list.Get("a"); !a.TakesRequests() {
			t.Errorf("%s list: the new incarnation of a takes no requests", name)
		}
	}
}

// Hosts of earlier versions compute the digest from the printed form of these fields.
func TestDigestIsThatOfEarlierVersions(t *testing.T) {
	type earlier struct {
		ID            string
		Service       string
		Address       netip.AddrPort
		FailureDomain string
		Slots         int
		Draining      bool
		Born          int64
	}
	address := netip.MustParseAddrPort("10.0.0.1:80")
	r := Replica{ID: "i-1", Service: "s", Address: address, FailureDomain: "a", Slots: 6, Draining: true, Born: 17}
	l := NewList()
	l.Update(start, 0, []Replica{r})
	text := fmt.Sprintf("%+v\n", earlier{"i-1", "s", address, "a", 6, true, 17})
	if got, want := l.Digest(), xxhash.Sum64String(text); got != want {
		t.Errorf("digest %x, want %x, that of %q", got, want, text)
	}
	l.MarkLeaving(start, "i-1", 17)
	if l.Digest() == xxhash.Sum64String(text) {
		t.Error("the digest doesn't change when a replica announces that it leaves")
	}
}

// A host that has restarted hears from others that a replica leaves before it has read the list, which says nothing of it.
func TestMarkBeforeFirstReadIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewList()
	l.MarkLeaving(now, "i-1", 7)
	l.MarkLeaving(now, "i-2", 6)
	l.Update(now.Add(time.Second), 0, []Replica{{ID: "i-1", Born: 7}, {ID: "i-2", Born: 7}})
	if r, _ := l.Get("i-1"); !r.Leaving {
		t.Error("a replica that leaves takes requests at a host that has restarted")
	}
	if r, _ := l.Get("i-2"); r.Leaving {
		t.Error("the mark of an earlier incarnation holds")
	}
}

// Guards against a plan of a planner that knows less than this host: it names a replica that takes no new requests.
func TestReplicaThatTakesNoRequestsHasLeft(t *testing.T) {
	all := []Replica{{ID: "ready", Born: 1}, {ID: "drains", Born: 1}, {ID: "leaves", Born: 1}, {ID: "gone", Born: 1}}
	l := NewList()
	l.Update(start, 0, all)
	l.MarkLeaving(start, "leaves", 1)
	l.Update(start.Add(time.Second), 0, []Replica{all[0], {ID: "drains", Born: 1, Draining: true}, all[2]})
	for _, r := range all {
		if got, want := l.HasLeft(r), r.ID != "ready"; got != want {
			t.Errorf("%s has left: %v, want %v", r.ID, got, want)
		}
		if r.Born = 2; l.HasLeft(r) {
			t.Errorf("%s has left though it has started again", r.ID)
		}
	}
	if l.HasLeft(Replica{ID: "unknown", Born: 1}) {
		t.Error("a replica that this host doesn't know yet has left")
	}
}

// Two replicas are listed at one address. Guards against one being used that has gone, and against one being taken for gone of
// which nothing says so.
func TestEarlierReplicaAtAddressHasLeft(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	for _, test := range []struct {
		born1, born2 int64
		present      string
	}{{1, 2, "b"}, {2, 1, "a"}, {2, 2, "ab"}, {0, 2, "ab"}, {0, 0, "ab"}} {
		a, b := Replica{ID: "a", Address: address, Born: test.born1}, Replica{ID: "b", Address: address, Born: test.born2}
		l := NewList()
		l.Update(start, 0, []Replica{a, b})
		present := ""
		for _, r := range l.Present() {
			present += r.ID
			if l.HasLeft(r) {
				t.Errorf("started at %d and %d: %s is present and has left", test.born1, test.born2, r.ID)
			}
		}
		if present != test.present || len(l.All()) != 2 || l.HasLeft(a) == strings.Contains(present, "a") {
			t.Errorf("started at %d and %d: %q are present, want %q", test.born1, test.born2, present, test.present)
		}
		l.Update(start.Add(time.Second), 0, []Replica{a})
		if l.HasLeft(a) || len(l.Present()) != 1 {
			t.Errorf("started at %d and %d: the first one isn't present without the second", test.born1, test.born2)
		}
	}
}
