package quarantine

import (
	"strconv"
	"testing"
	"time"
)

const (
	common, bad, otherBad = 1, 2, 3 // parts
	firstOwn              = 100     // the first of a series of parts that occur once
)

var begin = time.Unix(1000, 0)

// world feeds a table with crashes and completed requests, one each second.
type world struct {
	table    *Table
	now      time.Time
	replicas int
	requests uint64
}

func newWorld() *world { return &world{table: New(), now: begin} }

func (w *world) content(parts ...uint64) Content {
	w.requests++
	return Content{Parts: parts, Request: w.requests + 1_000_000}
}

// crash makes a new request with the parts crash a replica.
func (w *world) crash(parts ...uint64) { w.crashAgain(w.content(parts...)) }

func (w *world) crashAgain(c Content) {
	w.now = w.now.Add(time.Second)
	w.replicas++
	w.table.Crashed(w.now, Crash{Content: c, Replica: strconv.Itoa(w.replicas), Early: true})
}

func (w *world) complete(parts ...uint64) {
	w.now = w.now.Add(time.Second)
	w.table.Completed(w.now, w.content(parts...))
}

// refuses reports whether a request is refused once the crashes so far are judged.
func (w *world) refuses(parts ...uint64) bool {
	w.now = w.now.Add(decisionDelay)
	_, refused := w.table.Refuses(w.now, w.content(parts...), false)
	return refused
}

func (w *world) check(t *testing.T, wantRefused bool, parts ...uint64) {
	t.Helper()
	if got := w.refuses(parts...); got != wantRefused {
		t.Errorf("request with parts %v: refused %v, want %v", parts, got, wantRefused)
	}
}

func TestPartsOfCrashes(t *testing.T) {
	t.Run("the part that all requests share", func(t *testing.T) {
		w := newWorld()
		for i := range uint64(crashesForParts) {
			w.check(t, false, bad)
			w.crash(firstOwn+i, bad)
		}
		w.check(t, true, firstOwn+50, bad)
		w.check(t, false, firstOwn)
	})
	t.Run("parts that come together are refused together", func(t *testing.T) {
		w := newWorld()
		for range crashesForParts {
			w.crash(common, bad)
		}
		w.check(t, true, bad, common)
		w.check(t, false, common)
		w.complete(common)
		w.check(t, true, bad)
	})
	t.Run("a completed request clears its parts", func(t *testing.T) {
		w := newWorld()
		w.complete(common)
		for range crashesForParts {
			w.crash(common, bad)
		}
		w.check(t, false, common, otherBad)
		w.check(t, true, bad)
	})
	t.Run("a part that turns bad", func(t *testing.T) {
		w := newWorld()
		w.complete(bad)
		for range crashesForDoubtfulParts - 1 {
			w.crash(bad)
		}
		w.check(t, false, bad)
		w.crash(bad)
		w.check(t, true, bad)
	})
	t.Run("two bad parts beside one that was never completed", func(t *testing.T) {
		w := newWorld()
		for range 2 {
			w.crash(common, bad)
			w.crash(common, otherBad)
		}
		w.check(t, false, common)
		w.crash(common, bad)
		w.crash(common, otherBad)
		w.check(t, true, common, bad)
		w.check(t, true, common, otherBad)
		w.check(t, false, common)
	})
	t.Run("one request that is sent again holds nothing against its parts", func(t *testing.T) {
		w := newWorld()
		c := w.content(common)
		for range crashesForRequest {
			w.crashAgain(c)
		}
		w.check(t, false, common)
		if _, refused := w.table.Refuses(w.now, c, false); !refused {
			t.Error("the request itself isn't refused")
		}
	})
	t.Run("a request that is completed in between", func(t *testing.T) {
		w := newWorld()
		c := w.content()
		for range earlyCrashesForRequest {
			w.table.Completed(w.now, c)
			w.crashAgain(c)
		}
		if _, refused := w.table.Refuses(w.now, c, false); refused {
			t.Error("the request is refused")
		}
	})
	t.Run("attempts that break off at replicas which go on", func(t *testing.T) {
		w := newWorld()
		for i := range uint64(crashesForDoubtfulParts) {
			w.crash(common, firstOwn+i)
			w.table.Alive(w.now.Add(reportDelay), strconv.Itoa(w.replicas))
		}
		w.check(t, false, common)
	})
	t.Run("a common cause", func(t *testing.T) {
		w := newWorld()
		for i := range uint64(12) {
			w.now = w.now.Add(-time.Second) // together
			w.crash(firstOwn + i/3)
		}
		for i := range uint64(4) {
			w.check(t, false, firstOwn+i)
		}
	})
}

func TestQuarantineEndsWithSoundRequest(t *testing.T) {
	w := newWorld()
	for i := range uint64(crashesForParts) {
		w.crash(firstOwn+i, bad)
	}
	w.check(t, true, bad)
	c := w.content(bad)
	w.now = w.now.Add(minQuarantine)
	if _, refused := w.table.Refuses(w.now, c, false); !refused {
		t.Error("a planner that must not probe lets a request through")
	}
	if _, refused := w.table.Refuses(w.now, c, true); refused {
		t.Fatal("no request is let through after the quarantine")
	}
	w.table.LetThrough(w.now, c)
	if _, refused := w.table.Refuses(w.now, w.content(bad), true); !refused {
		t.Error("a second request is let through before the outcome of the first is known")
	}
	w.crashAgain(c)
	if wait, refused := w.table.Refuses(w.now, w.content(bad), true); !refused || wait != 2*minQuarantine {
		t.Errorf("after the request that was let through crashed: refused %v for %v", refused, wait)
	}
	w.now = w.now.Add(2 * minQuarantine)
	w.table.LetThrough(w.now, w.content(bad))
	w.complete(bad)
	w.check(t, false, bad)
}

// Verdicts that two tables exchange agree whatever the order, and an older one doesn't undo a newer one.
func TestVerdictsAreMerged(t *testing.T) {
	w, other := newWorld(), newWorld()
	for i := range uint64(crashesForParts) {
		w.crash(firstOwn+i, bad)
	}
	w.check(t, true, bad)
	older := w.table.Verdicts(w.now)
	other.now = w.now
	other.table.Merge(w.now, older)
	other.check(t, true, bad)
	if w.table.Digest(w.now) != other.table.Digest(other.now) {
		t.Error("the digests differ though the verdicts are the same")
	}
	other.complete(bad)
	other.table.Merge(other.now, older)
	other.check(t, false, bad)
	w.table.Merge(w.now, other.table.Verdicts(other.now))
	w.check(t, false, bad)
}

// Guards against a new planner that knows of no completed request and quarantines sound parts: a host that knows objects.
// Guards against two planners that have each found the part beside another one, and then go on like that together.
func TestPartOfMergedQuarantinesIsFound(t *testing.T) {
	w, other := newWorld(), newWorld()
	for range crashesForParts {
		w.crash(bad, 10)
		other.crash(bad, 11)
	}
	w.check(t, true, bad, 10)
	w.check(t, false, bad, 12)
	other.check(t, true, bad, 11)
	w.table.Merge(w.now, other.table.Verdicts(other.now))
	w.now = w.now.Add(doubtDelay)
	w.check(t, true, bad, 12)
	w.check(t, false, 10, 12)
}

func TestKnownSoundPartsAreClearedByOtherTable(t *testing.T) {
	w, other := newWorld(), newWorld()
	other.complete(common)
	for range crashesForParts {
		w.crash(common, bad)
		w.crash(common)
	}
	w.check(t, true, common)
	other.now = w.now
	other.table.Merge(other.now, w.table.Verdicts(w.now))
	other.check(t, false, common)
	w.table.Merge(w.now, other.table.Verdicts(other.now))
	w.check(t, false, common)
}

// Guards against verdicts that are never forgotten because tables report them to each other in turn.
func TestOldVerdictsAreForgotten(t *testing.T) {
	w, other := newWorld(), newWorld()
	for i := range uint64(crashesForParts) {
		w.crash(firstOwn+i, bad)
	}
	w.check(t, true, bad)
	for end := w.now.Add(3 * clearedRetention); w.now.Before(end); w.now = w.now.Add(time.Minute) {
		other.now = w.now
		w.complete() // forgets what is too old
		w.table.Merge(w.now, other.table.Verdicts(w.now))
		other.complete()
		other.table.Merge(w.now, w.table.Verdicts(w.now))
	}
	if n := len(w.table.Verdicts(w.now)) + len(other.table.Verdicts(w.now)); n > 0 {
		t.Errorf("%d verdicts remain", n)
	}
}

// Another table learns the crashes that this one knows, and counts each once.
func TestCrashesAreReported(t *testing.T) {
	w, other := newWorld(), newWorld()
	for i := range uint64(crashesForParts - 1) {
		w.crash(firstOwn+i, bad)
	}
	for range 2 {
		for _, c := range w.table.Crashes(w.now) {
			other.table.Crashed(w.now, c)
		}
	}
	other.now, other.replicas, other.requests = w.now, 50, 50
	other.check(t, false, bad)
	other.crash(bad)
	other.check(t, true, bad)
}

// A part has turned bad that comes with another one only. Guards against blaming that one by itself, which sound requests hold.
func TestPartThatTurnedBadIsBlamedWithItsCompanion(t *testing.T) {
	for _, parts := range [][2]uint64{{1, 2}, {2, 1}} {
		first, turned := parts[0], parts[1]
		w := newWorld()
		w.complete(first)
		w.complete(first, turned)
		for i := range uint64(crashesForDoubtfulParts) {
			w.crash(first, turned, firstOwn+i)
		}
		w.check(t, true, first, turned)
		w.check(t, false, first, 50)
		w.complete(first, 51)
		w.check(t, true, first, turned)
		other := newWorld()
		other.complete(first, turned)
		other.table.Merge(w.now, w.table.Verdicts(w.now))
		w.table.Merge(w.now, other.table.Verdicts(w.now))
		w.check(t, true, first, turned)

		// Another part turns bad, whose companion the quarantine above has held without being the cause.
		const alsoTurned = 9
		w.complete(first, alsoTurned)
		for i := range uint64(crashesForDoubtfulParts) {
			w.crash(first, alsoTurned, firstOwn+50+i)
		}
		w.check(t, true, first, alsoTurned)
		w.check(t, false, first, 52)
	}
}

// All requests hold the part. Guards against a quarantine that lets one of them crash a replica every few seconds.
func TestFewRequestsTestPartOfAll(t *testing.T) {
	const mostLate = 3
	w := newWorld()
	for i := range uint64(20) {
		w.table.LetThrough(w.now, w.content(firstOwn+i, bad))
	}
	for i := range uint64(crashesForDoubtfulParts) {
		w.crash(firstOwn+i, bad)
	}
	late := 0
	for end := w.now.Add(72 * time.Second); w.now.Before(end); w.now = w.now.Add(100 * time.Millisecond) {
		c := w.content(firstOwn+w.requests, bad)
		if _, refused := w.table.Refuses(w.now, c, true); refused {
			continue
		}
		w.table.LetThrough(w.now, c)
		if w.now.Sub(begin) > crashesForDoubtfulParts*time.Second+3*time.Second {
			late++
		}
		w.crashAgain(c)
	}
	if late > mostLate {
		t.Errorf("%d late requests, want at most %d", late, mostLate)
	}
}

// Guards against crashes that are lost since the entry of a replica tells of its new start late: what breaks off there by then, and
// signs of life, were taken for those of the earlier incarnation.
func TestCrashesCountWhoseReplicasRestart(t *testing.T) {
	tests := map[string]struct {
		crash     func(w *world)
		restarted bool
	}{
		"a replica crashes at its new start": {restarted: true, crash: func(w *world) {
			w.crash(firstOwn, bad)
			w.crash(firstOwn+1, bad)
			w.replicas = 0
			w.crash(firstOwn+2, bad)
		}},
		"a replica sends something at its new start": {restarted: true, crash: func(w *world) {
			for i := range uint64(3) {
				w.crash(firstOwn+i, bad)
			}
			w.now = w.now.Add(leastRestart)
			w.table.Alive(w.now, "1")
		}},
		"two attempts break off at one start": {crash: func(w *world) {
			w.crash(firstOwn, bad)
			w.crash(firstOwn+1, bad)
			w.replicas = 0
			w.crash(firstOwn+2, bad)
		}},
		"a replica goes on": {crash: func(w *world) {
			for i := range uint64(3) {
				w.crash(firstOwn+i, bad)
			}
			w.now = w.now.Add(leastRestart)
			w.table.Alive(w.now, "1")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			test.crash(w)
			if test.restarted {
				w.table.Restarted(w.now, "1", "1 anew")
			}
			w.check(t, test.restarted, bad)
		})
	}
}

// A part has turned bad after requests with it were completed. Guards against its quarantine being ended by what a host
// knows of those earlier requests, when it objects to another verdict that holds the part.
func TestObjectionLeavesPartsThatTurnedBad(t *testing.T) {
	w := newWorld()
	w.complete(1)
	w.table.Merge(w.now, []Verdict{{Content: Content{Parts: []uint64{1}}, Generation: 1, Left: time.Second, TurnedBad: true}})
	w.check(t, true, 1)
	w.table.Merge(w.now, []Verdict{{Content: Content{Parts: []uint64{1, 2}}, Generation: 1, Left: time.Second}})
	w.check(t, true, 1)
}
