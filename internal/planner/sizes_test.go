package planner

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

var sizeSeeds = flag.Uint64("size-seeds", 0, "seeds of the simulations of large prompts, if more than in CI")

// foundry returns the customer with 135 engines, whose callers return once.
func foundry() *customer {
	e := passes.SampleEngine()
	e.Slots, e.EventTokens, e.PassSteps = 10, 80, 80
	return &customer{
		engine: e, engines: 135, domains: 5, workspaces: 40, maxTokens: 700000, retries: 1,
		classes: []promptClass{
			{"note", 186, 4960, 0.9, 23.5, 400 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
			{"review", 13.7, 45000, 0.5, 14.1, 1500 * time.Millisecond, 800 * time.Millisecond, 10 * time.Second, 3.1, 0.78},
			{"dossier", 4.53, 220000, 0.55, 11.8, 4 * time.Second, 1200 * time.Millisecond, 15 * time.Second, 26, 6.5},
		},
	}
}

// swatchbook returns the customer with 16 engines, whose callers return once.
func swatchbook() *customer {
	return &customer{
		engine: passes.SampleEngine(), engines: 16, domains: 3, workspaces: 10, maxTokens: 400000, retries: 1,
		classes: []promptClass{
			{"note", 32.6, 4960, 0.9, 33, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3, 0.33},
			{"review", 1.66, 45000, 0.5, 20, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 4.2, 1},
			{"dossier", 1, 154000, 0.5, 16, 3 * time.Second, time.Second, 15 * time.Second, 21, 5.2},
		},
	}
}

// waves are phases of heavy load: long prompts come more often, then short ones, then long ones again.
func waves(long float64) []loadPhase {
	return []loadPhase{
		{2 * time.Second, [3]float64{1, 1, 1}},
		{10 * time.Second, [3]float64{0.37, 1.3, long}},
		{10 * time.Second, [3]float64{2.5, 0.5, 0.05}},
		{10 * time.Second, [3]float64{0.4, 1.3, long}},
		{2 * time.Second, [3]float64{1, 1, 1}},
	}
}

// domainLost is a loss of a failure domain in the middle of the second wave of long prompts, and of a sixth of all engines in
// the first one.
func domainLost(u *customer) []outage {
	return []outage{
		{5 * time.Second, 4 * time.Second, func(i int) bool { return i%6 == 1 }},
		{24 * time.Second, 5 * time.Second, func(i int) bool { return i%u.domains == 0 }},
	}
}

// Groups of prompts within a class.
const (
	largestTenth = ", largest tenth"
	nextFifth    = ", next fifth"
)

// sizeGroups sums up prompts by class, and within each class the largest tenth and the fifth below it. What the loss of
// an engine broke off at last is left out.
func sizeGroups(sums comparison, u *customer, all []*prompt) {
	for i := range u.classes {
		class := slices.DeleteFunc(slices.Clone(all), func(r *prompt) bool {
			return r.class.name != u.classes[i].name || r.breaks > 0 && !r.done
		})
		slices.SortFunc(class, func(x, y *prompt) int { return cmp.Compare(y.tokens, x.tokens) })
		for k, r := range class {
			name := r.class.name
			sums.add(name, r)
			switch {
			case k < len(class)/10:
				sums.add(name+largestTenth, r)
			case k < len(class)*3/10:
				sums.add(name+nextFifth, r)
			}
		}
	}
	for _, r := range all {
		sums.add("all", r)
	}
}

// heavyDay is a load under which more comes than fits, and engines are lost.
type heavyDay struct {
	name    string
	site    *customer
	long    float64 // factor of the longest prompts in their waves
	outages func(u *customer) []outage
	seeds   uint64 // in CI; 0 if the day is played with -size-seeds only
}

func heavyDays() []heavyDay {
	none := func(*customer) []outage { return nil }
	return []heavyDay{
		{"foundry", foundry(), 4, none, 0},
		{"foundry with faults", foundry(), 4, domainLost, 1},
		{"swatchbook", swatchbook(), 2.8, none, 0},
		{"swatchbook with faults", swatchbook(), 5, domainLost, 6},
	}
}

// play plays the day with a number of seeds and sums up what the callers got.
func (d *heavyDay) play(seeds uint64, newPlanner func() *Planner) comparison {
	sums := make(comparison)
	for seed := range seeds {
		all := d.site.arrivals(seed+1, waves(d.long))
		c := &contest{site: d.site, policy: &plannerContender{planner: newPlanner()}, outages: d.outages(d.site)}
		c.run(slices.Clone(all))
		sizeGroups(sums, d.site, all)
	}
	return sums
}

// served returns the share of the prompts of a group that were served.
func (c comparison) served(group string) float64 { return c[group].served / c[group].count }

// value returns the share of the value of a group that its callers got.
func (c comparison) value(group string) float64 { return c[group].got / c[group].offered }

// Load: more long prompts than the engines take, with and without a failure domain that is lost in between. Guards against SHORT: the
// largest tenth of a kind of prompts and the fifth below it are served at least half as often as the whole kind, and smaller kinds
// lose little by it, compared with a planner that lets large prompts starve.
func TestLargePromptsAreServedUnderHeavyLoad(t *testing.T) {
	const (
		mostLost    = 0.1  // share of the value of a smaller kind
		mostRefused = 0.05 // share of the prompts of a smaller kind
	)
	for _, d := range heavyDays() {
		if d.seeds == 0 && *sizeSeeds == 0 {
			continue
		}
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			seeds := max(d.seeds, *sizeSeeds)
			sums := d.play(seeds, func() *Planner { return d.site.newPlanner(0) })
			unequal := d.play(seeds, func() *Planner {
				p := d.site.newPlanner(0)
				p.sizesUnequal = true
				return p
			})
			for i := range d.site.classes {
				class := d.site.classes[i].name
				t.Log(sums.describe(class))
				t.Log("if large prompts starve: " + unequal.describe(class))
				for _, group := range []string{largestTenth, nextFifth} {
					if sums.served(class+group) < sums.served(class)/2 {
						t.Errorf("%.2f of %s%s are served, of all %.2f", sums.served(class+group), class, group, sums.served(class))
					}
				}
				if i == len(d.site.classes)-1 {
					continue
				}
				if sums.value(class) < unequal.value(class)-mostLost || sums.served(class) < unequal.served(class)-mostRefused {
					t.Errorf("%s: value %.3f, served %.3f; if large prompts starve %.3f, %.3f", class, sums.value(class), sums.served(class),
						unequal.value(class), unequal.served(class))
				}
			}
			t.Logf("value of all %.3f, if large prompts starve %.3f", sums.value("all"), unequal.value("all"))
		})
	}
}

// describe returns the figures of a class.
func (c comparison) describe(class string) string {
	return fmt.Sprintf("%s: value %.3f, served %.3f; largest tenth %.3f, %.3f; next fifth %.3f, %.3f", class, c.value(class), c.served(class),
		c.value(class+largestTenth), c.served(class+largestTenth), c.value(class+nextFifth), c.served(class+nextFifth))
}
