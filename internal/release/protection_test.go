package release_test

import (
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/bench/leak"
	"github.com/turmericshunt/turmericshunt/internal/release"
)

// simulate returns the sum of the results of 16 seeded runs; configure changes the state machines of each run.
func simulate(configure func(leak.Machines)) leak.Result {
	var sum leak.Result
	for seed := range uint64(16) {
		result := leak.Simulate(seed, configure)
		sum.Held += result.Held
		sum.CutOff += result.CutOff
	}
	return sum
}

// Memory is left over or freed too early as soon as one of the two rules of an OrphanDetector is disabled.
func TestProtections(t *testing.T) {
	intact := simulate(func(leak.Machines) {})
	if intact.Held != 0 || intact.CutOff != 0 {
		t.Errorf("all protections enabled: got %+v, want nothing held and nothing freed too early", intact)
	}
	disabled := simulate(func(m leak.Machines) { release.IgnoreExpiry(m.Comparison) })
	if disabled.Held == 0 {
		t.Error("expired memory is not released, but none is left over")
	}
	disabled = simulate(func(m leak.Machines) { release.FreeMissingOwners(m.Comparison) })
	if disabled.CutOff == 0 {
		t.Error("memory of hosts that are cut off is freed, but none too early")
	}
}
