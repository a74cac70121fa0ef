package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/pass"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	// How long after its deadline a request that nobody ended is forgotten.
	expiryGrace = 2 * time.Second
	// How long a server that said it was full gets nothing.
	fullTime = 100 * time.Millisecond
	// A request that crashed so many servers is sent to no other.
	maxCrashes = 3
	// How long crashes are counted.
	crashMemory = 60 * time.Second
	// How often heavy prompts that wait are tried again.
	heavyInterval = 20 * time.Millisecond
	// The shortest time that a refused caller is told to stay away.
	minRetryAfter = 300 * time.Millisecond
)

type crashes struct {
	count int
	last  time.Time
}

// Planner places requests on the replicas of all services. Its methods must be called one at a time, with times of one
// clock.
type Planner struct {
	engines  map[string]*catalog.Engine
	services map[string]map[string]*server // by service and replica
	jobs     map[jobKey]*job
	waiting  []waiter
	crashes  map[uint64]crashes
	shorts   shortRateMeter
	answers  []Answer
	swept    time.Time
	tried    time.Time // when heavy prompts that wait were last tried
}

// waiter is an ask without a place yet.
type waiter struct {
	ask     Ask
	arrived time.Time
	heavy   bool
	tried   bool
}

// New makes a planner without services.
func New() *Planner {
	return &Planner{
		engines:  make(map[string]*catalog.Engine),
		services: make(map[string]map[string]*server),
		jobs:     make(map[jobKey]*job),
		crashes:  make(map[uint64]crashes),
	}
}

// SetEngines takes the engine figures of each service that has engines.
func (p *Planner) SetEngines(engines map[string]*catalog.Engine) {
	p.engines = engines
	for service, servers := range p.services {
		for _, s := range servers {
			p.setModel(s, engines[service])
		}
	}
}

func (p *Planner) setModel(s *server, engine *catalog.Engine) {
	switch {
	case engine == nil:
		s.model = nil
	case s.model == nil:
		s.model = pass.NewModel(engine)
	default:
		s.model.Engine = engine
	}
}

// SetReplicas takes the replicas in force.
func (p *Planner) SetReplicas(_ time.Time, replicas []replica.Replica) {
	kept := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		kept[r.ID] = true
		servers := p.services[r.Service]
		if servers == nil {
			servers = make(map[string]*server)
			p.services[r.Service] = servers
		}
		s := servers[r.ID]
		if s == nil || s.replica.Born != r.Born {
			s = &server{}
			p.setModel(s, p.engines[r.Service])
			servers[r.ID] = s
		}
		s.replica = r
	}
	for _, servers := range p.services {
		for id := range servers {
			if !kept[id] {
				delete(servers, id)
			}
		}
	}
}

// Ask takes a request that needs a backend server; Settle answers it.
func (p *Planner) Ask(now time.Time, a Ask) {
	heavy := p.isHeavy(&a)
	p.waiting = append(p.waiting, waiter{ask: a, arrived: now, heavy: heavy})
	if !heavy && a.PromptTokens > 0 {
		p.shorts.note(now, a.PromptTokens)
	}
}

// isHeavy tells whether the ask's prompt takes long to read.
func (p *Planner) isHeavy(a *Ask) bool {
	engine := p.engines[a.Service]
	return engine != nil && pass.ReadTime(engine, a.PromptTokens, 1) > heavyReading
}

// Waiting returns how many asks have no answer yet.
func (p *Planner) Waiting() int { return len(p.waiting) }

// Settle returns the answers that can be given now. It must be called after each other method, and at short
// intervals while asks wait.
func (p *Planner) Settle(now time.Time) []Answer {
	p.sweep(now)
	if len(p.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(p.waiting, func(x, y waiter) int {
		if c := cmp.Compare(x.ask.Rank, y.ask.Rank); c != 0 {
			return c
		}
		xAim, yAim := x.arrived.Add(x.ask.FirstAim), y.arrived.Add(y.ask.FirstAim)
		xLate, yLate := xAim.Before(now), yAim.Before(now)
		switch {
		case xLate == yLate:
			return xAim.Compare(yAim)
		case xLate:
			return 1 // what can still be in time goes first
		default:
			return -1
		}
	})
	p.answers = nil
	waiting := p.waiting
	p.waiting = nil
	ahead := make(map[string]int)
	due := now.Sub(p.tried) >= heavyInterval
	if due {
		p.tried = now
	}
	for _, w := range waiting {
		if w.heavy && w.tried && !due {
			p.waiting = append(p.waiting, w)
			continue
		}
		w.tried = true
		if !p.settleOne(now, w, ahead[w.ask.Service]) {
			ahead[w.ask.Service]++
			p.waiting = append(p.waiting, w)
		}
	}
	return p.answers
}

// settleOne answers one ask if it can; ahead asks of the same service wait before it.
func (p *Planner) settleOne(now time.Time, w waiter, ahead int) bool {
	a := w.ask
	passed := now.Sub(w.arrived)
	a.Elapse(passed)
	switch {
	case a.Deadline <= 0:
		return p.refuse(&a, CauseOutOfTime, minRetryAfter)
	case a.Print != 0 && p.crashes[a.Print].count >= maxCrashes:
		return p.refuse(&a, CauseCrashes, crashMemory)
	}
	servers := p.candidates(now, &a)
	if len(servers) == 0 {
		return p.refuse(&a, CauseNoReplica, time.Second)
	}
	if p.tooLarge(&a, servers) {
		return p.refuse(&a, CauseTooLarge, crashMemory)
	}
	c, reserves, ok := p.place(now, &a, servers)
	if !ok {
		return p.hold(now, &a, servers, ahead)
	}
	p.answers = append(p.answers, Answer{ID: a.ID, Host: a.Host, Plan: p.put(now, &a, c, reserves)})
	return true
}

// tooLarge tells whether all servers together lack the memory for the ask.
func (p *Planner) tooLarge(a *Ask, servers []*server) bool {
	if servers[0].model == nil {
		return false
	}
	most := 0
	for _, s := range servers[:min(len(servers), maxReaders)] {
		most += s.model.Engine.MemoryTokens
	}
	return a.PromptTokens+a.OutputTokens > most
}

// hold keeps an ask waiting, or refuses it if no place is free in time.
func (p *Planner) hold(now time.Time, a *Ask, servers []*server, ahead int) bool {
	wait := p.freeAfter(now, servers, ahead)
	if need := wait + shortestRun; need > a.limit() {
		return p.refuse(a, CauseBusy, max(wait, minRetryAfter))
	}
	return false
}

// shortestRun is the time that a request needs at least once it has a place.
const shortestRun = 100 * time.Millisecond

// freeAfter estimates when the servers will have taken ahead asks and one more.
func (p *Planner) freeAfter(now time.Time, servers []*server, ahead int) time.Duration {
	var ends []time.Duration
	for _, s := range servers {
		for _, j := range s.jobs {
			ends = append(ends, max(0, p.endOf(j).Sub(now)))
		}
	}
	slices.Sort(ends)
	if len(ends) == 0 {
		return 0
	}
	return ends[min(ahead, len(ends)-1)]
}

// endOf predicts when a job ends.
func (p *Planner) endOf(j *job) time.Time {
	if j.server.model == nil {
		return j.first.Add(plainTime)
	}
	events := j.ask.LikelyTokens/j.server.model.Engine.EventTokens + 1
	return j.first.Add(time.Duration(events) * j.server.model.Steps(0, 0))
}

// plainTime is what a request at a plain service usually takes.
const plainTime = 60 * time.Millisecond

func (p *Planner) refuse(a *Ask, cause Cause, after time.Duration) bool {
	p.answers = append(p.answers, Answer{ID: a.ID, Host: a.Host, Refusal: &Refusal{Cause: cause, RetryAfter: after}})
	return true
}
