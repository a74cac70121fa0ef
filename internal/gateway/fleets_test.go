package gateway_test

import (
	"testing"
	"time"
)

// hasOnePlanner reports whether all hosts have the same planner.
func (c *cluster) hasOnePlanner() bool {
	planner := c.hosts[0].status().Planner
	for _, h := range c.hosts {
		if s := h.status(); s.Planner != planner || !s.Planner.IsValid() {
			return false
		}
	}
	return true
}

// Two fleets have no host in common among their seeds, so that neither is isolated and none hears of the other. Guards against
// planners that share limits and budgets with nobody for good (review/13).
func TestFleetsThatNeverMetFindEachOther(t *testing.T) {
	t.Parallel()
	c := (&cluster{t: t, seedGroups: 2}).start(4, &faultInjector{}, 0)
	defer c.logOnFailure()
	c.eventually("all hosts have one planner", c.hasOnePlanner)
	const calm = 4 * time.Second
	time.Sleep(calm)
	if !c.hasOnePlanner() {
		t.Error("the fleets have come apart again")
	}
}
