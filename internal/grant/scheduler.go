package grant

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/queue"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Defaults of the exported fields of Scheduler.
const (
	DefaultTokenGap  = 28 * time.Millisecond
	DefaultLead      = 25 * time.Millisecond
	DefaultIdle      = 5 * time.Millisecond
	DefaultRebuild   = 2 * time.Second
	DefaultTimeLimit = time.Minute
	DefaultMaxQueued = 2000
)

const (
	tickInterval   = 50 * time.Millisecond
	tombstoneAge   = 10 * time.Second
	assumedPrefill = 10_000.0 // tokens per second before the engine has reported a rate
	assumedDecode  = 40.0     // tokens per second and sequence before the engine has reported a rate
	assumedKVBytes = 1 << 16  // bytes per token before the engine has reported them
)

type (
	// Scheduler decides which attempts run on one backend server; it is not safe for concurrent use.
	Scheduler struct {
		Server      protocol.Server
		Weight      document.Weight
		TokenGap    time.Duration // bound on the time between output tokens; 0 means DefaultTokenGap
		Lead        time.Duration // prefill work that the engine gets ahead of time; 0 means DefaultLead
		Idle        time.Duration // predicted wait up to which an ask that does not queue is granted; 0 means DefaultIdle
		Rebuild     time.Duration // after the start, reports of held memory go before own knowledge; 0 means DefaultRebuild
		LongTokens  int64         // prompts above this are long; 0 follows Weight
		MaxRunning  int           // bound on concurrent grants; 0 follows TokenGap
		LongEngines int           // backend servers for long prompts in the failure domain; 0 follows demand
		MaxQueued   int           // bound on waiting asks; 0 means DefaultMaxQueued

		started   time.Time
		clock     time.Time // time up to which the prefill progress is worked out
		nextTick  time.Time
		nextSweep time.Time // when expiries and deadlines are looked at
		held      map[protocol.AttemptID]*reservation
		grants    uint64 // made so far
		reserved  int64
		memo      memo
		heldAbove int64 // the part of reserved for prompts above middleStep
		queue     queue.Queue
		waiting   map[protocol.AttemptID]*waiter
		finished  map[protocol.AttemptID]time.Time
		freed     []release
		load      engineapi.Load
		reported  time.Time // when the engine made the load report; zero before the first
		down      bool
		limit     float64 // concurrent grants that keep TokenGap
		cache     cache
		costs     map[string]*cost
		demand    demand
		subset    subset
		revision  uint64

		noMemory   bool // tests turn the memory check off
		noRefusal  bool // tests turn the refusals in the queue off
		noBackfill bool // tests let any ask pass the one that waits for room
		noIdentity bool // tests turn the check for repeated asks off
	}

	// Decision answers one ask; exactly one of Grant and Refusal is set.
	Decision struct {
		ID      protocol.AttemptID
		Grant   *protocol.Grant
		Refusal *protocol.Refusal
	}

	// reservation is what a grant holds.
	reservation struct {
		number     uint64 // in the order of the grants
		ask        protocol.Ask
		grant      protocol.Grant
		bytes      int64
		granted    time.Time
		expires    time.Time
		prefilling bool
		left       float64   // prompt tokens that the engine still has to prefill, as predicted
		expected   time.Time // when left has reached zero; zero before
		first      time.Time // when the first token came; zero before
	}

	// waiter is an ask in the queue.
	waiter struct {
		ask      protocol.Ask
		bytes    int64
		enqueued time.Time
		deadline time.Time
	}

	// release is memory that a finished grant has given back.
	release struct {
		at    time.Time
		bytes int64
	}
)

// SetWorkspaces sets the shares of the workspaces.
func (s *Scheduler) SetWorkspaces(workspaces []document.Workspace) {
	for _, w := range workspaces {
		s.queue.Usage.SetShare(w.Name, w.Share)
	}
}

// SetScheduling sets what is favored.
func (s *Scheduler) SetScheduling(c document.Scheduling) {
	if c.Weight != "" {
		s.Weight = c.Weight
	}
}

// SetEngines sets a fixed size of the subset for long prompts, if there is one.
func (s *Scheduler) SetEngines(c document.Engines) { s.LongEngines = c.LongEngines }

// Next returns when Tick must be called; it is zero when nothing is held and nothing waits.
func (s *Scheduler) Next() time.Time {
	if len(s.held) == 0 && len(s.waiting) == 0 {
		return time.Time{}
	}
	return s.nextTick
}

// Tick frees expired grants, gives grants to asks that can start and refuses those that can't meet their time.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.advance(now)
	var decisions []Decision
	if !now.Before(s.nextSweep) {
		s.nextSweep = now.Add(tickInterval)
		s.expire(now)
		decisions = s.refuseLate(now)
	}
	s.nextTick = s.nextSweep
	return s.drain(now, decisions)
}

func (s *Scheduler) expire(now time.Time) {
	for _, r := range s.ordered() {
		if !r.expires.After(now) {
			s.free(now, r.ask.ID)
		}
	}
	for id, at := range s.finished {
		if now.Sub(at) > tombstoneAge {
			delete(s.finished, id)
		}
	}
}

// Unhealthy tells whether the backend server has stopped answering; if so, nothing waits for it any longer.
func (s *Scheduler) Unhealthy(now time.Time, down bool) []Decision {
	s.advance(now)
	s.revision++
	s.down = down
	if down {
		return s.refuseAll(protocol.RefusalUnhealthy)
	}
	return s.drain(now, nil)
}

// Held lists the grants in use.
func (s *Scheduler) Held(now time.Time) []protocol.Held {
	held := make([]protocol.Held, 0, len(s.held))
	for _, r := range s.ordered() {
		held = append(held, protocol.Held{
			ID: r.ask.ID, Workspace: r.ask.Workspace, Model: r.ask.Model, Bytes: r.bytes,
			PromptTokens: r.ask.PromptTokens, OutputTokens: r.ask.OutputTokens,
			Expiry: r.expires.Sub(now), Prefilling: r.prefilling,
		})
	}
	return held
}

// ordered lists the grants in the order in which they were made.
func (s *Scheduler) ordered() []*reservation {
	list := make([]*reservation, 0, len(s.held))
	for _, r := range s.held {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *reservation) int { return cmp.Compare(a.number, b.number) })
	return list
}

// advance starts the scheduler on the first call and moves the predicted prefill progress to now.
func (s *Scheduler) advance(now time.Time) {
	if s.started.IsZero() {
		s.started, s.clock, s.nextTick = now, now, now.Add(tickInterval)
		s.held = make(map[protocol.AttemptID]*reservation)
		s.waiting = make(map[protocol.AttemptID]*waiter)
		s.finished = make(map[protocol.AttemptID]time.Time)
		s.costs = make(map[string]*cost)
		// A successor's revisions follow those of its predecessor on another host.
		s.revision = uint64(now.UnixMilli())
	}
	s.progress(now)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
