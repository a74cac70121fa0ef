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
	if err := violation.Fix(); err != nil {
		panic(err)
	}
	m.Run()
}

func TestMeasureRepeats(t *testing.T) {
	s := setting{way: tree, hosts: 12, domains: 3, loss: 0.1, cutOff: 1, changes: 5}
	a, b := measure(s, 3), measure(s, 3)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs gave %+v and %+v", a, b)
	}
}

// Hosts die, restart empty and lose the store while changes are accepted: no host goes back within an incarnation,
// and in the end each has what was accepted last.
func spreads(noPull bool) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(setting{
			way: tree, hosts: 9, domains: 3, noPull: noPull,
			loss: rapid.Float64Range(0, 0.4).Draw(t, "loss"), cutOff: rapid.IntRange(0, 2).Draw(t, "cut off"),
		}, rapid.Uint64().Draw(t, "seed"))
		highest := make(map[string]uint64)
		for _, n := range w.hosts {
			n.applied = func(n *node) {
				if r := n.state.Version().Revision; r <= highest[n.host.Name] {
					t.Fatalf("%s went from revision %d to %d", n.host.Name, highest[n.host.Name], r)
				}
				highest[n.host.Name] = n.state.Version().Revision
			}
		}
		for i := range rapid.IntRange(1, 8).Draw(t, "changes") {
			n := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				n.down = true
			case 1: // a new process knows nothing
				n.down, n.state = false, manifest.State{}
				n.spreader = spread.Spreader{Self: n.host}
				n.spreader.Members(n.members())
				delete(highest, n.host.Name)
			default:
				n.down = false
				w.accept(n, []byte(fmt.Sprintf(`[{"name":"s","deadline":"%ds"}]`, i)))
			}
			w.run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		}
		w.loss = 0
		for _, n := range w.hosts {
			n.down = false
		}
		w.run(30 * time.Second)
		for _, n := range w.hosts {
			if n.state.Version() != w.stored.Version() {
				t.Fatalf("%s has revision %d, %d is accepted", n.host.Name, n.state.Version().Revision, w.stored.Revision)
			}
		}
	}
}

func TestSpreads(t *testing.T) { rapid.Check(t, spreads(false)) }

func TestSpreadsFailsWithoutPulls(t *testing.T) {
	if !violation.Found(t, spreads(true)) {
		t.Error("no violation was found")
	}
}
