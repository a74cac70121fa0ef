package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func attempt(host, request string, n uint32) protocol.AttemptID {
	return protocol.AttemptID{Host: host, Incarnation: 1, Request: request, Attempt: n}
}

// crashTwice runs content 1 with bystander 2 on s1, then alone on s2; both servers crash.
func crashTwice(l *Ledger) {
	l.Started(at(0), "s1", attempt("e1", "r1", 1), "w", 1, false)
	l.Started(at(0), "s1", attempt("e1", "r2", 1), "w", 2, false)
	l.Crashed(at(time.Second), "s1")
	l.Started(at(2*time.Second), "s2", attempt("e1", "r1", 2), "w", 1, true)
	l.Crashed(at(3*time.Second), "s2")
}

func TestCondemnAfterTwoCrashes(t *testing.T) {
	l := &Ledger{Host: "e1"}
	crashTwice(l)
	tests := []struct {
		after       time.Duration
		fingerprint uint64
		want        Verdict
	}{
		{3100 * time.Millisecond, 1, Held},
		{3100 * time.Millisecond, 2, Suspected},
		{6 * time.Second, 1, Condemned},
		{6 * time.Second, 2, Clear},
		{6 * time.Second, 3, Clear},
		{20 * time.Minute, 1, Clear},
	}
	for _, tt := range tests {
		if got := l.Check(at(tt.after), "w", tt.fingerprint); got != tt.want {
			t.Errorf("content %d after %v: got %v, want %v", tt.fingerprint, tt.after, got, tt.want)
		}
	}
}

func TestCondemnedSpreads(t *testing.T) {
	a, b := &Ledger{Host: "e1"}, &Ledger{Host: "e2"}
	crashTwice(a)
	now := at(6 * time.Second)
	if !b.Merge(now, a.Recent(now)) || b.Merge(now, a.Recent(now)) {
		t.Error("news are new once only")
	}
	if got := b.Check(now, "w", 1); got != Condemned {
		t.Errorf("got %v at the other host", got)
	}
	if got := b.Check(now, "other", 1); got != Clear {
		t.Errorf("got %v for another workspace", got)
	}
}

func TestOneCrashCountsOnce(t *testing.T) {
	a, b := &Ledger{Host: "e1"}, &Ledger{Host: "e2"}
	for _, l := range []*Ledger{a, b} {
		l.Started(at(0), "s1", attempt("e1", "r1", 1), "w", 1, false)
		l.Crashed(at(time.Second), "s1")
		l.Crashed(at(1200*time.Millisecond), "s1")
	}
	now := at(3 * time.Second)
	b.Merge(now, a.Recent(now))
	a.Merge(now, b.Recent(now))
	news := a.Recent(now)
	if len(news) != 1 || news[0].Crashes != 1 || a.Check(now, "w", 1) != Suspected {
		t.Errorf("got %+v", news)
	}
}

func TestWholeAnswerClears(t *testing.T) {
	a, b := &Ledger{Host: "e1"}, &Ledger{Host: "e2"}
	a.Started(at(0), "s1", attempt("e1", "r1", 1), "w", 1, false)
	a.Crashed(at(time.Second), "s1")
	b.Merge(at(time.Second), a.Recent(at(time.Second)))
	a.Started(at(2*time.Second), "s2", attempt("e1", "r1", 2), "w", 1, true)
	a.Completed(at(3*time.Second), "s2", attempt("e1", "r1", 2))
	now := at(4 * time.Second)
	b.Merge(now, a.Recent(now))
	a.Merge(now, b.Recent(now))
	for _, l := range []*Ledger{a, b} {
		if got := l.Check(now, "w", 1); got != Clear {
			t.Errorf("%s: got %v", l.Host, got)
		}
	}
}

func TestCopiesWaitForEachOther(t *testing.T) {
	a, b := &Ledger{Host: "e1"}, &Ledger{Host: "e2"}
	a.Started(at(0), "s1", attempt("e1", "r1", 1), "w", 1, false)
	a.Crashed(at(time.Second), "s1")
	b.Merge(at(time.Second), a.Recent(at(time.Second)))
	now := at(2 * time.Second)
	if got := a.Check(now, "w", 1); got != Suspected {
		t.Errorf("own request: got %v", got)
	}
	if got := b.Check(now, "w", 1); got != Held {
		t.Errorf("copy at another host: got %v", got)
	}
	a.Started(now, "s2", attempt("e1", "r1", 2), "w", 1, true)
	if got := a.Check(now, "w", 1); got != Held {
		t.Errorf("copy at the same host: got %v", got)
	}
	if got := a.Check(now.Add(maxCopyWait), "w", 1); got != Suspected {
		t.Errorf("copy after a long wait: got %v", got)
	}
}

func TestAttemptThatNeverRanIsNoEvidence(t *testing.T) {
	l := &Ledger{Host: "scheduler"}
	id := attempt("e1", "r1", 1)
	l.Started(at(0), "s1", id, "w", 1, false)
	l.Crashed(at(time.Second), "s1")
	l.Ended(at(1100*time.Millisecond), "s1", id)
	if got := l.Check(at(5*time.Second), "w", 1); got != Clear {
		t.Errorf("got %v", got)
	}
}

func TestNewsPreferEvidence(t *testing.T) {
	l := &Ledger{Host: "e1"}
	for i := range uint64(100) {
		l.Started(at(0), "s1", attempt("e2", "r", uint32(i)), "w", 100+i, false)
	}
	crashTwice(l)
	now := at(6 * time.Second)
	news := l.Recent(now)
	found := 0
	for _, n := range news {
		if n.Fingerprint == 1 && n.Alone || n.Fingerprint == 2 {
			found++
		}
	}
	if len(news) > maxNews || found != 2 {
		t.Errorf("%d of 2 own contents among %d", found, len(news))
	}
}

func TestCheckAllocatesNothing(t *testing.T) {
	quiet, busy := &Ledger{Host: "e1"}, &Ledger{Host: "e1"}
	crashTwice(busy)
	now := at(6 * time.Second)
	busy.Check(now, "w", 1)
	for _, l := range []*Ledger{quiet, busy} {
		if n := testing.AllocsPerRun(100, func() { l.Check(now, "w", 7) }); n > 0 {
			t.Errorf("%v allocations", n)
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	l := &Ledger{Host: "e1"}
	crashTwice(l)
	now := at(6 * time.Second)
	for b.Loop() {
		l.Check(now, "w", 7)
	}
}

func TestClearingIsNotPassedOnForever(t *testing.T) {
	hosts := []*Ledger{{Host: "e1"}, {Host: "e2"}, {Host: "e3"}}
	hosts[0].Started(at(0), "s1", attempt("e1", "r1", 1), "w", 1, false)
	hosts[0].Crashed(at(time.Second), "s1")
	for _, l := range hosts[1:] {
		l.Merge(at(time.Second), hosts[0].Recent(at(time.Second)))
	}
	hosts[0].Started(at(2*time.Second), "s2", attempt("e1", "r1", 2), "w", 1, true)
	hosts[0].Completed(at(3*time.Second), "s2", attempt("e1", "r1", 2))
	for hop := range 30 {
		from, to := hosts[hop%len(hosts)], hosts[(hop+1)%len(hosts)]
		sent := at(3*time.Second + time.Duration(hop)*10*time.Millisecond)
		news := from.Recent(sent)
		if to.Merge(sent.Add(5*time.Millisecond), news) && hop >= len(hosts) {
			t.Fatalf("hop %d: still news", hop)
		}
	}
}

func TestManyCrashesAreNewsOnce(t *testing.T) {
	a, b := &Ledger{Host: "e1"}, &Ledger{Host: "e2"}
	crashed := func(l *Ledger, i int) {
		began, server := at(time.Duration(2*i)*time.Second), fmt.Sprintf("s%d", i)
		l.Started(began, server, attempt(l.Host, "r1", uint32(i)), "w", 1, false)
		l.Crashed(began.Add(time.Second), server)
	}
	for i := range maxCauses {
		crashed(a, i)
		crashed(b, i+1)
	}
	now := at(20 * time.Second)
	for range 2 * maxCauses {
		ofA, ofB := a.Recent(now), b.Recent(now)
		a.Merge(now, ofB)
		b.Merge(now, ofA)
	}
	if a.Merge(now, b.Recent(now)) || b.Merge(now, a.Recent(now)) {
		t.Error("hosts still have news for each other")
	}
}
