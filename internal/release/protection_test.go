package release_test

import (
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/bench/leak"
	"github.com/turmericshunt/turmericshunt/internal/release"
)

// simulate adds up some runs with a change to the state machines.
func simulate(configure func(leak.Machines)) leak.Result {
	var sum leak.Result
	for seed := range uint64(16) {
		x := leak.Simulate(seed, configure)
		sum.Held += x.Held
		sum.CutOff += x.CutOff
	}
	return sum
}

func TestProtections(t *testing.T) {
	on := simulate(func(leak.Machines) {})
	if on.Held != 0 || on.CutOff != 0 {
		t.Errorf("all on: got %+v", on)
	}
	off := simulate(func(m leak.Machines) { release.Unexpired(m.Comparison) })
	if off.Held == 0 {
		t.Error("without the release of expired memory nothing is left")
	}
	off = simulate(func(m leak.Machines) { release.Unowned(m.Comparison) })
	if off.CutOff == 0 {
		t.Error("without regard for cut off owners nothing is freed too early")
	}
}
