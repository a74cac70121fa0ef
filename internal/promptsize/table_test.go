package promptsize

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const (
	small = time.Second
	large = 20 * time.Second
)

// after returns a table after a number of decisions on small and on large prompts of a kind.
func after(smallPlaced, smallRefused, largePlaced, largeRefused int) *Table {
	t := &Table{}
	for range smallPlaced {
		t.Placed(start, "k", small)
	}
	for range smallRefused {
		t.Refused(start, "k", small)
	}
	for range largePlaced {
		t.Placed(start, "k", large)
	}
	for range largeRefused {
		t.Refused(start, "k", large)
	}
	return t
}

// Guards against SHORT: a size is behind once it gets engines much less often than its kind, and only then.
func TestBehind(t *testing.T) {
	for _, test := range []struct {
		name string
		t    *Table
		want bool
	}{
		{"nothing known", &Table{}, false},
		{"all placed", after(9, 0, 1, 0), false},
		{"all refused alike", after(5, 5, 2, 2), false},
		{"large ones refused more often", after(9, 1, 1, 4), true},
		{"large ones refused a little more often", after(9, 1, 4, 1), false},
		{"small ones refused more often", after(1, 4, 9, 1), false},
	} {
		if got := test.t.Behind("k", large); got != test.want {
			t.Errorf("%s: behind %v, want %v", test.name, got, test.want)
		}
	}
	if after(9, 1, 1, 4).Behind("other", large) {
		t.Error("a kind is behind of which nothing is known")
	}
}

// Guards against a large prompt that waits without end while nothing is refused.
func TestWaitingCounts(t *testing.T) {
	table := after(9, 0, 1, 0)
	for range 2 {
		table.Waiting(start, "k", large)
	}
	if !table.Behind("k", large) {
		t.Error("one of three large prompts is placed and the others wait, not behind")
	}
	table.StartWaiting(start)
	if table.Behind("k", large) {
		t.Error("behind by prompts that no longer wait")
	}
}

// Guards against prompts that count as placed though their engines were lost.
func TestLostCounts(t *testing.T) {
	table := after(9, 0, 3, 0)
	for range 3 {
		table.Lost(start, "k", large)
	}
	if !table.Behind("k", large) {
		t.Error("all large prompts have lost their engines, not behind")
	}
}

// Guards against precedence for what happened long ago, and against a table that grows with each kind ever seen.
func TestDecisionsAreForgotten(t *testing.T) {
	table := after(9, 1, 1, 4)
	now := start.Add(10 * timeConstant)
	table.StartWaiting(now)
	if len(table.kinds) != 0 || table.Behind("k", large) {
		t.Errorf("%d kinds after %v", len(table.kinds), now.Sub(start))
	}
}
