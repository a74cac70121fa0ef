package appointment

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against callers that are refused at the same moment and return at the same moment: they would be refused again.
func TestCallersReturnOneAfterTheOther(t *testing.T) {
	o := Order{Horizon: 950 * time.Millisecond}
	var got []time.Duration
	for range 7 {
		got = append(got, o.Next(start, 0, 500*time.Millisecond, 100*time.Millisecond)/time.Millisecond)
	}
	// The sixth would return at 1,000 ms.
	if want := []time.Duration{500, 600, 700, 800, 900, 500, 600}; !slices.Equal(got, want) {
		t.Errorf("callers return after %d ms, want %d", got, want)
	}
}

// Guards against an order that keeps callers away for work that was done long ago.
func TestOrderEndsWithItsWork(t *testing.T) {
	o := Order{Horizon: time.Minute}
	o.Next(start, 0, 0, time.Second)
	now := start.Add(2 * time.Second)
	if after := o.Next(now, 0, 300*time.Millisecond, time.Second); after != 300*time.Millisecond {
		t.Errorf("returns after %v, want 300ms", after)
	}
	o.Horizon = time.Second
	if after := o.Next(now, 0, 5*time.Second, time.Second); after != 5*time.Second {
		t.Errorf("returns after %v without capacity before 5s", after)
	}
}

// Guards against callers that return early, each time to a later place, while their work counts several times.
func TestEarlyCallerKeepsItsPlace(t *testing.T) {
	o := Order{Horizon: time.Minute}
	o.Next(start, 1, 0, 10*time.Second)
	if after := o.Next(start, 2, 0, 10*time.Second); after != 10*time.Second {
		t.Errorf("the second caller returns after %v, want 10s", after)
	}
	early := start.Add(4 * time.Second)
	if after := o.Next(early, 2, 0, 10*time.Second); after != 6*time.Second {
		t.Errorf("a caller that is 6s early returns after %v", after)
	}
	if after := o.Next(early, 3, 0, time.Second); after != 16*time.Second {
		t.Errorf("the third caller returns after %v, want 16s", after)
	}
}
