package spread

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/violation"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

var fleetNames = []string{"a", "b", "c"}

// restartModel is a fleet whose hosts accept changes, pull from each other, get partitioned from their peers and
// restart while the platform's store has faults.
type restartModel struct {
	*fleet
	highestRevision       map[string]uint64 // highest revision that was ever active on a host, including before restarts
	acceptedRevision      uint64            // revision of the last accepted change
	skipStartVerification bool
}

func (r *restartModel) step(t *rapid.T) {
	r.server.SetFaults(platformapi.Faults{})
	name := rapid.SampledFrom(fleetNames).Draw(t, "host")
	switch rapid.SampledFrom([]string{"apply", "pull", "cut", "restart", "outage"}).Draw(t, "step") {
	case "apply":
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		change := Change{Section: "services", Body: services(int(r.acceptedRevision) + 1), Base: r.acceptedRevision}
		if _, err := r.configs[name].Apply(ctx, change); err != nil {
			t.Fatal(err)
		}
		r.acceptedRevision++
	case "pull":
		other := rapid.SampledFrom(fleetNames).Draw(t, "other")
		if !r.partitioned[name] && !r.partitioned[other] {
			r.configs[name].Offer(r.configs[other].Pull(r.configs[name].Version()))
		}
	case "cut":
		r.partitioned[name] = !r.partitioned[name]
	case "restart":
		r.restartHost(t, name, platformapi.Faults{StaleReads: rapid.Bool().Draw(t, "stale")})
	case "outage":
		r.restartHost(t, name, platformapi.Faults{Down: true})
	}
	r.check(t)
}

// Restarts a host and checks the revision with which it starts. A host that does not start within the timeout is
// treated as a new one.
func (r *restartModel) restartHost(t *rapid.T, name string, faults platformapi.Faults) {
	before := r.highestRevision[name]
	reachable := r.highestReachable(name)
	k := r.restart(name)
	k.skipStartVerification = r.skipStartVerification
	r.server.SetFaults(faults)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := k.Start(ctx, r.fleet, hosts(otherHosts(name)...)); err != nil {
		r.restart(name) // what it fetched meanwhile does not count as active
		r.highestRevision[name] = 0
		return
	}
	if got := k.Version().Revision; !faults.Down && got < before {
		t.Fatalf("host %s started with revision %d, but had %d before", name, got, before)
	} else if got < reachable {
		t.Fatalf("host %s started with revision %d, but a reachable peer has %d", name, got, reachable)
	}
	r.highestRevision[name] = k.Version().Revision
}

// Returns the highest revision among the other hosts that are not partitioned.
func (r *restartModel) highestReachable(name string) uint64 {
	var highest uint64
	for _, other := range otherHosts(name) {
		if !r.partitioned[other] {
			highest = max(highest, r.configs[other].Version().Revision)
		}
	}
	return highest
}

// Checks that no host's revision has decreased since the last step.
func (r *restartModel) check(t *rapid.T) {
	for _, name := range fleetNames {
		got := r.configs[name].Version().Revision
		if got < r.highestRevision[name] {
			t.Fatalf("host %s went from revision %d to %d", name, r.highestRevision[name], got)
		}
		r.highestRevision[name] = got
	}
}

func otherHosts(name string) []string {
	var rest []string
	for _, other := range fleetNames {
		if other != name {
			rest = append(rest, other)
		}
	}
	return rest
}

func neverRevertsAcrossRestarts(skipStartVerification bool) func(*rapid.T) {
	return func(t *rapid.T) {
		r := &restartModel{fleet: newFleet(fleetNames...), highestRevision: map[string]uint64{}, skipStartVerification: skipStartVerification}
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			r.step(t)
		}
	}
}

func TestNeverRevertsAcrossRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { violation.Check(t, neverRevertsAcrossRestarts(false)) })
}

func TestNeverRevertsAcrossRestartsFailsWithoutVerification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if !violation.FindsCounterexample(t, neverRevertsAcrossRestarts(true)) {
			t.Error("no host reverted, want a violation without verification of the store's response")
		}
	})
}

// Two hosts that start during an outage of the store must not activate each other's unverified configuration.
func TestStartingHostsServeNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		apply(t, f.configs["a"], services(1), 0)
		f.restart("a")
		f.configs["a"].starting.Store(true)
		f.configs["a"].Offer(f.configs["b"].Pull(protocol.ManifestVersion{}))
		if c := f.configs["a"].Pull(protocol.ManifestVersion{}); c.Version.Revision != 0 {
			t.Errorf("a starting host returned version %s, want none", fmt.Sprint(c.Version))
		}
	})
}
