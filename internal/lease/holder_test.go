package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/violation"
)

func TestMain(m *testing.M) {
	if err := violation.FixSeed(); err != nil {
		panic(err)
	}
	m.Run()
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time s seconds after epoch.
func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func newHolder() *Holder { return &Holder{TTL: 10 * time.Second, Margin: 2 * time.Second} }

func TestMayAct(t *testing.T) {
	tests := []struct {
		name           string
		setup          func(*Holder)
		now            float64
		mayAct         bool
		mayActUnfenced bool
	}{
		{"before the grant", func(*Holder) {}, 0, false, false},
		{"after the grant", func(h *Holder) { h.Granted(at(0), at(1), "l", 7) }, 2, true, false},
		{"within the margin", func(h *Holder) { h.Granted(at(0), at(1), "l", 7) }, 8, false, false},
		{"paused beyond the lease", func(h *Holder) { h.Granted(at(0), at(1), "l", 7) }, 60, false, false},
		{"renewed", func(h *Holder) { h.Granted(at(0), at(1), "l", 7); h.Renewed(at(7)) }, 14, true, true},
		{"stale renewal", func(h *Holder) { h.Granted(at(5), at(6), "l", 7); h.Renewed(at(4)) }, 13, false, false},
		{"unfenced wait not over", func(h *Holder) { h.Granted(at(0), at(1), "l", 7); h.Renewed(at(7)) }, 12.9, true, false},
		{"lapsed", func(h *Holder) { h.Granted(at(0), at(1), "l", 7); h.Expired() }, 2, false, false},
		{"stopping", func(h *Holder) { h.Granted(at(0), at(1), "l", 7); h.Stop() }, 2, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHolder()
			test.setup(h)
			if got := h.MayAct(at(test.now)); got != test.mayAct {
				t.Errorf("MayAct is %v", got)
			}
			if got := h.MayActUnfenced(at(test.now)); got != test.mayActUnfenced {
				t.Errorf("MayActUnfenced is %v", got)
			}
		})
	}
}

// TestMayActByTheWallClock guards against the use of an expired lease after a pause during which the monotonic clock
// stopped.
func TestMayActByTheWallClock(t *testing.T) {
	h := newHolder()
	start := time.Now()
	h.Granted(start, start, "l", 7)
	if wall := start.Round(0).Add(time.Minute); h.MayAct(wall) {
		t.Error("MayAct is true after a pause that only the wall clock shows")
	}
}

func TestNext(t *testing.T) {
	h := newHolder()
	want := func(s float64, kind ActionKind) {
		t.Helper()
		if got := h.Next(at(s)); got.Kind != kind {
			t.Errorf("at %v s: got %v, want %v", s, got.Kind, kind)
		}
	}
	want(0, ActionAcquire)
	want(1, ActionWait)
	want(4, ActionAcquire)
	h.Granted(at(4), at(4.5), "l", 7)
	want(5, ActionWait)
	want(8, ActionRenew)
	h.Renewed(at(8))
	want(9, ActionWait)
	want(12, ActionRenew)
	want(19, ActionAcquire) // the renewal got no response and the TTL has passed
	h.Granted(at(19), at(19), "m", 9)
	h.Stop()
	want(20, ActionRelease)
	h.Released()
	want(21, ActionWait)
}

// exclusive returns a property for rapid: two holders never both may act at the same time, whatever pauses, lost
// responses and expired leases occur. skipTimeCheck disables the check of the remaining time.
func exclusive(skipTimeCheck bool) func(*rapid.T) {
	return func(t *rapid.T) {
		holders := [2]*Holder{newHolder(), newHolder()}
		var owner int
		var expiry time.Time // when the lease expires in the store
		fencing := uint64(0)
		now := epoch
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 15000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "host")
			h := holders[i]
			h.skipTimeCheck = skipTimeCheck
			delay := time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay")) * time.Millisecond
			answered := rapid.Bool().Draw(t, "answered")
			free := !now.Add(delay).Before(expiry)
			switch h.Next(now).Kind {
			case ActionAcquire:
				if free {
					owner, expiry, fencing = i, now.Add(delay+h.TTL), fencing+1
					if answered {
						h.Granted(now, now.Add(2*delay), "l", fencing)
					}
				}
			case ActionRenew:
				if free || owner != i {
					h.Expired()
				} else if expiry = now.Add(delay + h.TTL); answered {
					h.Renewed(now)
				}
			}
			now = now.Add(2 * delay)
			if holders[0].MayAct(now) && holders[1].MayAct(now) {
				t.Fatalf("both holders may act at %v", now)
			}
		}
	}
}

func TestExclusive(t *testing.T) { rapid.Check(t, exclusive(false)) }

// TestExclusiveFailsWithoutTheCheck checks that the property of TestExclusive detects a missing check of the remaining
// time.
func TestExclusiveFailsWithoutTheCheck(t *testing.T) {
	if !violation.FindsCounterexample(t, exclusive(true)) {
		t.Error("the property does not fail without the check of the remaining time")
	}
}
