package planner

import (
	"slices"
	"testing"
	"time"
)

// floodArrivals returns the logbook customer's usual load, with four times the archives and twice the recaps of it besides,
// all of workspace 0, from the third second on.
func floodArrivals(seed uint64) []*prompt {
	const begin = 3 * time.Second
	all := logbookArrivals(seed, []loadPhase{{13 * time.Second, [3]float64{1, 1, 1}}})
	for _, r := range logbookArrivals(seed+100, []loadPhase{{13 * time.Second, [3]float64{0.01, 2, 4}}}) {
		if r.arrived.After(start.Add(begin)) && r.class.name != "note" {
			r.workspace, r.id = 0, "extra "+r.id
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(x, y *prompt) int { return x.arrived.Compare(y.arrived) })
	return all
}

// Load: one workspace sends several times as many long prompts as all others, and more comes than fits. Guards against a
// share of the others that falls with it. Requests that name no workspace show what they would get without the protection.
func TestWorkspaceTakesNoMoreThanItsShareFromOthers(t *testing.T) {
	const (
		seeds     = 2
		leastGain = 0.02
	)
	var others, whole [2]float64
	for seed := range uint64(seeds) {
		for i := range others {
			all := floodArrivals(seed + 1)
			c := &contest{policy: &plannerContender{planner: newLogbookPlanner(0), unnamed: i == 0}}
			c.run(slices.Clone(all))
			whole[i] += shareOf(all) / seeds
			long := slices.DeleteFunc(slices.Clone(all), func(r *prompt) bool {
				return r.workspace == 0 || r.class.name == "note"
			})
			share := shareOf(long)
			others[i] += share / seeds
			t.Logf("seed %d, workspaces named %v: share of the others' long prompts %.3f, of all %.3f", seed+1, i == 1, share, shareOf(all))
		}
	}
	t.Logf("without names %.3f and %.3f, with names %.3f and %.3f", others[0], whole[0], others[1], whole[1])
	if others[1] < others[0]+leastGain {
		t.Errorf("share of the others' long prompts %.3f, without the protection %.3f", others[1], others[0])
	}
}
