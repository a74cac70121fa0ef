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

// Hosts accept changes, pull from each other, get cut off and restart under the platform's faults.
type restarts struct {
	*fleet
	highest  map[string]uint64 // that was ever in force on a host, also before a restart
	revision uint64
	unproved bool
}

func (r *restarts) step(t *rapid.T) {
	r.server.SetFaults(platformapi.Faults{})
	name := rapid.SampledFrom(fleetNames).Draw(t, "host")
	switch rapid.SampledFrom([]string{"apply", "pull", "cut", "restart", "outage"}).Draw(t, "step") {
	case "apply":
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		change := Change{Section: "services", Body: services(int(r.revision) + 1), Base: r.revision}
		if _, err := r.keepers[name].Apply(ctx, change); err != nil {
			t.Fatal(err)
		}
		r.revision++
	case "pull":
		other := rapid.SampledFrom(fleetNames).Draw(t, "other")
		if !r.cut[name] && !r.cut[other] {
			r.keepers[name].Offer(r.keepers[other].Pull(r.keepers[name].Version()))
		}
	case "cut":
		r.cut[name] = !r.cut[name]
	case "restart":
		r.replace(t, name, platformapi.Faults{StaleReads: rapid.Bool().Draw(t, "stale")})
	case "outage":
		r.replace(t, name, platformapi.Faults{Down: true})
	}
	r.check(t)
}

// Replaces a host, which is given up if it does not start in time.
func (r *restarts) replace(t *rapid.T, name string, faults platformapi.Faults) {
	before := r.highest[name]
	reachable := r.reachable(name)
	k := r.restart(name)
	k.unproved = r.unproved
	r.server.SetFaults(faults)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := k.Start(ctx, r.fleet, hosts(others(name)...)); err != nil {
		r.restart(name) // what it took in meanwhile was never in force
		r.highest[name] = 0
		return
	}
	if got := k.Version().Revision; !faults.Down && got < before {
		t.Fatalf("%s starts with revision %d and had %d", name, got, before)
	} else if got < reachable {
		t.Fatalf("%s starts with revision %d and a peer has %d", name, got, reachable)
	}
	r.highest[name] = k.Version().Revision
}

func (r *restarts) reachable(name string) uint64 {
	var highest uint64
	for _, other := range others(name) {
		if !r.cut[other] {
			highest = max(highest, r.keepers[other].Version().Revision)
		}
	}
	return highest
}

func (r *restarts) check(t *rapid.T) {
	for _, name := range fleetNames {
		got := r.keepers[name].Version().Revision
		if got < r.highest[name] {
			t.Fatalf("%s went from revision %d to %d", name, r.highest[name], got)
		}
		r.highest[name] = got
	}
}

func others(name string) []string {
	var rest []string
	for _, other := range fleetNames {
		if other != name {
			rest = append(rest, other)
		}
	}
	return rest
}

func neverRevertsAcrossRestarts(unproved bool) func(*rapid.T) {
	return func(t *rapid.T) {
		r := &restarts{fleet: newFleet(fleetNames...), highest: map[string]uint64{}, unproved: unproved}
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			r.step(t)
		}
	}
}

func TestNeverRevertsAcrossRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { violation.Check(t, neverRevertsAcrossRestarts(false)) })
}

func TestNeverRevertsAcrossRestartsFailsWithoutProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if !violation.Found(t, neverRevertsAcrossRestarts(true)) {
			t.Error("no violation was found")
		}
	})
}

// Two hosts that start in an outage don't take each other's unproved word.
func TestStartingHostsGiveNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		apply(t, f.keepers["a"], services(1), 0)
		f.restart("a")
		f.keepers["a"].starting.Store(true)
		f.keepers["a"].Offer(f.keepers["b"].Pull(protocol.ManifestVersion{}))
		if c := f.keepers["a"].Pull(protocol.ManifestVersion{}); c.Version.Revision != 0 {
			t.Errorf("a host that starts gave %s", fmt.Sprint(c.Version))
		}
	})
}
