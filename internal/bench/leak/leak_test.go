package leak

import "testing"

func TestSimulateRepeats(t *testing.T) {
	for seed := range uint64(5) {
		first := Simulate(seed, func(Machines) {})
		if again := Simulate(seed, func(Machines) {}); again != first {
			t.Fatalf("seed %d: got %+v, then %+v", seed, first, again)
		}
	}
}
