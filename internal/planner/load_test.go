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

// class is a class of requests with the values of the users' specification: mean tokens and events, rate, targets, and
// the value of a request to its caller.
type class struct {
	name        string
	rate        float64 // requests per second
	tokens      float64 // mean prompt length
	spread      float64 // standard deviation of the logarithm of the prompt length
	events      float64 // mean number of events
	firstTarget time.Duration
	pauseTarget time.Duration
	deadline    time.Duration
	value       float64
}

// timeout returns the pause after which callers disconnect.
func (c *class) timeout() time.Duration { return max(2*time.Second, 4*c.firstTarget, 8*c.pauseTarget) }

var classes = []class{
	{"quick", 32.6, 4960, 0.9, 33, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3},
	{"review", 1.66, 45000, 0.5, 20, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 4.2},
	{"dossier", 1, 154000, 0.55, 16, 3 * time.Second, time.Second, 15 * time.Second, 21},
}

// phase is a period in which the classes arrive at a multiple of their rates.
type phase struct {
	length      time.Duration
	rateFactors [3]float64 // by index in classes
}

const (
	engines    = 16
	slots      = 16
	eventDelay = 2 * time.Millisecond // from an event at an engine to the planner
	maxSize    = 300000               // in tokens; larger prompts need memory reservations, which aren't simulated
)

var loadStart = time.Unix(1000, 0)

// policy places requests.
type policy interface {
	add(now time.Time, r *request)
	started(now time.Time, r *request)
	ended(now time.Time, r *request)
	// placements returns the requests that were placed since the last call, with primary and helpers set.
	placements(now time.Time) []*request
}

type request struct {
	id           string
	class        *class
	tokens       int
	events       int
	arrived      time.Time
	primary      string   // engine that decodes it
	helpers      []string // engines that prefill parts of it
	refused      bool
	firstEvent   time.Duration
	lastEvent    time.Time
	longestPause time.Duration
	done         bool
}

func (r *request) meetsTargets() bool {
	return r.done && r.firstEvent <= r.class.firstTarget && r.longestPause <= r.class.pauseTarget
}

// arrivals returns random arrivals of the phases' requests, ordered by time.
func arrivals(seed uint64, phases []phase) []*request {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []*request
	begin := loadStart
	for _, p := range phases {
		for i := range classes {
			c := &classes[i]
			rate := c.rate * p.rateFactors[i]
			for at := 0.0; rate > 0; {
				at += random.ExpFloat64() / rate
				if at > p.length.Seconds() {
					break
				}
				size := func(mean, spread, most float64) int {
					return int(min(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2), most))
				}
				all = append(all, &request{
					id: fmt.Sprint(c.name, len(all)), class: c,
					arrived: begin.Add(time.Duration(at * float64(time.Second))),
					tokens:  max(size(c.tokens, c.spread, min(5*c.tokens, maxSize)), 100),
					events:  max(size(c.events, 0.6, 2.5*c.events), 1),
				})
			}
		}
		begin = begin.Add(p.length)
	}
	slices.SortFunc(all, func(a, b *request) int { return a.arrived.Compare(b.arrived) })
	return all
}

// simulate runs the requests on simulated engines under a policy and records the results in them.
func simulate(p policy, all []*request) {
	fleet := &passes.Fleet{Params: engineParams}
	byID := make(map[string]*request)
	now := loadStart
	const tick = 5 * time.Millisecond
	for end := all[len(all)-1].arrived.Add(20 * time.Second); now.Before(end); now = now.Add(tick) {
		for len(all) > 0 && !all[0].arrived.After(now) {
			byID[all[0].id] = all[0]
			p.add(now, all[0])
			all = all[1:]
		}
		for _, r := range p.placements(now) {
			fleet.Submit(now, passes.Request{
				ID: r.id, Primary: r.primary, Helpers: r.helpers,
				PromptTokens: r.tokens, EventCount: r.events,
			})
		}
		for _, e := range fleet.Advance(now) {
			r := byID[e.ID]
			if e.Number == 1 {
				r.firstEvent = e.At.Sub(r.arrived) + eventDelay
				p.started(now, r)
			} else {
				r.longestPause = max(r.longestPause, e.At.Sub(r.lastEvent))
			}
			r.lastEvent = e.At
			if e.Last {
				r.done = true
				p.ended(now, r)
			}
		}
	}
}

// valueShares uses the values of the classes, not requestValue. It returns the share of the value of all requests that
// met their targets, and the share of quick requests that did.
func valueShares(all []*request) (total, quick float64) {
	var offered, earned, quickOffered, quickEarned float64
	for _, r := range all {
		size := 0.3 + 0.7*float64(r.tokens)/r.class.tokens
		offered += r.class.value * size
		if r.class.name == "quick" {
			quickOffered++
		}
		if r.meetsTargets() {
			earned += r.class.value * size
			if r.class.name == "quick" {
				quickEarned++
			}
		}
	}
	return earned / offered, quickEarned / quickOffered
}

var engineParams = passes.SampleEngine()

func engineName(i int) string { return fmt.Sprintf("i-%02d", i) }

// plannerPolicy places requests with a Planner.
type plannerPolicy struct {
	planner  *planner.Planner
	requests map[string]*request
}

func newPlannerPolicy() *plannerPolicy {
	p := &plannerPolicy{planner: planner.New(0), requests: make(map[string]*request)}
	p.planner.SetEngines(map[string]*catalog.EngineParams{"llm": engineParams})
	var list []replica.Replica
	for i := range engines {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8080)
		list = append(list, replica.Replica{ID: engineName(i), Service: "llm", Slots: slots, Address: address})
	}
	p.planner.SetReplicas(loadStart, list)
	return p
}

func (p *plannerPolicy) add(now time.Time, r *request) {
	p.requests[r.id] = r
	likely := r.events * engineParams.EventTokens
	p.planner.Submit(now, planner.Request{
		ID: r.id, Host: "h", Service: "llm", PromptTokens: r.tokens, OutputTokens: likely, LikelyTokens: likely,
		FirstTarget: r.class.firstTarget, PauseTarget: r.class.pauseTarget, Deadline: r.class.deadline,
		UntilDisconnect: r.class.timeout(), PauseTimeout: r.class.timeout(),
	})
}

func (p *plannerPolicy) placements(now time.Time) []*request {
	var placed []*request
	for _, result := range p.planner.Decide(now) {
		r := p.requests[result.ID]
		if result.Plan == nil {
			r.refused = true
			continue
		}
		r.primary = result.Plan.Replica.ID
		for _, h := range result.Plan.Helpers {
			r.helpers = append(r.helpers, h.Replica)
		}
		placed = append(placed, r)
	}
	return placed
}

func (p *plannerPolicy) started(now time.Time, r *request) { p.planner.Started(now, "h", r.id) }

func (p *plannerPolicy) ended(now time.Time, r *request) {
	p.planner.Ended(now, "h", r.id, planner.OutcomeCompleted)
}

// singleEngine is a baseline policy: each request goes to one engine, as soon as one has a free slot.
type singleEngine struct {
	choose       func(running []int, queuedTokens []int) int // returns an engine with a free slot, or -1
	running      [engines]int                                // requests that were placed and haven't ended
	queuedTokens [engines]int                                // prompt tokens that aren't prefilled
	waiting      []*request
	engineOf     map[string]int // engine of each request, by ID
}

func (c *singleEngine) add(_ time.Time, r *request) { c.waiting = append(c.waiting, r) }

func (c *singleEngine) placements(time.Time) []*request {
	var placed []*request
	for len(c.waiting) > 0 {
		i := c.choose(c.running[:], c.queuedTokens[:])
		if i < 0 {
			break
		}
		r := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.running[i]++
		c.queuedTokens[i] += r.tokens
		c.engineOf[r.id] = i
		r.primary = engineName(i)
		placed = append(placed, r)
	}
	return placed
}

func (c *singleEngine) started(_ time.Time, r *request) { c.queuedTokens[c.engineOf[r.id]] -= r.tokens }
func (c *singleEngine) ended(_ time.Time, r *request)   { c.running[c.engineOf[r.id]]-- }

// newBestOfTwo returns a policy that draws two engines at random and takes the one with fewer requests.
func newBestOfTwo() *singleEngine {
	random := rand.New(rand.NewPCG(7, 7))
	return &singleEngine{engineOf: make(map[string]int), choose: func(running, _ []int) int {
		a, b := random.IntN(len(running)), random.IntN(len(running))
		if running[b] < running[a] {
			a = b
		}
		if running[a] >= slots {
			return slices.IndexFunc(running, func(n int) bool { return n < slots })
		}
		return a
	}}
}

// newLeastQueuedTokens returns a policy that takes the engine with the fewest prompt tokens to prefill.
func newLeastQueuedTokens() *singleEngine {
	return &singleEngine{engineOf: make(map[string]int), choose: func(running, queuedTokens []int) int {
		best := -1
		for i := range running {
			if running[i] < slots && (best < 0 || queuedTokens[i] < queuedTokens[best] ||
				queuedTokens[i] == queuedTokens[best] && running[i] < running[best]) {
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
	{"load shifting from long to short prompts and back", []phase{
		{9 * time.Second, [3]float64{0.4, 1.3, 2}},
		{9 * time.Second, [3]float64{2.4, 0.5, 0.05}},
		{9 * time.Second, [3]float64{0.4, 1.3, 2}},
	}},
	{"burst of long prompts", []phase{
		{6 * time.Second, [3]float64{1, 1, 0.2}},
		{3 * time.Second, [3]float64{1, 1, 3}},
		{6 * time.Second, [3]float64{1, 1, 0.2}},
	}},
	{"long prompts near the prefill capacity", []phase{
		{3 * time.Second, [3]float64{1, 1, 0.5}},
		{10 * time.Second, [3]float64{0.6, 1, 3.5}},
		{4 * time.Second, [3]float64{1, 1, 0.5}},
	}},
	{"more short prompts than slots", []phase{
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

// Under each load pattern the planner must achieve more value than policies that choose one engine for each request,
// averaged over three seeds.
func TestPlannerBeatsSingleEnginePolicies(t *testing.T) {
	for _, pattern := range patterns {
		t.Run(pattern.name, func(t *testing.T) {
			var sums [3]float64
			for seed := range uint64(3) {
				for i, p := range []policy{newPlannerPolicy(), newBestOfTwo(), newLeastQueuedTokens()} {
					all := arrivals(seed+1, pattern.phases)
					simulate(p, all)
					total, quick := valueShares(all)
					sums[i] += total / 3
					t.Logf("seed %d, policy %d: value within targets %.3f, quick requests %.3f",
						seed+1, i, total, quick)
				}
			}
			if sums[0] <= sums[1] || sums[0] <= sums[2] {
				t.Errorf("value within targets: planner %.3f, best of two %.3f, least queued tokens %.3f",
					sums[0], sums[1], sums[2])
			}
		})
	}
}

// The users' target without failures, three quarters of the value within targets, must also be met while the load
// shifts between long and short prompts.
func TestAlternatingLongAndShortLoadMeetsTarget(t *testing.T) {
	const target = 0.75
	for seed := range uint64(4) {
		all := arrivals(seed+10, patterns[1].phases)
		simulate(newPlannerPolicy(), all)
		if total, quick := valueShares(all); total < target || quick < target {
			t.Errorf("seed %d: value within targets %.3f, quick requests %.3f, want at least %.2f",
				seed+10, total, quick, target)
		}
	}
}

// The users' target, three quarters of the value within targets, must be met for the long prompts of a burst that takes
// most of the engines' prefill capacity. A prompt that would miss its target must wait for enough engines to prefill it
// in time, and prompts that miss their targets anyway must not take those engines.
func TestLongPromptBurstNearPrefillCapacity(t *testing.T) {
	const target = 0.75
	var offered, earned float64
	for seed := range uint64(4) {
		all := arrivals(seed+1, patterns[3].phases)
		simulate(newPlannerPolicy(), all)
		for _, r := range all {
			if r.class.name != "dossier" {
				continue
			}
			size := 0.3 + 0.7*float64(r.tokens)/r.class.tokens
			offered += size
			if r.meetsTargets() {
				earned += size
			}
		}
	}
	if share := earned / offered; share < target {
		t.Errorf("value of long prompts within targets %.3f, want at least %.2f", share, target)
	}
}

// Guards against long prompts whose prefill keeps short prompts that have already missed their targets from being
// completed by their deadlines: at most one in a hundred of the short prompts that weren't refused may be incomplete
// then.
func TestShortPromptsPastTargetFinishBesideLongPrefill(t *testing.T) {
	const mostUnfinished = 0.01
	var accepted, unfinished int
	for seed := range uint64(4) {
		all := arrivals(seed+1, patterns[3].phases)
		simulate(newPlannerPolicy(), all)
		for _, r := range all {
			if r.class.name != "quick" || r.refused {
				continue
			}
			accepted++
			if !r.done || r.lastEvent.Sub(r.arrived) > r.class.deadline {
				unfinished++
			}
		}
	}
	if float64(unfinished) > mostUnfinished*float64(accepted) {
		t.Errorf("%d of %d short prompts not completed by their deadlines", unfinished, accepted)
	}
}
