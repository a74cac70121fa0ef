package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/pass"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

// The simulation of the logbook customer (docs/hard-load.md): its engines, its three kinds of prompts and its callers, who
// return when a refusal tells them to. Memory limits the planner's placements only; the simulated engines don't check it.
const (
	logbookEngines    = 54
	logbookSlots      = 12
	logbookWorkspaces = 24
	// Time from an event at an engine until the planner knows of it, and of the way of a request or a refusal.
	logbookDelay = 5 * time.Millisecond
	// A caller waits for a refusal's Retry-After up to this part of the time that it has left.
	honoredPart = 3
)

// customer is the deployment of a customer.
type customer struct {
	engine     *catalog.EngineParams
	engines    int
	domains    int // failure domains, each with every domains-th engine
	workspaces int
	classes    []promptClass
	maxTokens  int // of a prompt
	// Times that a caller returns after a refusal; 0 for as often as its deadline allows.
	retries int
}

// logbook returns the logbook customer.
func logbook() *customer {
	return &customer{
		engine: logbookEngine(), engines: logbookEngines, domains: 3, workspaces: logbookWorkspaces,
		classes: logbookClasses, maxTokens: 800000,
	}
}

// logbookEngine returns the parameters of the customer's engines. The page gives no attention time, so it is that of the
// sample engine; the archives of the heavy phase then ask for 47 of 54 engine-seconds a second.
func logbookEngine() *catalog.EngineParams {
	e := passes.SampleEngine()
	e.Slots, e.MemoryTokens, e.Step, e.PrefillRate = logbookSlots, 344250, 1310*time.Microsecond, 154000
	e.EventTokens, e.PassSteps = 38, 38
	return e
}

// promptClass is a kind of prompts of a customer.
type promptClass struct {
	name                               string
	perSecond, tokens, spread, events  float64
	firstTarget, pauseTarget, deadline time.Duration
	value, lateValue                   float64
}

var logbookClasses = []promptClass{
	{"note", 75.3, 4960, 0.9, 33, 300 * time.Millisecond, 250 * time.Millisecond, 10 * time.Second, 1.3, 0.34},
	{"recap", 5.28, 45000, 0.5, 20, 1500 * time.Millisecond, 600 * time.Millisecond, 10 * time.Second, 3.3, 0.82},
	{"archive", 1.71, 260000, 0.55, 16, 4 * time.Second, time.Second, 15 * time.Second, 34, 8.6},
}

// timeout returns the pause after which callers disconnect.
func (c *promptClass) timeout() time.Duration {
	return max(2*time.Second, 4*c.firstTarget, 8*c.pauseTarget)
}

// loadPhase is a time in which the classes come at a multiple of their rates.
type loadPhase struct {
	length  time.Duration
	factors [3]float64
}

var logbookHeavyDay = []loadPhase{
	{3 * time.Second, [3]float64{1, 1, 1}},
	{10 * time.Second, [3]float64{1, 1, 2.7}},
	{10 * time.Second, [3]float64{2.5, 1, 1}},
	{2 * time.Second, [3]float64{1, 1, 1}},
}

// prompt is one request of a caller, with all its tries.
type prompt struct {
	id        string
	class     *promptClass
	workspace int
	tokens    int
	events    int
	// Tokens in an event.
	eventTokens int
	arrived     time.Time // of its first try
	submitted   time.Time // of its present try
	tries       int
	refusals    int
	breaks      int      // tries that ended with an engine
	engines     []string // that run its present try
	excluded    []string // engines that failed it
	left        bool     // its caller has given up
	placed      bool
	first       time.Duration // from arrival to the first event
	last        time.Time     // of its last event
	pause       time.Duration // its longest
	done        bool
}

// value returns what the prompt's caller got and what it would have got in time.
func (r *prompt) value() (got, offered float64) {
	size := 0.3 + 0.7*float64(r.tokens)/r.class.tokens
	switch {
	case !r.done:
		return 0, r.class.value * size
	case r.inTime():
		return r.class.value * size, r.class.value * size
	default:
		return r.class.lateValue * size, r.class.value * size
	}
}

func (r *prompt) inTime() bool {
	return r.done && r.first <= r.class.firstTarget && r.pause <= r.class.pauseTarget
}

// logbookArrivals returns the prompts of the logbook customer.
func logbookArrivals(seed uint64, phases []loadPhase) []*prompt {
	return logbook().arrivals(seed, phases)
}

// arrivals returns the prompts of the phases by time of arrival. Workspace i has a weight of 1 over i+1.
func (u *customer) arrivals(seed uint64, phases []loadPhase) []*prompt {
	random := rand.New(rand.NewPCG(seed, 41))
	weights := 0.0
	for i := range u.workspaces {
		weights += 1 / float64(i+1)
	}
	var all []*prompt
	begin := start
	for _, p := range phases {
		for i := range u.classes {
			c := &u.classes[i]
			rate := c.perSecond * p.factors[i]
			for at := random.ExpFloat64() / rate; at < p.length.Seconds(); at += random.ExpFloat64() / rate {
				size := func(mean, spread, most float64) int {
					return int(min(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2), most))
				}
				r := &prompt{
					id: fmt.Sprint(c.name, len(all)), class: c, arrived: begin.Add(time.Duration(at * float64(time.Second))),
					tokens: max(size(c.tokens, c.spread, min(8*c.tokens, float64(u.maxTokens))), 100),
					events: max(size(c.events, 0.6, 2.5*c.events), 1), eventTokens: u.engine.EventTokens,
				}
				for draw := random.Float64() * weights; draw > 1/float64(r.workspace+1); r.workspace++ {
					draw -= 1 / float64(r.workspace+1)
				}
				all = append(all, r)
			}
		}
		begin = begin.Add(p.length)
	}
	slices.SortFunc(all, func(x, y *prompt) int { return x.arrived.Compare(y.arrived) })
	return all
}

// contender decides where prompts run.
type contender interface {
	submit(now time.Time, r *prompt)
	decide(now time.Time) []Result
	started(now time.Time, r *prompt)
	ended(now time.Time, r *prompt, outcome Outcome)
}

// contest is a run of prompts under a policy.
type contest struct {
	site    *customer // nil for the logbook customer
	policy  contender
	fleet   *passes.Fleet
	prompts map[string]*prompt
	active  []*prompt // submitted or waiting to return, and neither done nor given up
	wasted  time.Duration
	outages []outage // of engines
	lost    map[string]bool
	later   []laterEvent
}

// run plays all prompts to their ends.
func (s *contest) run(all []*prompt) {
	const tick = 5 * time.Millisecond
	if s.site == nil {
		s.site = logbook()
	}
	s.fleet = &passes.Fleet{Params: s.site.engine}
	s.prompts = make(map[string]*prompt)
	for now, end := start, all[len(all)-1].arrived.Add(16*time.Second); now.Before(end); now = now.Add(tick) {
		for len(all) > 0 && !all[0].arrived.After(now) {
			r := all[0]
			all = all[1:]
			s.prompts[r.id] = r
			r.submitted = r.arrived
			s.active = append(s.active, r)
		}
		s.advanceOutages(now)
		for _, r := range s.active {
			if !now.Before(r.submitted) && r.tries == r.refusals+r.breaks {
				r.tries++
				r.last = now
				s.policy.submit(now, r)
			}
		}
		for _, result := range s.policy.decide(now) {
			s.take(now, s.prompts[result.ID], result)
		}
		for _, e := range s.fleet.Advance(now) {
			s.event(now, e)
		}
		s.active = slices.DeleteFunc(s.active, func(r *prompt) bool { return r.done || s.leave(now, r) })
	}
}

// take carries out a result.
func (s *contest) take(now time.Time, r *prompt, result Result) {
	if result.Refusal != nil {
		r.refusals++
		if s.site.retries > 0 && r.refusals > s.site.retries {
			r.left = true
			return
		}
		left := r.arrived.Add(r.class.deadline).Sub(now)
		r.submitted = now.Add(min(result.Refusal.RetryAfter, left/honoredPart) + 2*logbookDelay)
		return
	}
	r.placed = true
	r.engines = []string{result.Plan.Replica.ID}
	for _, h := range result.Plan.Helpers {
		r.engines = append(r.engines, h.Replica)
	}
	if s.losesEngine(r) {
		s.fail(now, r)
		return
	}
	request := passes.Request{ID: r.id, Primary: result.Plan.Replica.ID, PromptTokens: r.tokens, EventCount: r.events}
	request.Helpers = r.engines[1:]
	s.fleet.Submit(now, request)
}

// event records an event of a prompt's response.
func (s *contest) event(now time.Time, e passes.Event) {
	r := s.prompts[e.ID]
	if r.left || !r.placed {
		s.fleet.Cancel(r.id) // its prefill couldn't be canceled
		return
	}
	if e.Number == 1 {
		r.first = e.At.Sub(r.arrived) + logbookDelay
		s.policy.started(now, r)
	} else {
		r.pause = max(r.pause, e.At.Sub(r.last))
	}
	r.last = e.At
	if e.Last {
		r.done = true
		s.policy.ended(now, r, OutcomeCompleted)
	}
}

// leave reports whether the prompt's caller gives up now, at its deadline or after a long silence.
func (s *contest) leave(now time.Time, r *prompt) bool {
	if r.left {
		return true
	}
	silent := r.tries > r.refusals+r.breaks && now.Sub(r.last) > r.class.timeout()
	if !silent && now.Before(r.arrived.Add(r.class.deadline)) {
		return false
	}
	r.left = true
	if r.placed {
		s.fleet.Cancel(r.id)
	}
	if r.tries > r.refusals+r.breaks {
		s.policy.ended(now, r, OutcomeCanceled)
	}
	if r.placed {
		s.wasted += pass.PrefillTime(s.site.engine, r.tokens, 1)
	}
	return true
}

// plannerContender is a Planner as a policy.
type plannerContender struct {
	planner *Planner
	unnamed bool // hosts don't say whose requests they send, as those of earlier versions
}

// newLogbookPlanner returns a planner of the customer's engines.
func newLogbookPlanner(order uint64) *Planner {
	return logbook().newPlanner(order)
}

// newPlanner returns a planner of the customer's engines.
func (u *customer) newPlanner(order uint64) *Planner {
	p := New(order)
	p.SetEngines(map[string]*catalog.EngineParams{"llm": u.engine})
	p.SetReplicas(start, u.replicas())
	return p
}

// replicas returns the replicas, one for each engine.
func (u *customer) replicas() []replica.Replica {
	var list []replica.Replica
	for i := range u.engines {
		list = append(list, replica.Replica{
			ID: engineID(i), Service: "llm", Slots: u.engine.Slots, FailureDomain: string(rune('a' + i%u.domains)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8080),
		})
	}
	return list
}

func engineID(i int) string { return fmt.Sprintf("i-%02d", i) }

// placementRequest describes the present try of the prompt as an entry host does.
func (r *prompt) placementRequest(now time.Time) Request {
	likely := r.events * r.eventTokens
	return Request{
		ID: r.id, Host: "h", Service: "llm", PromptTokens: r.tokens, OutputTokens: likely, LikelyTokens: likely,
		FirstTarget: r.class.firstTarget, PauseTarget: r.class.pauseTarget,
		Deadline:        r.arrived.Add(r.class.deadline).Sub(now),
		UntilDisconnect: r.class.timeout(), PauseTimeout: r.class.timeout(), Fingerprint: xxhash.Sum64String(r.id),
		Workspace: fmt.Sprint(r.workspace), Route: r.class.name, ExcludedReplicas: r.excluded,
	}
}

func (c *plannerContender) submit(now time.Time, r *prompt) {
	req := r.placementRequest(now)
	if c.unnamed {
		req.Workspace = ""
	}
	c.planner.Submit(now, req)
}
func (c *plannerContender) decide(now time.Time) []Result    { return c.planner.Decide(now) }
func (c *plannerContender) started(now time.Time, r *prompt) { c.planner.Started(now, "h", r.id) }
func (c *plannerContender) ended(now time.Time, r *prompt, outcome Outcome) {
	c.planner.Ended(now, "h", r.id, outcome)
}

// shareOf returns the share of the offered value that the callers of the given prompts got.
func shareOf(prompts []*prompt) float64 {
	var got, offered float64
	for _, r := range prompts {
		g, o := r.value()
		got, offered = got+g, offered+o
	}
	return got / offered
}
