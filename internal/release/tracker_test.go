package release

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// leftover releases three allocations over a network that first fails as drawn and then works. It returns the number of
// allocations that are still held plus that of the releases still pending.
func leftover(rt *rapid.T, tracker *Tracker) int {
	held := map[string]bool{"a": true, "b": true, "c": true}
	now := start
	deliver := func(actions []Action, works bool) {
		for _, a := range actions {
			arrives := works || rapid.Bool().Draw(rt, "arrives")
			if arrives {
				delete(held, a.Allocation)
			}
			switch {
			case arrives && (works || rapid.Bool().Draw(rt, "answered")):
				tracker.Confirmed(now, a.Server, a.Allocation)
			case rapid.Bool().Draw(rt, "error"):
				tracker.Failed(now, a.Server, a.Allocation)
			}
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		deliver(tracker.Release(now, "s", id), false)
	}
	for round := range 40 {
		now = now.Add(500 * time.Millisecond)
		deliver(tracker.Tick(now), round > 20)
	}
	return len(held) + tracker.Pending()
}

func TestReleasesEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if n := leftover(rt, &Tracker{}); n != 0 {
			rt.Fatalf("%d allocations or releases are left", n)
		}
	})
}

func TestReleasesDoNotEndWithoutRepetition(t *testing.T) {
	found := false
	rapid.Check(t, func(rt *rapid.T) { found = leftover(rt, &Tracker{neverRepeat: true}) > 0 || found })
	if !found {
		t.Error("no lost release was found")
	}
}

func TestRepetitionUsesNewConnection(t *testing.T) {
	tracker := &Tracker{}
	first := tracker.Release(start, "s", "a")
	again := tracker.Tick(tracker.Next())
	if len(first) != 1 || first[0].NewConnection || len(again) != 1 || !again[0].NewConnection {
		t.Errorf("got %+v, then %+v", first, again)
	}
	if tracker.Release(start, "s", "a") != nil {
		t.Error("a pending release was started again")
	}
	tracker.ProcessEnded(start, "s")
	if tracker.Pending() != 0 || !tracker.Next().IsZero() {
		t.Error("releases are pending after the backend server's process has ended")
	}
}
