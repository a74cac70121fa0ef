package leak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/virtual"
	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/longprompt"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/release"
	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	hostCount          = 3
	engineCount        = 4
	model              = "m"
	faultPeriod        = 15 * time.Second // no fault and no prompt starts after it
	settledAfter       = 38 * time.Second // when all requests have ended and no allocation has expired yet
	allocationTTL      = 40 * time.Second // expiry of allocations, from the arrival of their prompt
	runTime            = 75 * time.Second
	longDeadline       = 20 * time.Second
	tickInterval       = 100 * time.Millisecond
	comparisonInterval = 3 * time.Second
	restartNoticeDelay = time.Second // until hosts notice that an engine has restarted
	callTimeout        = time.Second
	maxLateness        = 3 * time.Second // how long after callTimeout such a request runs at most
	lossShare          = 0.04            // share of requests, and of responses, to engines that are lost
	lateShare          = 0.02            // share of requests that an engine runs only after callTimeout
)

type (
	// Machines holds the state machines of one host; tests may modify them.
	Machines struct {
		Tracker    *release.Tracker
		Comparison *release.OrphanDetector
		Chain      *longprompt.Chain // set only when a prompt starts, long or short; nil otherwise
	}

	// Result holds the counts of one run.
	Result struct {
		Held     int64 // bytes that engines hold at the end of the run
		Settled  int64 // bytes held for hosts that are alive, at settledAfter
		CutOff   int   // allocations that a comparison frees before their expiry while their owner is alive
		Requests int
		Answered int
	}

	engine struct {
		name    string
		batch   *batch.Engine
		epoch   int
		expires bool                 // whether the engine frees expired allocations itself
		owners  map[string]ownership // by allocation ID
		onEnd   map[string]func()    // called when a sequence ends, by its allocation ID
	}

	ownership struct {
		owner  engineapi.Owner
		expiry time.Time
	}

	host struct {
		name        string
		incarnation uint64
		dead        bool
		frozenUntil time.Time         // steps of the host are delayed until then
		unreachable [engineCount]bool // by engine index; calls to these engines and their events are dropped
		machines    Machines
		prompts     []*prompt
	}

	sim struct {
		virtual.Clock
		rand      *rand.Rand
		start     time.Time
		configure func(Machines)
		hosts     []*host
		engines   []*engine
		result    Result
	}
)

// Simulate runs one seed in virtual time and returns its counts. It calls configure with each host's state machines
// before they are used, so that a caller can modify them.
func Simulate(seed uint64, configure func(Machines)) Result {
	s := &sim{rand: rand.New(rand.NewPCG(seed, seed)), configure: configure}
	s.start = time.Unix(1_000_000, 0)
	s.Now = s.start
	for i := range engineCount {
		e := &engine{name: fmt.Sprintf("engine-%d", i), expires: seed%2 == 0}
		e.reset()
		s.engines = append(s.engines, e)
	}
	for i := range hostCount {
		h := &host{name: fmt.Sprintf("host-%d", i)}
		s.startHost(h)
		s.hosts = append(s.hosts, h)
		s.After(tickInterval, func() { s.tick(h) })
	}
	for i, e := range s.engines {
		s.After(s.randUpTo(comparisonInterval), func() { s.compare(i) })
		s.After(tickInterval, func() { s.advance(e) })
	}
	s.After(0, s.sendPrompt)
	s.After(s.randUpTo(time.Second), s.injectFault)
	s.After(settledAfter, func() { s.result.Settled = s.heldBytes(true) })
	s.RunUntil(s.start.Add(runTime))
	s.result.Held = s.heldBytes(false)
	return s.result
}

func (e *engine) reset() {
	e.epoch++
	e.batch = &batch.Engine{}
	e.owners = make(map[string]ownership)
	e.onEnd = make(map[string]func())
}

func (s *sim) startHost(h *host) {
	h.incarnation++
	h.dead = false
	h.prompts = nil
	h.machines = Machines{Tracker: &release.Tracker{}, Comparison: &release.OrphanDetector{}}
	s.configure(h.machines)
}

// randUpTo returns a random duration below d.
func (s *sim) randUpTo(d time.Duration) time.Duration { return time.Duration(s.rand.Int64N(int64(d))) }

// heldBytes returns the bytes that all engines hold; with aliveOnly, only those whose owner is alive.
func (s *sim) heldBytes(aliveOnly bool) int64 {
	var sum int64
	for _, e := range s.engines {
		e.batch.Advance(s.Now)
		for id, o := range e.owners {
			if bytes, ok := e.batch.AllocationBytes(id); ok && (!aliveOnly || s.ownerAlive(o.owner)) {
				sum += bytes
			}
		}
	}
	return sum
}

func (s *sim) ownerAlive(o engineapi.Owner) bool {
	for _, h := range s.hosts {
		if h.name == o.Host && h.incarnation == o.Incarnation && !h.dead {
			return true
		}
	}
	return false
}

// injectFault injects at most one random fault and schedules the next one. After faultPeriod it only reconnects all
// hosts and engines.
func (s *sim) injectFault() {
	if s.Now.Sub(s.start) > faultPeriod {
		for _, h := range s.hosts {
			h.unreachable = [engineCount]bool{}
		}
		return
	}
	s.After(s.randUpTo(1500*time.Millisecond), s.injectFault)
	h := s.hosts[s.rand.IntN(hostCount)]
	i := s.rand.IntN(engineCount)
	switch s.rand.IntN(5) {
	case 0:
		h.dead = true
		s.After(s.randUpTo(4*time.Second), func() {
			if h.dead {
				s.startHost(h)
			}
		})
	case 1:
		h.frozenUntil = s.Now.Add(s.randUpTo(6 * time.Second))
	case 2:
		h.unreachable[i] = true
		s.After(s.randUpTo(5*time.Second), func() { h.unreachable[i] = false })
	case 3:
		if s.rand.IntN(2) == 0 {
			s.crash(s.engines[i])
		}
	}
}

// crash restarts an engine with no allocations; hosts notice its new epoch after restartNoticeDelay.
func (s *sim) crash(e *engine) {
	e.reset()
	for _, h := range s.hosts {
		s.After(restartNoticeDelay, func() {
			s.runOn(h, h.incarnation, func() {
				h.machines.Tracker.ProcessEnded(s.Now, e.name)
				h.machines.Comparison.Forget(e.name)
				for _, p := range h.prompts {
					p.perform(p.chain.ProcessEnded(s.Now, e.name))
				}
			})
		})
	}
}

// runOn runs step on a host once the host isn't frozen. It drops the step if the host is dead or has restarted since
// that incarnation.
func (s *sim) runOn(h *host, incarnation uint64, step func()) {
	if h.dead || h.incarnation != incarnation {
		return
	}
	if wait := h.frozenUntil.Sub(s.Now); wait > 0 {
		s.After(wait, func() { s.runOn(h, incarnation, step) })
		return
	}
	step()
}

// call runs an operation on an engine over a network that loses and delays messages and drops those between a host and
// an unreachable engine. It calls reply on the host with the operation's error. responded is false if no response
// arrives within callTimeout; the operation may have run all the same or may still run later.
func (s *sim) call(h *host, e *engine, operation func() error, reply func(err error, responded bool)) {
	incarnation := h.incarnation
	respond := func(d time.Duration, err error, ok bool) {
		s.After(d, func() { s.runOn(h, incarnation, func() { reply(err, ok) }) })
	}
	if h.unreachable[e.index()] || s.rand.Float64() < lossShare {
		respond(callTimeout, nil, false)
		return
	}
	delay := s.randUpTo(5 * time.Millisecond)
	if s.rand.Float64() < lateShare {
		delay = callTimeout + s.randUpTo(maxLateness)
		respond(callTimeout, nil, false)
		s.After(delay, func() { _ = operation() })
		return
	}
	lost := s.rand.Float64() < lossShare
	s.After(delay, func() {
		err := operation()
		if lost {
			respond(callTimeout, nil, false)
			return
		}
		respond(delay, err, true)
	})
}

func (e *engine) index() int { return int(e.name[len(e.name)-1] - '0') }

// tick lets a host's tracker and the chains of its prompts act at each tick.
func (s *sim) tick(h *host) {
	s.After(tickInterval, func() { s.tick(h) })
	s.runOn(h, h.incarnation, func() {
		s.release(h, h.machines.Tracker.Tick(s.Now))
		for _, p := range slices.Clone(h.prompts) {
			p.perform(p.chain.Tick(s.Now))
		}
	})
}

// release carries out the release calls of a host's tracker and reports each outcome to it.
func (s *sim) release(h *host, actions []release.Action) {
	for _, a := range actions {
		e := s.engine(a.Server)
		s.call(h, e, func() error { e.batch.Release(s.Now, a.Allocation); return nil }, func(_ error, ok bool) {
			if ok {
				h.machines.Tracker.Confirmed(s.Now, a.Server, a.Allocation)
			} else {
				h.machines.Tracker.Failed(s.Now, a.Server, a.Allocation)
			}
		})
	}
}

func (s *sim) engine(name string) *engine {
	for _, e := range s.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// compare lets the host that schedules engine i compare the engine's allocations with the hosts that it believes alive,
// and release those whose owner has restarted or whose expiry has passed. The scheduling host is the first one that
// isn't dead, starting with host i; the round is skipped if it is frozen or can't reach the engine. compare counts
// released allocations that had not expired and whose owner was alive.
func (s *sim) compare(i int) {
	s.After(comparisonInterval, func() { s.compare(i) })
	e := s.engines[i]
	for n := range s.hosts {
		h := s.hosts[(i+n)%hostCount]
		if h.dead {
			continue
		}
		if h.unreachable[i] || s.Now.Before(h.frozenUntil) {
			return
		}
		actions := h.machines.Comparison.Releases(s.Now, e.name, s.listAllocations(e), nil, s.believedAlive(h))
		for _, a := range actions {
			o := e.owners[a.Allocation]
			if s.ownerAlive(o.owner) && s.Now.Before(o.expiry) {
				s.result.CutOff++
			}
			s.release(h, h.machines.Tracker.Release(s.Now, a.Server, a.Allocation))
		}
		return
	}
}

func (s *sim) listAllocations(e *engine) []engineapi.Allocation {
	var list []engineapi.Allocation
	e.batch.EachAllocation(func(id, kind string, bytes int64, _ time.Time) {
		o := e.owners[id]
		left := max(0, o.expiry.Sub(s.Now))
		list = append(list, engineapi.Allocation{
			Owner: o.owner, ID: id, Kind: kind, Bytes: bytes, ExpiryMS: left.Milliseconds(),
		})
	})
	slices.SortFunc(list, func(a, b engineapi.Allocation) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// believedAlive lists the hosts that h believes alive: itself, and each other host that isn't dead and reaches all
// engines. It thus omits hosts that are alive but can't reach some engine.
func (s *sim) believedAlive(h *host) []protocol.Host {
	var list []protocol.Host
	for _, other := range s.hosts {
		if !other.dead && (other == h || !slices.Contains(other.unreachable[:], true)) {
			list = append(list, protocol.Host{Name: other.name, Incarnation: other.incarnation})
		}
	}
	return list
}

// view returns a view of the engines that is up to date.
func (s *sim) view() *fleet.View {
	v := new(fleet.View)
	for _, e := range s.engines {
		load := e.batch.Load()
		v.Entries = append(v.Entries, fleet.Entry{
			Server: protocol.Server{Name: e.name},
			Row: protocol.Row{
				Server: e.name, Models: []string{model}, CapacityBytes: load.MemoryBytes,
				FreeBytes: load.MemoryBytes - load.HeldBytes, BytesPerToken: load.KVBytesPerToken,
				PrefillRate: load.PrefillPerSecond, DecodeRate: load.DecodePerSecond,
			},
		})
	}
	return v
}
