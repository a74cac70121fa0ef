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

func schedules() *rapid.Generator[[]int] {
	return rapid.SliceOfN(rapid.IntRange(0, 1<<20), 20, 240)
}

func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := play(schedules().Draw(t, "schedule"), protections{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Shows that the property finds each protection missing.
func TestProtectionsAreNeeded(t *testing.T) {
	tests := []struct {
		name string
		off  protections
	}{
		{"anyone closes an open claim", protections{anyoneCloses: true}},
		{"any open claim is one's own", protections{anyOwner: true}},
		{"a lost swap is trusted", protections{trustsLostSwap: true}},
		{"a broken dispatch is repeated", protections{dispatchesAgain: true}},
		{"a dispatched claim is closed as not_run", protections{closesDispatched: true}},
		{"a dispatch has no deadline", protections{ignoresDeadline: true}},
		{"the body is not compared", protections{ignoresBodyDigest: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const tries = 40000
			for seed := range tries {
				if err := play(schedules().Example(seed), tt.off); err != nil {
					t.Logf("schedule %d: %v", seed, err)
					return
				}
			}
			t.Errorf("no violation in %d schedules", tries)
		})
	}
}
