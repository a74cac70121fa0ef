package crash

import (
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/suspect"
)

// TestSimulateIsDeterministic checks that runs with the same scenario and seed give the same result.
func TestSimulateIsDeterministic(t *testing.T) {
	s := Scenario{Crashers: 2, Killed: 4, DeadHosts: 1}
	for seed := range uint64(5) {
		first := Simulate(s, seed, func(*suspect.Tracker) {})
		for range 3 {
			if again := Simulate(s, seed, func(*suspect.Tracker) {}); again != first {
				t.Fatalf("seed %d: got %+v, then %+v", seed, first, again)
			}
		}
	}
}

// TestEdgeHostForwardsEvidenceLearnedByProbe guards against edge hosts that forward evidence only if a broadcast
// brought it. With these seeds, the broadcast of the host that first detects the second crash is delayed on its way to
// the edge hosts of its failure domain, so that they learn of the crash from a probe and have to forward it to the
// other failure domains.
func TestEdgeHostForwardsEvidenceLearnedByProbe(t *testing.T) {
	for _, seed := range []uint64{215, 1338, 1652} {
		r := Simulate(Scenario{Crashers: 1, Resend: true}, seed, func(*suspect.Tracker) {})
		if r.MostLost > lostServersTarget {
			t.Errorf("seed %d: one prompt crashed %d servers", seed, r.MostLost)
		}
	}
}
