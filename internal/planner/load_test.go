package planner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

// The load is that of the users' sheets: mean tokens and events, rates, aims and what a request is worth to its caller.
type class struct {
	name     string
	rate     float64 // requests a second
	tokens   float64
	spread   float64
	events   float64
	firstAim time.Duration
	gapAim   time.Duration
	deadline time.Duration
	worth    float64
}

// leave returns after which pause callers leave.
func (c *class) leave() time.Duration { return max(2*time.Second, 4*c.firstAim, 8*c.gapAim) }

var classes = []class{
	{"quick", 32.6, 4960, 0.9, 33, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3},
	{"review", 1.66, 45000, 0.5, 20, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 4.2},
	{"dossier", 1, 154000, 0.55, 16, 3 * time.Second, time.Second, 15 * time.Second, 21},
}

// phase is a stretch of time in which the classes come at a multiple of their rates.
type phase struct {
	length time.Duration
	times  [3]float64
}

const (
	engines = 16
	slots   = 16
	way     = 2 * time.Millisecond // from an engine's event to the planner
	maxSize = 300000               // tokens; larger prompts need reserved memory, which the emulator leaves out
)

var loadStart = time.Unix(1000, 0)

// policy places a request; an empty lead means that it waits.
type policy interface {
	ask(now time.Time, r *request)
	started(now time.Time, r *request)
	ended(now time.Time, r *request)
	// placements returns the requests that got a place since the last call.
	placements(now time.Time) []*request
}

type request struct {
	id      string
	class   *class
	tokens  int
	events  int
	arrived time.Time
	lead    string
	helpers []string
	refused bool
	first   time.Duration
	last    time.Time
	gap     time.Duration
	done    bool
}

func (r *request) inAim() bool {
	return r.done && r.first <= r.class.firstAim && r.gap <= r.class.gapAim
}

// arrivals draws the requests of the phases.
func arrivals(seed uint64, phases []phase) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []*request
	begin := loadStart
	for _, p := range phases {
		for i := range classes {
			c := &classes[i]
			rate := c.rate * p.times[i]
			for at := 0.0; rate > 0; {
				at += random.ExpFloat64() / rate
				if at > p.length.Seconds() {
					break
				}
				size := func(mean, spread, most float64) int {
					return int(min(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2), most))
				}
				all = append(all, &request{
					id: fmt.Sprint(c.name, len(all)), class: c, arrived: begin.Add(time.Duration(at * float64(time.Second))),
					tokens: max(size(c.tokens, c.spread, min(5*c.tokens, maxSize)), 100), events: max(size(c.events, 0.6, 2.5*c.events), 1),
				})
			}
		}
		begin = begin.Add(p.length)
	}
	slices.SortFunc(all, func(a, b *request) int { return a.arrived.Compare(b.arrived) })
	return all
}

// play runs the requests under a policy and returns them with what became of them.
func play(p policy, all []*request) {
	fleet := &passes.Fleet{Figures: figures}
	byID := make(map[string]*request)
	now := loadStart
	const tick = 5 * time.Millisecond
	for end := all[len(all)-1].arrived.Add(20 * time.Second); now.Before(end); now = now.Add(tick) {
		for len(all) > 0 && !all[0].arrived.After(now) {
			byID[all[0].id] = all[0]
			p.ask(now, all[0])
			all = all[1:]
		}
		for _, r := range p.placements(now) {
			fleet.Submit(now, passes.Request{ID: r.id, Lead: r.lead, Helpers: r.helpers, Tokens: r.tokens, Events: r.events})
		}
		for _, e := range fleet.Advance(now) {
			r := byID[e.ID]
			if e.Number == 1 {
				r.first = e.At.Sub(r.arrived) + way
				p.started(now, r)
			} else {
				r.gap = max(r.gap, e.At.Sub(r.last))
			}
			r.last = e.At
			if e.Last {
				r.done = true
				p.ended(now, r)
			}
		}
	}
}

// worth returns the share of all requests' worth that was earned in time, and that of quick ones alone.
func worth(all []*request) (whole, quick float64) {
	var owed, earned, quickOwed, quickEarned float64
	for _, r := range all {
		size := 0.3 + 0.7*float64(r.tokens)/r.class.tokens
		owed += r.class.worth * size
		if r.class.name == "quick" {
			quickOwed++
		}
		if r.inAim() {
			earned += r.class.worth * size
			if r.class.name == "quick" {
				quickEarned++
			}
		}
	}
	return earned / owed, quickEarned / quickOwed
}

var figures = passes.SampleEngine()

func engineName(i int) string { return fmt.Sprintf("i-%02d", i) }

// planned is the policy of the product.
type planned struct {
	planner *planner.Planner
	asked   map[string]*request
}

func newPlanned() *planned {
	p := &planned{planner: planner.New(), asked: make(map[string]*request)}
	p.planner.SetEngines(map[string]*catalog.Engine{"llm": figures})
	var list []replica.Replica
	for i := range engines {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8080)
		list = append(list, replica.Replica{ID: engineName(i), Service: "llm", Slots: slots, Address: address})
	}
	p.planner.SetReplicas(loadStart, list)
	return p
}

func (p *planned) ask(now time.Time, r *request) {
	p.asked[r.id] = r
	likely := r.events * figures.EventTokens
	p.planner.Ask(now, planner.Ask{
		ID: r.id, Host: "h", Service: "llm", PromptTokens: r.tokens, OutputTokens: likely, LikelyTokens: likely,
		FirstAim: r.class.firstAim, GapAim: r.class.gapAim, Deadline: r.class.deadline,
		Leave: r.class.leave(), MaxPause: r.class.leave(),
	})
}

func (p *planned) placements(now time.Time) []*request {
	var placed []*request
	for _, a := range p.planner.Settle(now) {
		r := p.asked[a.ID]
		if a.Plan == nil {
			r.refused = true
			continue
		}
		r.lead = a.Plan.Replica.ID
		for _, h := range a.Plan.Helpers {
			r.helpers = append(r.helpers, h.Replica)
		}
		placed = append(placed, r)
	}
	return placed
}

func (p *planned) started(now time.Time, r *request) { p.planner.Started(now, "h", r.id) }

func (p *planned) ended(now time.Time, r *request) {
	p.planner.Ended(now, "h", r.id, planner.OutcomeDone)
}

// chosen is a baseline: each request goes to one engine at once, or as soon as one has a free slot.
type chosen struct {
	choose  func(load []int, work []int) int // returns an engine with a free slot, or -1
	load    [engines]int
	work    [engines]int // prompt tokens that are not read yet
	waiting []*request
	index   map[string]int
}

func (c *chosen) ask(_ time.Time, r *request) { c.waiting = append(c.waiting, r) }

func (c *chosen) placements(time.Time) []*request {
	var placed []*request
	for len(c.waiting) > 0 {
		i := c.choose(c.load[:], c.work[:])
		if i < 0 {
			break
		}
		r := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.load[i]++
		c.work[i] += r.tokens
		c.index[r.id] = i
		r.lead = engineName(i)
		placed = append(placed, r)
	}
	return placed
}

func (c *chosen) started(_ time.Time, r *request) { c.work[c.index[r.id]] -= r.tokens }
func (c *chosen) ended(_ time.Time, r *request)   { c.load[c.index[r.id]]-- }

func newRandomTwo() *chosen {
	random := rand.New(rand.NewPCG(7, 7))
	return &chosen{index: make(map[string]int), choose: func(load, _ []int) int {
		a, b := random.IntN(len(load)), random.IntN(len(load))
		if load[b] < load[a] {
			a = b
		}
		if load[a] >= slots {
			return slices.IndexFunc(load, func(n int) bool { return n < slots })
		}
		return a
	}}
}

func newLeastWork() *chosen {
	return &chosen{index: make(map[string]int), choose: func(load, work []int) int {
		best := -1
		for i := range load {
			if load[i] < slots && (best < 0 || work[i] < work[best] || work[i] == work[best] && load[i] < load[best]) {
				best = i
			}
		}
		return best
	}}
}

var patterns = []struct {
	name   string
	phases []phase
}{
	{"even load", []phase{{20 * time.Second, [3]float64{1, 1, 1}}}},
	{"wave from long to short and back", []phase{
		{9 * time.Second, [3]float64{0.4, 1.3, 2}},
		{9 * time.Second, [3]float64{2.4, 0.5, 0.05}},
		{9 * time.Second, [3]float64{0.4, 1.3, 2}},
	}},
	{"burst of long prompts", []phase{
		{6 * time.Second, [3]float64{1, 1, 0.2}},
		{3 * time.Second, [3]float64{1, 1, 3}},
		{6 * time.Second, [3]float64{1, 1, 0.2}},
	}},
	{"long prompts near what the engines can read", []phase{
		{3 * time.Second, [3]float64{1, 1, 0.5}},
		{10 * time.Second, [3]float64{0.6, 1, 3.5}},
		{4 * time.Second, [3]float64{1, 1, 0.5}},
	}},
	{"wave over the slots", []phase{
		{3 * time.Second, [3]float64{1, 1, 0.5}},
		{8 * time.Second, [3]float64{3.6, 0.5, 0.05}},
		{4 * time.Second, [3]float64{0.5, 1, 0.5}},
	}},
	{"burst of short prompts", []phase{
		{5 * time.Second, [3]float64{0.8, 1, 0.8}},
		{3 * time.Second, [3]float64{2.6, 1, 0.8}},
		{5 * time.Second, [3]float64{0.8, 1, 0.8}},
	}},
}

// Under each pattern the planner must earn more than engines that are chosen one by one, over three seeds together.
func TestPlannerBeatsChoosingOneByOne(t *testing.T) {
	for _, pattern := range patterns {
		t.Run(pattern.name, func(t *testing.T) {
			var sums [3]float64
			for seed := range uint64(3) {
				for i, p := range []policy{newPlanned(), newRandomTwo(), newLeastWork()} {
					all := arrivals(seed+1, pattern.phases)
					play(p, all)
					whole, quick := worth(all)
					sums[i] += whole / 3
					t.Logf("seed %d, policy %d: worth %.3f, quick in time %.3f", seed+1, i, whole, quick)
				}
			}
			if sums[0] <= sums[1] || sums[0] <= sums[2] {
				t.Errorf("planner %.3f, random two %.3f, least work %.3f", sums[0], sums[1], sums[2])
			}
		})
	}
}

// The users' aim for a quiet day: three quarters of the worth in time, also while waves pass.
func TestWaveOfShortPromptsMeetsLongReading(t *testing.T) {
	const target = 0.75
	for seed := range uint64(4) {
		all := arrivals(seed+10, patterns[1].phases)
		play(newPlanned(), all)
		if whole, quick := worth(all); whole < target || quick < target {
			t.Errorf("seed %d: worth %.3f, quick in time %.3f, target %.2f", seed+10, whole, quick, target)
		}
	}
}

// The users' aim of three quarters of the worth in time, for the long prompts of a burst that takes most of the reading
// that the engines can do: a prompt that would be late waits for the engines that together read it in time, and what is
// late anyway doesn't take them.
func TestBurstOfLongPromptsNearTheReadingRate(t *testing.T) {
	const target = 0.75
	var owed, earned float64
	for seed := range uint64(4) {
		all := arrivals(seed+1, patterns[3].phases)
		play(newPlanned(), all)
		for _, r := range all {
			if r.class.name != "dossier" {
				continue
			}
			size := 0.3 + 0.7*float64(r.tokens)/r.class.tokens
			owed += size
			if r.inAim() {
				earned += size
			}
		}
	}
	if share := earned / owed; share < target {
		t.Errorf("%.3f of the worth of long prompts in time, target %.2f", share, target)
	}
}

// Long prompts that are read beside short ones which are late already must not keep them until their callers' time is
// over: at most one in a hundred isn't done by then.
func TestLongReadingBesideLateWritersLetsThemFinish(t *testing.T) {
	const mostUnfinished = 0.01
	var asked, unfinished int
	for seed := range uint64(4) {
		all := arrivals(seed+1, patterns[3].phases)
		play(newPlanned(), all)
		for _, r := range all {
			if r.class.name != "quick" || r.refused {
				continue
			}
			asked++
			if !r.done || r.last.Sub(r.arrived) > r.class.deadline {
				unfinished++
			}
		}
	}
	if float64(unfinished) > mostUnfinished*float64(asked) {
		t.Errorf("%d of %d short prompts not done within their callers' time", unfinished, asked)
	}
}
