package crash

import (
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/suspect"
)

func TestSimulateRepeats(t *testing.T) {
	s := Scenario{Crashers: 2, Killed: 4, DeadHosts: 1}
	for seed := range uint64(5) {
		first := Simulate(s, seed, func(*suspect.Ledger) {})
		for range 3 {
			if again := Simulate(s, seed, func(*suspect.Ledger) {}); again != first {
				t.Fatalf("seed %d: got %+v, then %+v", seed, first, again)
			}
		}
	}
}
