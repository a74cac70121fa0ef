package spread

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/spread"
	"github.com/turmericshunt/turmericshunt/internal/violation"
)

func TestMain(m *testing.M) {
	if err := violation.FixSeed(); err != nil {
		panic(err)
	}
	m.Run()
}

func TestMeasureRepeats(t *testing.T) {
	s := setting{strategy: tree, hosts: 12, domains: 3, loss: 0.1, domainsWithoutStore: 1, changes: 5}
	a, b := measure(s, 3), measure(s, 3)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs gave %+v and %+v", a, b)
	}
}

// Returns a property test in which hosts stop, restart without state and cannot reach the store while changes are
// accepted. It fails if a host that has not restarted goes back to an older revision, or if a host does not have the
// newest accepted version 30 s after the faults end.
func changesReachAllHosts(pullsDisabled bool) func(*rapid.T) {
	return func(t *rapid.T) {
		sim := newSimulation(setting{
			strategy: tree, hosts: 9, domains: 3, pullsDisabled: pullsDisabled,
			loss: rapid.Float64Range(0, 0.4).Draw(t, "loss"), domainsWithoutStore: rapid.IntRange(0, 2).Draw(t, "cut off"),
		}, rapid.Uint64().Draw(t, "seed"))
		highest := make(map[string]uint64)
		for _, n := range sim.hosts {
			n.onApply = func(n *node) {
				if r := n.state.Version().Revision; r <= highest[n.host.Name] {
					t.Fatalf("%s went from revision %d to %d", n.host.Name, highest[n.host.Name], r)
				}
				highest[n.host.Name] = n.state.Version().Revision
			}
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			n := sim.hosts[rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				n.down = true
			case 1: // a restarted process has no cached state
				n.down, n.state = false, manifest.State{}
				n.distributor = spread.Distributor{Self: n.host}
				n.distributor.SetHosts(n.members())
				delete(highest, n.host.Name)
			default:
				n.down = false
				sim.acceptChange(n, []byte(fmt.Sprintf(`[{"name":"s","deadline":"%ds"}]`, i)))
			}
			sim.run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		}
		sim.loss = 0
		for _, n := range sim.hosts {
			n.down = false
		}
		sim.run(30 * time.Second)
		for _, n := range sim.hosts {
			if n.state.Version() != sim.stored.Version() {
				t.Fatalf("%s has revision %d, %d is accepted", n.host.Name, n.state.Version().Revision, sim.stored.Revision)
			}
		}
	}
}

func TestChangesReachAllHosts(t *testing.T) { rapid.Check(t, changesReachAllHosts(false)) }

func TestChangesMissHostsWithoutPulls(t *testing.T) {
	if !violation.FindsCounterexample(t, changesReachAllHosts(true)) {
		t.Error("no violation was found")
	}
}
