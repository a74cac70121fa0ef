package planner

import (
	"cmp"
	"maps"
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
	// How often asks that wait are tried again when no place has become free.
	retryInterval = 20 * time.Millisecond
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
	ordered  map[string][]*server          // the same, in the order of their ids
	jobs     map[jobKey]*job
	waiting  []waiter
	crashes  map[uint64]crashes
	shorts   map[string]*shortRateMeter // by service
	answers  []Answer
	swept    time.Time
	tried    time.Time // when asks that wait were last tried
	freed    bool      // a place has become free since then
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
		ordered:  make(map[string][]*server),
		jobs:     make(map[jobKey]*job),
		crashes:  make(map[uint64]crashes),
		shorts:   make(map[string]*shortRateMeter),
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
	for service, servers := range p.services {
		for id := range servers {
			if !kept[id] {
				delete(servers, id)
			}
		}
		p.ordered[service] = slices.SortedFunc(maps.Values(servers), func(x, y *server) int {
			return cmp.Compare(x.replica.ID, y.replica.ID)
		})
	}
}

// Ask takes a request that needs a backend server; Settle answers it.
func (p *Planner) Ask(now time.Time, a Ask) {
	heavy := p.isHeavy(&a)
	p.waiting = append(p.waiting, waiter{ask: a, arrived: now, heavy: heavy})
	if !heavy && a.PromptTokens > 0 {
		p.shortsOf(a.Service).note(now, a.PromptTokens)
	}
}

// shortsOf returns the meter of a service's short prompts.
func (p *Planner) shortsOf(service string) *shortRateMeter {
	m := p.shorts[service]
	if m == nil {
		m = &shortRateMeter{}
		p.shorts[service] = m
	}
	return m
}

// isHeavy tells whether the ask's prompt takes long to read.
func (p *Planner) isHeavy(a *Ask) bool {
	engine := p.engines[a.Service]
	return engine != nil && pass.ReadTime(engine, a.PromptTokens, 1) > heavyReading
}

// Waiting returns how many asks have no answer yet.
func (p *Planner) Waiting() int { return len(p.waiting) }
