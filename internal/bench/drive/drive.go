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

// The model engines: a replica on four accelerators.
const (
	prefillPerSecond = 40_000.0
	stepTime         = 8 * time.Millisecond
	sequenceTime     = 100 * time.Microsecond
	contextTime      = 20 * time.Microsecond // for each 1,000 tokens
	chunkTokens      = 512
	blockTokens      = 1024
	maxBlocks        = 256
	kvBytesPerToken  = 128 << 10
	memoryTokens     = 400_000
	model            = "m"
)

// Delays of the network and of reports.
const (
	insideDelay    = 500 * time.Microsecond
	betweenDelay   = time.Millisecond
	reportInterval = time.Second
	rowInterval    = time.Second
	rowLag         = time.Second // the most that spreading a row takes
)

// decodeTimeAtCapacity is what the decoding sequences add to a step at full load.
const decodeTimeAtCapacity = 4800 * time.Microsecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type (
	// Config is one run.
	Config struct {
		Seed       uint64
		Load       float64 // arrivals over the capacity of the fleet
		Mix        Mix
		Policy     routing.Policy
		Weight     document.Weight
		Prioritize bool // without schedulers, give the engines the shorter prompts first
		Duration   time.Duration
		Warmup     time.Duration // arrivals before it are not measured

		CacheLag  time.Duration // delay of cache events
		CacheLoss float64       // part of the cache events that is lost
		KillAt    time.Duration // when Kill engines of all die; 0 means never
		Kill      float64
		Tune      func(*grant.Scheduler, *routing.Router) // changes settings before the run
	}

	// engine is a model engine with its scheduler.
	engine struct {
		name      string
		domain    int
		batch     *batch.Engine
		wake      time.Time
		dead      bool
		scheduler *grant.Scheduler
		tick      time.Time
		sequence  uint64
	}

	// host is an entry host.
	host struct {
		name      string
		domain    int
		view      *fleet.View
		admission admission.Controller
		router    *routing.Router
	}

	// run is the state of one run.
	run struct {
		loop
		Config
		random    *rand.Rand
		quantiles [Lengths]quantile
		engines   []*engine
		byName    map[string]*engine
		hosts     []*host
		attempts  map[protocol.AttemptID]*attempt
		jobs      map[string]*attempt
		result    *Result
	}
)

// Capacity is the number of requests per second that keeps all engines busy.
func Capacity(m Mix) float64 {
	full := stepTime + decodeTimeAtCapacity + time.Duration(chunkTokens/prefillPerSecond*float64(time.Second))
	return float64(engineCount) * chunkTokens / full.Seconds() / m.meanTokens()
}

const (
	domains     = 3
	engineCount = 16
	hostCount   = 20
)

// Entry hosts of each failure domain; the engines are spread round robin.
var hostsOfDomain = [domains]int{8, 6, 6}

// Run drives one run and returns what was measured.
func Run(c Config) *Result {
	r := &run{
		Config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), result: newResult(),
		attempts: make(map[protocol.AttemptID]*attempt), jobs: make(map[string]*attempt),
		byName: make(map[string]*engine),
	}
	r.now = start
	for i := range r.quantiles {
		r.quantiles[i] = quantile(r.random.Float64())
	}
	r.addEngines()
	r.addHosts()
	for i, e := range r.engines {
		e.scheduler.Report(r.now, r.load(e))
		offset := reportInterval * time.Duration(i) / engineCount
		r.after(offset, func() { r.report(e) })
		r.after(offset+rowInterval/2, func() { r.publish(e) })
	}
	r.publishAll()
	r.arrive(0)
	if c.Kill > 0 {
		r.after(c.KillAt, r.kill)
	}
	r.run(start.Add(c.Duration + drainTime))
	return r.result
}

// drainTime lets the last arrivals end.
const drainTime = 300 * time.Second

func (r *run) addEngines() {
	for i := range engineCount {
		name := fmt.Sprintf("g%02d", i)
		server := protocol.Server{Name: name, FailureDomain: domainName(i % domains)}
		e := &engine{
			name: name, domain: i % domains,
			scheduler: &grant.Scheduler{Server: server, Weight: r.Weight},
			batch:     newBatch(),
		}
		if r.Tune != nil {
			r.Tune(e.scheduler, nil)
		}
		r.engines = append(r.engines, e)
		r.byName[name] = e
	}
}

func (r *run) addHosts() {
	for domain, n := range hostsOfDomain {
		for range n {
			h := &host{name: fmt.Sprintf("e%02d", len(r.hosts)), domain: domain}
			h.router = &routing.Router{Policy: r.Policy, Weight: r.Weight, Seed: uint64(len(r.hosts))}
			if r.Tune != nil {
				r.Tune(nil, h.router)
			}
			h.view = &fleet.View{FailureDomain: domainName(domain)}
			r.hosts = append(r.hosts, h)
		}
	}
}

func domainName(i int) string { return string(rune('a' + i)) }

// arrive draws the arrivals of the run, one after the other.
func (r *run) arrive(id int) {
	rate := Capacity(DefaultMix()) * r.Load * r.Mix.total()
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now.Sub(start) > r.Duration {
			return
		}
		req := r.Mix.draw(r.random, &r.quantiles, id)
		r.begin(req, r.hosts[r.random.IntN(len(r.hosts))])
		r.arrive(id + 1)
	})
}

func (r *run) kill() {
	n := int(float64(len(r.engines)) * r.Kill)
	for _, e := range r.engines[:n] {
		e.dead = true
		for id, a := range r.jobs {
			if a.runsOn(e) {
				delete(r.jobs, id)
				r.after(insideDelay, func() { r.lost(a) })
			}
		}
		r.after(detectTime, func() {
			r.decide(e, e.scheduler.Unhealthy(r.now, true))
			r.publish(e)
		})
	}
}

// detectTime is the time after which a scheduler knows that its engine is dead.
const detectTime = time.Second
