package planner

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/appointment"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/pass"
	"github.com/turmericshunt/turmericshunt/internal/promptsize"
	"github.com/turmericshunt/turmericshunt/internal/quarantine"
	"github.com/turmericshunt/turmericshunt/internal/ratelimit"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/share"
)

const (
	// Time after its deadline at which a request whose end no host reported is removed.
	expiryGrace = 2 * time.Second
	// Time after OutcomeRefused for which a server is no primary replica. It may still be a helper replica.
	refusalBackoff = 100 * time.Millisecond
	// Retry-After time of a request that is refused because it is too large.
	tooLargeRetryAfter = 60 * time.Second
	// Interval at which waiting requests are tried again if no slot has become free.
	tryInterval = 20 * time.Millisecond
	// The maximum number of long prompts that are tried again in each tryInterval.
	longTriesPerInterval = 8
	// Shortest time after which a refused caller is asked to retry.
	minRetryAfter = 300 * time.Millisecond
)

// Planner places requests on the replicas of all services. It isn't safe for concurrent use; all times passed to its
// methods must come from the same clock.
type Planner struct {
	engines       map[string]*catalog.EngineParams
	services      map[string]map[string]*server // by service and replica ID
	order         uint64                        // see New
	sortedServers map[string][]*server          // the servers of each service, in the planner's order
	jobs          map[jobKey]*job
	waiting       []waitingRequest
	quarantine    *quarantine.Table                // contents that crash replicas
	limits        *ratelimit.Table                 // limits that replicas have named
	returns       map[string]time.Time             // by service: until when callers refused for limits were asked to return
	busyReturns   map[returnKey]*appointment.Order // of callers refused for lack of slots or engines
	shares        map[string]*share.Table          // prefill time that workspaces use, by service
	sizes         map[string]*promptsize.Table     // how often long prompts get engines, by service
	sizesUnequal  bool                             // tests compare with a policy that lets large prompts starve
	asBefore      bool                             // tests compare with the policy without deadlines of decoding, orders of return and shares
	partialView   bool                             // see SetPartialView
	mayProbe      bool                             // see SetProbing
	shortRates    map[string]*shortRateMeter       // of short prompts, by service
	// By host: the addresses of the servers that it can't connect to directly.
	lostServers map[string]map[netip.AddrPort]bool
	evacuated   map[string]bool   // failure domains whose servers get no placements
	regions     map[string]string // see SetRegions
	followers   []string          // hosts that this planner plans for
	results     []Result          // results of the current call of Decide
	exclusions  []Exclusion       // since the last call of TakeExclusions
	lastSweep   time.Time         // time at which expired entries were last removed
	lastTry     time.Time         // time at which waiting requests were last tried again
	slotFreed   bool              // a slot has become free since lastTry
	// Value of a request per GB that crosses between failure domains; 0 if the planner doesn't distinguish them.
	crossingPrice float64
	domainStates  map[string]map[string]*domainState // by service and failure domain
	delays        recentDelays
	lookups       int                      // calls of observeDomains
	slowServers   bool                     // learnSlowdown has been used
	lastCrossings map[domainPair]time.Time // when a request was last placed from one failure domain in another
}

// waitingRequest is a placement request without a result.
type waitingRequest struct {
	request Request
	arrived time.Time
	long    bool // its prompt is long
	tried   bool // the planner has tried to place it at least once
	lastTry time.Time
	excess  bool // its workspace has used more than all others together
	behind  bool // prompts of its size get engines much less often than all of its kind
	// Until when it holds engines, from the first time that it was found behind; zero if it never was.
	holdsUntil time.Time
	// Prefill time on one engine of the long prompts of the service that are ahead of the request.
	longAhead time.Duration
}

// New returns a planner without services. The order decides which of several equally good servers is chosen. Planners
// that know nothing of one another's placements must have different orders, or all of them choose the same servers.
func New(order uint64) *Planner {
	return &Planner{
		order:         order,
		engines:       make(map[string]*catalog.EngineParams),
		services:      make(map[string]map[string]*server),
		sortedServers: make(map[string][]*server),
		jobs:          make(map[jobKey]*job),
		quarantine:    quarantine.New(),
		limits:        &ratelimit.Table{Cold: ratelimit.ColdTable{Seed: order}},
		returns:       make(map[string]time.Time),
		busyReturns:   make(map[returnKey]*appointment.Order),
		shares:        make(map[string]*share.Table),
		sizes:         make(map[string]*promptsize.Table),
		shortRates:    make(map[string]*shortRateMeter),
		lostServers:   make(map[string]map[netip.AddrPort]bool),
		domainStates:  make(map[string]map[string]*domainState),
		lastCrossings: make(map[domainPair]time.Time),
	}
}

// SetEngines sets the engine parameters of each service that has them.
func (p *Planner) SetEngines(engines map[string]*catalog.EngineParams) {
	p.engines = engines
	for service, servers := range p.services {
		for _, s := range servers {
			p.setModel(s, engines[service])
		}
	}
	for i := range p.waiting {
		p.waiting[i].long = p.isLong(&p.waiting[i].request)
	}
}

// setModel gives s a pass model of the engine, or none if engine is nil. It keeps the state of a model that s already
// has.
func (p *Planner) setModel(s *server, engine *catalog.EngineParams) {
	switch {
	case engine == nil:
		s.model = nil
	case s.model == nil:
		s.model = pass.NewModel(engine)
	default:
		s.model.Engine = engine
	}
}

// SetReplicas sets the active replicas. It keeps the state of replicas that it already knows with the same Born, and
// forgets replicas that are not in the list. It returns the number of new replicas that are assumed to be cold.
func (p *Planner) SetReplicas(now time.Time, replicas []replica.Replica) int {
	p.limits.Retain(now, replicas)
	assumedCold := p.limits.Cold.Retain(now, replicas)
	kept := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		kept[r.ID] = true
	}
	p.recordRestarts(now, replicas, kept)
	for _, r := range replicas {
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
		p.updateEvacuated(s)
		s.domain = p.domainStateOf(now, r.Service, r.FailureDomain)
	}
	for service, servers := range p.services {
		for id := range servers {
			if !kept[id] {
				delete(servers, id)
			}
		}
		for _, s := range servers {
			s.rank = p.rankOf(s.replica.ID)
		}
		p.sortedServers[service] = slices.SortedFunc(maps.Values(servers), compareServers)
	}
	return assumedCold
}

// recordRestarts records which of the listed replicas are later incarnations of known ones: those with the same ID or, in place of
// one of their service that isn't listed any more, with the same address. If another service uses the address again, the earlier
// replica has ended, and nothing that broke off there concerns the later one.
func (p *Planner) recordRestarts(now time.Time, replicas []replica.Replica, listed map[string]bool) {
	unlisted := make(map[netip.AddrPort]*server)
	for _, servers := range p.services {
		for id, s := range servers {
			if !listed[id] {
				unlisted[s.replica.Address] = s
			}
		}
	}
	for i := range replicas {
		r := &replicas[i]
		earlier := p.services[r.Service][r.ID]
		if earlier == nil {
			earlier = unlisted[r.Address]
		}
		switch {
		case earlier == nil || earlier.replica.Born >= r.Born:
		case earlier.replica.Service != r.Service:
			p.quarantine.Down(now, incarnation(&earlier.replica))
		default:
			p.quarantine.Restarted(now, incarnation(&earlier.replica), incarnation(r))
		}
	}
}

// rankOf returns the rank of a server in the planner's order.
func (p *Planner) rankOf(id string) uint64 {
	var order [8]byte
	binary.BigEndian.PutUint64(order[:], p.order)
	return xxhash.Sum64(append(order[:], id...))
}

// compareServers compares two servers by the planner's order.
func compareServers(x, y *server) int {
	return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.replica.ID, y.replica.ID))
}

// Submit adds a request that needs a backend server; a later call of Decide returns its result.
func (p *Planner) Submit(now time.Time, req Request) {
	long := p.isLong(&req)
	p.waiting = append(p.waiting, waitingRequest{request: req, arrived: now, long: long})
	if !long && req.PromptTokens > 0 {
		p.shortRateOf(req.Service).record(now, req.PromptTokens)
	}
}

// shortRateOf returns the meter of a service's short prompts.
func (p *Planner) shortRateOf(service string) *shortRateMeter {
	m := p.shortRates[service]
	if m == nil {
		m = &shortRateMeter{}
		p.shortRates[service] = m
	}
	return m
}

// isLong reports whether the prompt of the request is long.
func (p *Planner) isLong(req *Request) bool {
	return p.prefillWork(req) > longPrefill
}

// Waiting returns the number of placement requests without a result.
func (p *Planner) Waiting() int { return len(p.waiting) }
