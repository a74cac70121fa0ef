package claim

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "8000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// schedules generates the random choices that drive a simulation.
func schedules() *rapid.Generator[[]int] {
	return rapid.SliceOfN(rapid.IntRange(0, 1<<20), 20, 240)
}

// TestAtMostOnce checks that under random faults a request runs at most once and no caller gets a wrong reply.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(schedules().Draw(t, "schedule"), protections{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestProtectionsAreNeeded checks that the simulation finds a violation whenever one of the protections is disabled.
func TestProtectionsAreNeeded(t *testing.T) {
	tests := []struct {
		name     string
		disabled protections
	}{
		{"anyone closes an open claim", protections{replacesOpenClaim: true}},
		{"any open claim is one's own", protections{adoptsOpenClaim: true}},
		{"a lost swap is trusted", protections{assumesSwapApplied: true}},
		{"a broken dispatch is repeated", protections{repeatsDispatch: true}},
		{"a dispatched claim is closed as not_run", protections{closesDispatchedAsNotRun: true}},
		{"a dispatch has no deadline", protections{ignoresDeadline: true}},
		{"the body is not compared", protections{ignoresBodyDigest: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const tries = 40000
			for seed := range tries {
				if err := simulate(schedules().Example(seed), tt.disabled); err != nil {
					t.Logf("schedule %d: %v", seed, err)
					return
				}
			}
			t.Errorf("no violation in %d schedules", tries)
		})
	}
}
