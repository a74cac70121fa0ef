package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

var start = time.Unix(1000, 0)

// at returns the time d after start.
func at(d time.Duration) time.Time { return start.Add(d) }

// attempt returns the id of attempt n of a request that the host dispatches.
func attempt(host, request string, n uint32) protocol.AttemptID {
	return protocol.AttemptID{Host: host, Incarnation: 1, Request: request, Attempt: n}
}

// crashTwice runs content 1 together with content 2, a bystander, on s1, then content 1 alone on s2; both backend
// servers crash.
func crashTwice(l *Tracker) {
	l.Started(at(0), "s1", attempt("e1", "r1", 1), "w", 1, false)
	l.Started(at(0), "s1", attempt("e1", "r2", 1), "w", 2, false)
	l.Crashed(at(time.Second), "s1")
	l.Started(at(2*time.Second), "s2", attempt("e1", "r1", 2), "w", 1, true)
	l.Crashed(at(3*time.Second), "s2")
}

func TestQuarantineAfterTwoCrashes(t *testing.T) {
	l := &Tracker{Host: "e1"}
	crashTwice(l)
	tests := []struct {
		after       time.Duration
		fingerprint uint64
		want        Verdict
	}{
		{3100 * time.Millisecond, 1, Pending},
		{3100 * time.Millisecond, 2, Suspected},
		{6 * time.Second, 1, Quarantined},
		{6 * time.Second, 2, Clear},
		{6 * time.Second, 3, Clear},
		{20 * time.Minute, 1, Clear},
	}
	for _, tt := range tests {
		if got := l.Check(at(tt.after), "w", tt.fingerprint); got != tt.want {
			t.Errorf("content %d after %v: verdict %v, want %v", tt.fingerprint, tt.after, got, tt.want)
		}
	}
}

func TestQuarantineReachesOtherHost(t *testing.T) {
	a, b := &Tracker{Host: "e1"}, &Tracker{Host: "e2"}
	crashTwice(a)
	now := at(6 * time.Second)
	if !b.Merge(now, a.Gossip(now)) || b.Merge(now, a.Gossip(now)) {
		t.Error("the same gossip must be new evidence the first time only")
	}
	if got := b.Check(now, "w", 1); got != Quarantined {
		t.Errorf("verdict %v at the other host, want quarantined", got)
	}
	if got := b.Check(now, "other", 1); got != Clear {
		t.Errorf("verdict %v for another workspace, want clear", got)
	}
}

func TestCrashReportedTwiceCountsOnce(t *testing.T) {
	a, b := &Tracker{Host: "e1"}, &Tracker{Host: "e2"}
	for _, l := range []*Tracker{a, b} {
		l.Started(at(0), "s1", attempt("e1", "r1", 1), "w", 1, false)
		l.Crashed(at(time.Second), "s1")
		l.Crashed(at(1200*time.Millisecond), "s1")
	}
	now := at(3 * time.Second)
	b.Merge(now, a.Gossip(now))
	a.Merge(now, b.Gossip(now))
	gossip := a.Gossip(now)
	if len(gossip) != 1 || gossip[0].Crashes != 1 || a.Check(now, "w", 1) != Suspected {
		t.Errorf("gossip %+v, want one suspicion with one crash", gossip)
	}
}

func TestCompleteResponseClearsSuspicion(t *testing.T) {
	a, b := &Tracker{Host: "e1"}, &Tracker{Host: "e2"}
	a.Started(at(0), "s1", attempt("e1", "r1", 1), "w", 1, false)
	a.Crashed(at(time.Second), "s1")
	b.Merge(at(time.Second), a.Gossip(at(time.Second)))
	a.Started(at(2*time.Second), "s2", attempt("e1", "r1", 2), "w", 1, true)
	a.Completed(at(3*time.Second), "s2", attempt("e1", "r1", 2))
	now := at(4 * time.Second)
	b.Merge(now, a.Gossip(now))
	a.Merge(now, b.Gossip(now))
	for _, l := range []*Tracker{a, b} {
		if got := l.Check(now, "w", 1); got != Clear {
			t.Errorf("%s: verdict %v, want clear", l.Host, got)
		}
	}
}

func TestSuspectedCopiesRunOneAtATime(t *testing.T) {
	a, b := &Tracker{Host: "e1"}, &Tracker{Host: "e2"}
	a.Started(at(0), "s1", attempt("e1", "r1", 1), "w", 1, false)
	a.Crashed(at(time.Second), "s1")
	b.Merge(at(time.Second), a.Gossip(at(time.Second)))
	now := at(2 * time.Second)
	if got := a.Check(now, "w", 1); got != Suspected {
		t.Errorf("request at the host that dispatched the crashed attempt: verdict %v, want suspected", got)
	}
	if got := b.Check(now, "w", 1); got != Pending {
		t.Errorf("copy at another host: verdict %v, want Pending", got)
	}
	a.Started(now, "s2", attempt("e1", "r1", 2), "w", 1, true)
	if got := a.Check(now, "w", 1); got != Pending {
		t.Errorf("copy at the same host while the retry runs: verdict %v, want Pending", got)
	}
	if got := a.Check(now.Add(maxCopyWait), "w", 1); got != Suspected {
		t.Errorf("copy at the same host after maxCopyWait: verdict %v, want suspected", got)
	}
}

func TestGrantedAttemptThatNeverRanIsNoEvidence(t *testing.T) {
	l := &Tracker{Host: "scheduler"}
	id := attempt("e1", "r1", 1)
	l.Started(at(0), "s1", id, "w", 1, false)
	l.Crashed(at(time.Second), "s1")
	l.Ended(at(1100*time.Millisecond), "s1", id)
	if got := l.Check(at(5*time.Second), "w", 1); got != Clear {
		t.Errorf("verdict %v, want clear", got)
	}
}

// TestRecentPrefersEvidence checks that the suspicions with most evidence are sent although 100 other contents were in
// flight at the same crash and one message holds at most maxReported.
func TestRecentPrefersEvidence(t *testing.T) {
	l := &Tracker{Host: "e1"}
	for i := range uint64(100) {
		l.Started(at(0), "s1", attempt("e2", "r", uint32(i)), "w", 100+i, false)
	}
	crashTwice(l)
	now := at(6 * time.Second)
	gossip := l.Gossip(now)
	found := 0
	for _, n := range gossip {
		if n.Fingerprint == 1 && n.Quarantined || n.Fingerprint == 2 {
			found++
		}
	}
	if len(gossip) > maxReported || found != 2 {
		t.Errorf("%d of the 2 contents of this host among %d suspicions", found, len(gossip))
	}
}

func TestCheckAllocatesNothing(t *testing.T) {
	empty, filled := &Tracker{Host: "e1"}, &Tracker{Host: "e1"}
	crashTwice(filled)
	now := at(6 * time.Second)
	filled.Check(now, "w", 1)
	for _, l := range []*Tracker{empty, filled} {
		if n := testing.AllocsPerRun(100, func() { l.Check(now, "w", 7) }); n > 0 {
			t.Errorf("Check made %v allocations, want none", n)
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	l := &Tracker{Host: "e1"}
	crashTwice(l)
	now := at(6 * time.Second)
	for b.Loop() {
		l.Check(now, "w", 7)
	}
}

// TestClearingIsNotForwardedForever guards against hosts that forward a clearing without end: it is sent as an age, so
// each host computes a later time for it than the host before.
func TestClearingIsNotForwardedForever(t *testing.T) {
	hosts := []*Tracker{{Host: "e1"}, {Host: "e2"}, {Host: "e3"}}
	hosts[0].Started(at(0), "s1", attempt("e1", "r1", 1), "w", 1, false)
	hosts[0].Crashed(at(time.Second), "s1")
	for _, l := range hosts[1:] {
		l.Merge(at(time.Second), hosts[0].Gossip(at(time.Second)))
	}
	hosts[0].Started(at(2*time.Second), "s2", attempt("e1", "r1", 2), "w", 1, true)
	hosts[0].Completed(at(3*time.Second), "s2", attempt("e1", "r1", 2))
	for hop := range 30 {
		from, to := hosts[hop%len(hosts)], hosts[(hop+1)%len(hosts)]
		sent := at(3*time.Second + time.Duration(hop)*10*time.Millisecond)
		gossip := from.Gossip(sent)
		if to.Merge(sent.Add(5*time.Millisecond), gossip) && hop >= len(hosts) {
			t.Fatalf("hop %d: the clearing is still new evidence", hop)
		}
	}
}

// TestDroppedCrashIsNotNewEvidence guards against hosts that send each other the same crashes without end: the two
// hosts together know more crashes of a content than one host keeps, so a dropped crash must not count as new evidence.
func TestDroppedCrashIsNotNewEvidence(t *testing.T) {
	a, b := &Tracker{Host: "e1"}, &Tracker{Host: "e2"}
	runAndCrash := func(l *Tracker, i int) {
		began, server := at(time.Duration(2*i)*time.Second), fmt.Sprintf("s%d", i)
		l.Started(began, server, attempt(l.Host, "r1", uint32(i)), "w", 1, false)
		l.Crashed(began.Add(time.Second), server)
	}
	for i := range maxCauses {
		runAndCrash(a, i)
		runAndCrash(b, i+1)
	}
	now := at(20 * time.Second)
	for range 2 * maxCauses {
		fromA, fromB := a.Gossip(now), b.Gossip(now)
		a.Merge(now, fromB)
		b.Merge(now, fromA)
	}
	if a.Merge(now, b.Gossip(now)) || b.Merge(now, a.Gossip(now)) {
		t.Error("hosts still have new evidence for each other")
	}
}
