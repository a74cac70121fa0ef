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
	hostCount    = 3
	engineCount  = 4
	model        = "m"
	faultsEnd    = 15 * time.Second // and no request comes after it
	settled      = 38 * time.Second // all requests are over and no expiry has passed
	expiryTime   = 40 * time.Second // of allocations, from the request's arrival
	runTime      = 75 * time.Second
	longDeadline = 20 * time.Second
	tickEvery    = 100 * time.Millisecond
	compareEvery = 3 * time.Second
	noticeTime   = time.Second // until hosts know of an engine's new epoch
	callTimeout  = time.Second
	lateTime     = 3 * time.Second
	lossShare    = 0.04
	lateShare    = 0.02
)

type (
	// Machines are the state machines of one host, which tests may change.
	Machines struct {
		Tracker    *release.Tracker
		Comparison *release.Comparison
		Chain      *longprompt.Chain // nil but for a new long prompt
	}

	// Result counts what happened in one run.
	Result struct {
		Held     int64 // bytes at the end
		Settled  int64 // bytes held for living hosts some time after the faults
		CutOff   int   // allocations freed by a comparison under a living owner before their expiry
		Requests int
		Answered int
	}

	engine struct {
		name    string
		batch   *batch.Engine
		epoch   int
		expires bool                 // frees allocations by itself
		owners  map[string]ownership // by allocation
		done    map[string]func()    // by the sequence's allocation
	}

	ownership struct {
		owner  engineapi.Owner
		expiry time.Time
	}

	host struct {
		name        string
		incarnation uint64
		dead        bool
		thaw        time.Time
		cut         [engineCount]bool
		machines    Machines
		chains      []*prompt
	}

	world struct {
		virtual.Clock
		rand      *rand.Rand
		start     time.Time
		configure func(Machines)
		hosts     []*host
		engines   []*engine
		result    Result
	}
)

// Simulate runs one seed in virtual time; configure may change each state machine before its use.
func Simulate(seed uint64, configure func(Machines)) Result {
	w := &world{rand: rand.New(rand.NewPCG(seed, seed)), configure: configure}
	w.start = time.Unix(1_000_000, 0)
	w.Now = w.start
	for i := range engineCount {
		e := &engine{name: fmt.Sprintf("engine-%d", i), expires: seed%2 == 0}
		e.reset()
		w.engines = append(w.engines, e)
	}
	for i := range hostCount {
		h := &host{name: fmt.Sprintf("host-%d", i)}
		w.boot(h)
		w.hosts = append(w.hosts, h)
		w.After(tickEvery, func() { w.tick(h) })
	}
	for i, e := range w.engines {
		w.After(w.upTo(compareEvery), func() { w.compare(i) })
		w.After(tickEvery, func() { w.advance(e) })
	}
	w.After(0, w.arrive)
	w.After(w.upTo(time.Second), w.fault)
	w.After(settled, func() { w.result.Settled = w.held(true) })
	w.RunUntil(w.start.Add(runTime))
	w.result.Held = w.held(false)
	return w.result
}

func (e *engine) reset() {
	e.epoch++
	e.batch = &batch.Engine{}
	e.owners = make(map[string]ownership)
	e.done = make(map[string]func())
}

func (w *world) boot(h *host) {
	h.incarnation++
	h.dead = false
	h.chains = nil
	h.machines = Machines{Tracker: &release.Tracker{}, Comparison: &release.Comparison{}}
	w.configure(h.machines)
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rand.Int64N(int64(d))) }

// held sums up what the engines hold, for living hosts only if asked.
func (w *world) held(living bool) int64 {
	var sum int64
	for _, e := range w.engines {
		e.batch.Advance(w.Now)
		for id, o := range e.owners {
			if bytes, ok := e.batch.Bytes(id); ok && (!living || w.lives(o.owner)) {
				sum += bytes
			}
		}
	}
	return sum
}

func (w *world) lives(o engineapi.Owner) bool {
	for _, h := range w.hosts {
		if h.name == o.Host && h.incarnation == o.Incarnation && !h.dead {
			return true
		}
	}
	return false
}

// fault makes one fault and sets the next; all faults are over at their end.
func (w *world) fault() {
	if w.Now.Sub(w.start) > faultsEnd {
		for _, h := range w.hosts {
			h.cut = [engineCount]bool{}
		}
		return
	}
	w.After(w.upTo(1500*time.Millisecond), w.fault)
	h := w.hosts[w.rand.IntN(hostCount)]
	i := w.rand.IntN(engineCount)
	switch w.rand.IntN(5) {
	case 0:
		h.dead = true
		w.After(w.upTo(4*time.Second), func() {
			if h.dead {
				w.boot(h)
			}
		})
	case 1:
		h.thaw = w.Now.Add(w.upTo(6 * time.Second))
	case 2:
		h.cut[i] = true
		w.After(w.upTo(5*time.Second), func() { h.cut[i] = false })
	case 3:
		if w.rand.IntN(2) == 0 {
			w.crash(w.engines[i])
		}
	}
}

// crash ends an engine's process; hosts notice its new epoch later.
func (w *world) crash(e *engine) {
	e.reset()
	for _, h := range w.hosts {
		w.After(noticeTime, func() {
			w.on(h, h.incarnation, func() {
				h.machines.Tracker.Gone(w.Now, e.name)
				h.machines.Comparison.Forget(e.name)
				for _, p := range h.chains {
					p.perform(p.chain.Died(w.Now, e.name))
				}
			})
		})
	}
}

// on runs a step of a host unless it has died, after a freeze is over.
func (w *world) on(h *host, incarnation uint64, step func()) {
	if h.dead || h.incarnation != incarnation {
		return
	}
	if wait := h.thaw.Sub(w.Now); wait > 0 {
		w.After(wait, func() { w.on(h, incarnation, step) })
		return
	}
	step()
}

// call runs an operation on an engine over a network that loses, delays and cuts; reply learns whether it was answered.
func (w *world) call(h *host, e *engine, operation func() error, reply func(err error, answered bool)) {
	incarnation := h.incarnation
	answer := func(d time.Duration, err error, ok bool) {
		w.After(d, func() { w.on(h, incarnation, func() { reply(err, ok) }) })
	}
	if h.cut[e.index()] || w.rand.Float64() < lossShare {
		answer(callTimeout, nil, false)
		return
	}
	delay := w.upTo(5 * time.Millisecond)
	if w.rand.Float64() < lateShare {
		delay = callTimeout + w.upTo(lateTime)
		answer(callTimeout, nil, false)
		w.After(delay, func() { _ = operation() })
		return
	}
	lost := w.rand.Float64() < lossShare
	w.After(delay, func() {
		err := operation()
		if lost {
			answer(callTimeout, nil, false)
			return
		}
		answer(delay, err, true)
	})
}

func (e *engine) index() int { return int(e.name[len(e.name)-1] - '0') }

// tick drives a host's machines.
func (w *world) tick(h *host) {
	w.After(tickEvery, func() { w.tick(h) })
	w.on(h, h.incarnation, func() {
		w.release(h, h.machines.Tracker.Tick(w.Now))
		for _, p := range slices.Clone(h.chains) {
			p.perform(p.chain.Tick(w.Now))
		}
	})
}

// release carries out what a host's tracker decides.
func (w *world) release(h *host, actions []release.Action) {
	for _, a := range actions {
		e := w.engine(a.Server)
		w.call(h, e, func() error { e.batch.Release(w.Now, a.Allocation); return nil }, func(_ error, ok bool) {
			if ok {
				h.machines.Tracker.Confirmed(w.Now, a.Server, a.Allocation)
			} else {
				h.machines.Tracker.Failed(w.Now, a.Server, a.Allocation)
			}
		})
	}
}

func (w *world) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// compare lets the host that schedules an engine compare its list with the living hosts.
func (w *world) compare(i int) {
	w.After(compareEvery, func() { w.compare(i) })
	e := w.engines[i]
	for n := range w.hosts {
		h := w.hosts[(i+n)%hostCount]
		if h.dead {
			continue
		}
		if h.cut[i] || w.Now.Before(h.thaw) {
			return
		}
		actions := h.machines.Comparison.Compare(w.Now, e.name, w.list(e), nil, w.living(h))
		for _, a := range actions {
			o := e.owners[a.Allocation]
			if w.lives(o.owner) && w.Now.Before(o.expiry) {
				w.result.CutOff++
			}
			w.release(h, h.machines.Tracker.Free(w.Now, a.Server, a.Allocation))
		}
		return
	}
}

func (w *world) list(e *engine) []engineapi.Allocation {
	var list []engineapi.Allocation
	e.batch.Each(func(id, kind string, bytes int64, _ time.Time) {
		o := e.owners[id]
		left := max(0, o.expiry.Sub(w.Now))
		list = append(list, engineapi.Allocation{
			Owner: o.owner, ID: id, Kind: kind, Bytes: bytes, ExpiryMS: left.Milliseconds(),
		})
	})
	slices.SortFunc(list, func(a, b engineapi.Allocation) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// living lists the hosts that h believes alive, which leaves out some that are only cut off.
func (w *world) living(h *host) []protocol.Host {
	var list []protocol.Host
	for _, other := range w.hosts {
		if !other.dead && (other == h || !slices.Contains(other.cut[:], true)) {
			list = append(list, protocol.Host{Name: other.name, Incarnation: other.incarnation})
		}
	}
	return list
}

// view shows a host the engines as they are.
func (w *world) view() *fleet.View {
	v := new(fleet.View)
	for _, e := range w.engines {
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
