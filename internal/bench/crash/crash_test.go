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

// TestEdgeHostThatHearsByProbeTellsTheOthers plays runs in which the first host's messages to its edge hosts are late,
// so that they hear of the second crash by a probe.
func TestEdgeHostThatHearsByProbeTellsTheOthers(t *testing.T) {
	for _, seed := range []uint64{215, 1338, 1652} {
		r := Simulate(Scenario{Crashers: 1, Resend: true}, seed, func(*suspect.Ledger) {})
		if r.MostLost > targetLost {
			t.Errorf("seed %d: one prompt took %d servers", seed, r.MostLost)
		}
	}
}
