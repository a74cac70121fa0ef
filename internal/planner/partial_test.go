package planner

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"
)

// partialContender is several planners, each of which plans for a part of the hosts until they agree on the first one.
type partialContender struct {
	planners []*Planner
	agreed   time.Time
	done     bool
	current  map[string]*prompt
}

func newPartialContender(planners int, agreed time.Duration) *partialContender {
	c := &partialContender{agreed: start.Add(agreed), current: make(map[string]*prompt)}
	for i := range planners {
		p := newLogbookPlanner(uint64(i))
		p.SetPartialView(true)
		c.planners = append(c.planners, p)
	}
	return c
}

// plannerOf returns the planner of the prompt's host.
func (c *partialContender) plannerOf(r *prompt) *Planner {
	if c.done {
		return c.planners[0]
	}
	return c.planners[(r.events+r.tokens)%len(c.planners)]
}

func (c *partialContender) submit(now time.Time, r *prompt) {
	c.current[r.id] = r
	c.plannerOf(r).Submit(now, r.placementRequest(now))
}

func (c *partialContender) decide(now time.Time) []Result {
	if !c.done && !now.Before(c.agreed) {
		c.agree(now)
	}
	var results []Result
	for _, p := range c.planners {
		results = append(results, p.Decide(now)...)
	}
	return results
}

// agree moves all placements and all requests that wait to the first planner.
func (c *partialContender) agree(now time.Time) {
	c.done = true
	first := c.planners[0]
	first.SetPartialView(false)
	for i, p := range c.planners[1:] {
		jobs := slices.SortedFunc(maps.Values(p.jobs), func(x, y *job) int { return cmp.Compare(x.key.id, y.key.id) })
		for _, j := range jobs {
			placement := Placement{
				Request: j.request, Replica: j.server.replica.ID, Decoding: j.decoding,
				FirstEvent: max(j.firstEvent.Sub(now), 1),
			}
			placement.Request.SubtractElapsed(now.Sub(c.current[j.key.id].submitted))
			for _, h := range j.helpers {
				placement.Helpers = append(placement.Helpers, Helper{Replica: h.replica.ID})
			}
			first.Restore(now, placement)
		}
		for k := range p.waiting {
			w := &p.waiting[k]
			w.request.SubtractElapsed(now.Sub(w.arrived))
			first.Submit(now, w.request)
		}
		c.planners[i+1] = newLogbookPlanner(0)
	}
}

func (c *partialContender) started(now time.Time, r *prompt) {
	c.plannerOf(r).Started(now, "h", r.id)
}

func (c *partialContender) ended(now time.Time, r *prompt, outcome Outcome) {
	c.plannerOf(r).Ended(now, "h", r.id, outcome)
}

// Load: all hosts of the logbook customer restart at once. For the first second each of six hosts plans for a sixth of the
// others. Guards against long prompts that each planner splits over all engines, so that they collide with each other and
// with notes. The test switches the protection off for comparison.
func TestPlannersWithPartialViewUseFewEngines(t *testing.T) {
	const seeds, planners, leastNotes = 3, 6, 0.85
	var shares [2]float64 // of the value of the notes of the first three seconds
	for seed := range uint64(seeds) {
		for i := range shares {
			all := logbookArrivals(seed+3, []loadPhase{{4 * time.Second, [3]float64{1, 1, 2}}})
			p := newPartialContender(planners, time.Second)
			for _, each := range p.planners {
				each.SetPartialView(i == 1)
			}
			c := &contest{policy: p}
			c.run(slices.Clone(all))
			notes := slices.DeleteFunc(slices.Clone(all), func(r *prompt) bool {
				return r.class.name != "note" || r.arrived.After(at(3000))
			})
			shares[i] += shareOf(notes) / seeds
			t.Logf("seed %d, protection %v: share of all %.3f, of the notes of 3 s %.3f", seed+3, i == 1, shareOf(all), shareOf(notes))
		}
	}
	if shares[1] < leastNotes || shares[1] < shares[0] {
		t.Errorf("share of the notes %.3f, without the protection %.3f, want at least %.2f", shares[1], shares[0], leastNotes)
	}
}
