package drive

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/admission"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/grant"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
)

// Parameters of each model engine, a replica that runs on four accelerators.
const (
	prefillPerSecond = 40_000.0               // prompt tokens
	stepTime         = 8 * time.Millisecond   // of each batch step
	sequenceTime     = 100 * time.Microsecond // added to a step for each decoding request
	contextTime      = 20 * time.Microsecond  // added to a step for each 1,000 tokens of context of the decoding requests
	chunkTokens      = 512                    // prefill tokens of one step
	blockTokens      = 1024                   // prompt tokens of one block of the prefix cache
	maxBlocks        = 256                    // maximum number of prefix blocks of one prompt
	kvBytesPerToken  = 128 << 10
	memoryTokens     = 400_000 // KV cache size
	model            = "m"     // name of the model that all engines have loaded
)

// Network delays and intervals of reports.
const (
	intraDomainDelay = 500 * time.Microsecond // one message within a failure domain
	interDomainDelay = time.Millisecond       // one message between failure domains
	reportInterval   = time.Second            // between load reports of an engine to its scheduler
	rowInterval      = time.Second            // between two rows about the same backend server
	maxRowDelay      = time.Second            // maximum additional delay until a row has reached a host
)

// decodeTimeAtCapacity is the time that the decoding requests add to a step when the engine is fully loaded.
const decodeTimeAtCapacity = 4800 * time.Microsecond

// start is the virtual time at which each run starts.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type (
	// Config describes one run.
	Config struct {
		Seed       uint64
		Load       float64 // arrival rate as a ratio of Capacity; it is scaled down if Mix lacks a class
		Mix        Mix
		Policy     routing.Policy
		Objective  document.Objective
		Prioritize bool          // without schedulers, jobs of shorter length classes have a higher priority on the engines
		Duration   time.Duration // requests arrive during this time
		Warmup     time.Duration // requests that arrive before this time are not measured

		CacheLag  time.Duration // additional delay of the engines' cache events
		CacheLoss float64       // share of the cache events that are lost
		KillAt    time.Duration // time after the start at which engines fail; unused if Kill is 0
		Kill      float64       // share of the engines that fail; 0 means none
		// Tune, if set, is called before the run with each scheduler and with each router; the other argument is nil.
		Tune func(*grant.Scheduler, *routing.Router)
	}

	// engine is a simulated model engine, which is a backend server, with its scheduler.
	engine struct {
		name           string
		domain         int // index of the failure domain
		simulator      *batch.Engine
		wakeAt         time.Time // when the next call of advanceEngine is scheduled; zero if none is
		failed         bool
		scheduler      *grant.Scheduler
		tickAt         time.Time // when the scheduler's next Tick is scheduled; zero if none is
		lastCacheEvent uint64    // sequence number
	}

	// host is a simulated entry host.
	host struct {
		name      string
		domain    int         // index of the failure domain
		view      *fleet.View // replaced, never changed in place
		admission admission.Controller
		router    *routing.Router
	}

	// run is the state of one run. Its methods run as events of the event loop, in virtual time.
	run struct {
		eventLoop
		Config
		random          *rand.Rand
		lengthQuantiles [Lengths]quantileSequence // source of the prompt lengths of each class
		engines         []*engine
		engineByName    map[string]*engine
		hosts           []*host
		attemptByID     map[protocol.AttemptID]*attempt // attempts for which a grant was requested
		attemptByJob    map[string]*attempt             // attempts whose jobs are on an engine, by job ID
		result          *Result
	}
)

// Capacity returns the number of requests per second of the mix that keeps all engines fully loaded.
func Capacity(m Mix) float64 {
	full := stepTime + decodeTimeAtCapacity + time.Duration(chunkTokens/prefillPerSecond*float64(time.Second))
	return float64(engineCount) * chunkTokens / full.Seconds() / m.meanPromptTokens()
}

// Size of the simulated fleet.
const (
	domainCount = 3
	engineCount = 16
	hostCount   = 20
)

// hostsPerDomain holds the number of entry hosts of each failure domain. The engines are assigned to the failure
// domains round robin.
var hostsPerDomain = [domainCount]int{8, 6, 6}

// Run simulates one run and returns its measurements. The random numbers of the run are derived from c.Seed.
func Run(c Config) *Result {
	r := &run{
		Config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), result: newResult(),
		attemptByID: make(map[protocol.AttemptID]*attempt), attemptByJob: make(map[string]*attempt),
		engineByName: make(map[string]*engine),
	}
	r.now = start
	for i := range r.lengthQuantiles {
		r.lengthQuantiles[i] = quantileSequence(r.random.Float64())
	}
	r.addEngines()
	r.addHosts()
	for i, e := range r.engines {
		e.scheduler.SetLoad(r.now, r.loadReport(e))
		offset := reportInterval * time.Duration(i) / engineCount
		r.after(offset, func() { r.sendLoadReport(e) })
		r.after(offset+rowInterval/2, func() { r.publishRow(e) })
	}
	r.publishInitialRows()
	r.scheduleArrival(0)
	if c.Kill > 0 {
		r.after(c.KillAt, r.killEngines)
	}
	r.runUntil(start.Add(c.Duration + drainTime))
	return r.result
}

// drainTime is how long the simulation goes on after Config.Duration, so that the last requests can end.
const drainTime = 300 * time.Second

// addEngines creates the engines with their schedulers.
func (r *run) addEngines() {
	for i := range engineCount {
		name := fmt.Sprintf("g%02d", i)
		server := protocol.Server{Name: name, FailureDomain: domainName(i % domainCount)}
		e := &engine{
			name: name, domain: i % domainCount,
			scheduler: &grant.Scheduler{Server: server, Objective: r.Objective},
			simulator: newEngineSimulator(),
		}
		if r.Tune != nil {
			r.Tune(e.scheduler, nil)
		}
		r.engines = append(r.engines, e)
		r.engineByName[name] = e
	}
}

// addHosts creates the entry hosts of all failure domains with empty views.
func (r *run) addHosts() {
	for domain, n := range hostsPerDomain {
		for range n {
			h := &host{name: fmt.Sprintf("e%02d", len(r.hosts)), domain: domain}
			h.router = &routing.Router{Policy: r.Policy, Objective: r.Objective, Seed: uint64(len(r.hosts))}
			if r.Tune != nil {
				r.Tune(nil, h.router)
			}
			h.view = &fleet.View{FailureDomain: domainName(domain)}
			r.hosts = append(r.hosts, h)
		}
	}
}

func domainName(i int) string { return string(rune('a' + i)) }

// scheduleArrival schedules the arrival of request id at a random host, which in turn schedules the next arrival, until
// Config.Duration has passed. The times between arrivals are distributed exponentially.
func (r *run) scheduleArrival(id int) {
	rate := Capacity(DefaultMix()) * r.Load * r.Mix.shareSum()
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now.Sub(start) > r.Duration {
			return
		}
		req := r.Mix.draw(r.random, &r.lengthQuantiles, id)
		r.startRequest(req, r.hosts[r.random.IntN(len(r.hosts))])
		r.scheduleArrival(id + 1)
	})
}

// killEngines makes the share Config.Kill of the engines fail. The entry hosts of the jobs that ran there learn of it
// after intraDomainDelay, the schedulers after failureDetectionDelay.
func (r *run) killEngines() {
	n := int(float64(len(r.engines)) * r.Kill)
	for _, e := range r.engines[:n] {
		e.failed = true
		for id, a := range r.attemptByJob {
			if a.runsOn(e) {
				delete(r.attemptByJob, id)
				r.after(intraDomainDelay, func() { r.retryAfterLoss(a) })
			}
		}
		r.after(failureDetectionDelay, func() {
			r.deliverDecisions(e, e.scheduler.SetUnhealthy(r.now, true))
			r.publishRow(e)
		})
	}
}

// failureDetectionDelay is the time from the failure of an engine until its scheduler treats it as unhealthy.
const failureDetectionDelay = time.Second
