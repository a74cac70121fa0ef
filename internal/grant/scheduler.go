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

// Defaults of the exported fields of Scheduler; DefaultTimeLimit applies to grant requests that name no time left.
const (
	DefaultTokenGap           = 28 * time.Millisecond
	DefaultPrefillBacklog     = 25 * time.Millisecond
	DefaultMaxWaitUnqueued    = 5 * time.Millisecond
	DefaultFirstReportTimeout = 2 * time.Second
	DefaultTimeLimit          = time.Minute
	DefaultMaxQueued          = 2000
)

const (
	tickInterval   = 50 * time.Millisecond // interval between the checks for expired grants and unmeetable deadlines
	tombstoneAge   = 10 * time.Second      // how long the ID of an ended or withdrawn attempt is remembered
	assumedPrefill = 10_000.0              // tokens per second before the engine has reported a rate
	assumedDecode  = 40.0                  // tokens per second and sequence before the engine has reported a rate
	assumedKVBytes = 1 << 16               // bytes per token before the engine has reported them
)

type (
	// Scheduler decides which attempts run on one backend server and when; it is not safe for concurrent use.
	Scheduler struct {
		Server             protocol.Server
		Objective          document.Objective
		TokenGap           time.Duration // target for the time between output tokens; 0 means DefaultTokenGap
		PrefillBacklog     time.Duration // limit for granting requests that may queue; 0 means DefaultPrefillBacklog
		MaxWaitUnqueued    time.Duration // limit for granting requests that can't queue; 0 means DefaultMaxWaitUnqueued
		FirstReportTimeout time.Duration // time to wait for the first load report; 0 means DefaultFirstReportTimeout
		LongTokens         int64         // prompts with more tokens than this are long; 0 takes the limit from Objective
		MaxRunning         int           // limit on concurrent grants; 0 adapts the limit to TokenGap
		LongEngines        int           // number of servers for long prompts in the failure domain; 0 adapts it to demand
		MaxQueued          int           // limit on waiting requests; 0 means DefaultMaxQueued

		started             time.Time
		progressTime        time.Time                           // time up to which the prefill progress has been predicted
		nextTick            time.Time                           // when the caller must call Tick
		nextSweep           time.Time                           // when Tick checks expiries and deadlines
		reservations        map[protocol.AttemptID]*reservation // grants in use
		grantCount          uint64                              // number of grants made or restored so far
		reservedBytes       int64                               // memory of all reservations
		memo                memo
		reservedAboveMedium int64 // part of reservedBytes for prompts longer than mediumMaxTokens
		queue               queue.Queue
		waiting             map[protocol.AttemptID]*waiter
		finished            map[protocol.AttemptID]time.Time // when each attempt ended or was withdrawn
		freed               []freedMemory                    // memory given back that the last load report does not reflect
		load                engineapi.Load
		reported            time.Time // when the engine made the load report; zero before the first
		down                bool      // the backend server does not answer
		runningLimit        float64   // adaptive limit on concurrent grants that keeps TokenGap; 0 before its first use
		cache               cache
		stats               map[string]*modelStats // by model
		demand              demand
		subset              subset
		revision            uint64 // grows with each change; sent in Row

		skipMemoryCheck    bool // for tests: grants without regard to memory and to the limit on concurrent grants
		skipQueueRefusal   bool // for tests: doesn't refuse waiting requests that can't meet their deadline
		unlimitedBackfill  bool // for tests: lets any request start before one that waits to fit
		skipDuplicateCheck bool // for tests: treats a repeated request as a new one
	}

	// Decision is the result of one grant request; exactly one of Grant and Refusal is set.
	Decision struct {
		ID      protocol.AttemptID
		Grant   *protocol.Grant
		Refusal *protocol.Refusal
	}

	// reservation is a grant in use with the memory reserved for it and its predicted prefill progress.
	reservation struct {
		number      uint64 // position in the order in which grants were made
		req         protocol.GrantRequest
		grant       protocol.Grant
		bytes       int64
		granted     time.Time
		expires     time.Time
		prefilling  bool      // the first token has not come
		prefillLeft float64   // prompt tokens that the engine still has to prefill, as predicted
		prefillEnd  time.Time // predicted end of the prefill, set once prefillLeft has reached 0; zero before
		firstToken  time.Time // when the first token came; zero before
	}

	// waiter is a grant request that waits in the queue or whose wait is predicted.
	waiter struct {
		req      protocol.GrantRequest
		bytes    int64
		enqueued time.Time
		deadline time.Time
	}

	// freedMemory is memory that an ended grant has given back.
	freedMemory struct {
		at    time.Time
		bytes int64
	}
)

// SetWorkspaces sets the weights by which the workspaces share the backend server.
func (s *Scheduler) SetWorkspaces(workspaces []document.Workspace) {
	for _, w := range workspaces {
		s.queue.Usage.SetShare(w.Name, w.Share)
	}
}

// SetScheduling sets which goal the scheduler favors; an empty Objective keeps the current one.
func (s *Scheduler) SetScheduling(c document.Scheduling) {
	if c.Objective != "" {
		s.Objective = c.Objective
	}
}

// SetEngines sets the number of backend servers for long prompts; 0 adapts it to demand.
func (s *Scheduler) SetEngines(c document.Engines) { s.LongEngines = c.LongPromptEngines }

// NextTick returns the time at which the caller must call Tick, or the zero time if no grant is in use and no request
// waits.
func (s *Scheduler) NextTick() time.Time {
	if len(s.reservations) == 0 && len(s.waiting) == 0 {
		return time.Time{}
	}
	return s.nextTick
}

// Tick frees the reservations of expired grants, refuses waiting requests that can no longer meet their deadline
// and grants those that may start.
func (s *Scheduler) Tick(now time.Time) []Decision {
	s.advance(now)
	var decisions []Decision
	if !now.Before(s.nextSweep) {
		s.nextSweep = now.Add(tickInterval)
		s.expire(now)
		decisions = s.refuseUnmeetable(now)
	}
	s.nextTick = s.nextSweep
	return s.grantWaiting(now, decisions)
}

// expire frees the reservations of expired grants and forgets attempts that ended more than tombstoneAge ago.
func (s *Scheduler) expire(now time.Time) {
	for _, r := range s.inGrantOrder() {
		if !r.expires.After(now) {
			s.free(now, r.req.ID)
		}
	}
	for id, at := range s.finished {
		if now.Sub(at) > tombstoneAge {
			delete(s.finished, id)
		}
	}
}

// SetUnhealthy records whether the backend server has stopped answering. If down is true, all waiting requests are
// refused.
func (s *Scheduler) SetUnhealthy(now time.Time, down bool) []Decision {
	s.advance(now)
	s.revision++
	s.down = down
	if down {
		return s.refuseAll(protocol.RefusalUnhealthy)
	}
	return s.grantWaiting(now, nil)
}

// Grants returns the grants in use in the order in which they were made.
func (s *Scheduler) Grants(now time.Time) []protocol.HeldGrant {
	held := make([]protocol.HeldGrant, 0, len(s.reservations))
	for _, r := range s.inGrantOrder() {
		held = append(held, protocol.HeldGrant{
			ID: r.req.ID, Workspace: r.req.Workspace, Model: r.req.Model, Bytes: r.bytes,
			PromptTokens: r.req.PromptTokens, OutputTokens: r.req.OutputTokens,
			Expiry: r.expires.Sub(now), Prefilling: r.prefilling,
		})
	}
	return held
}

// inGrantOrder returns the reservations in the order in which the grants were made.
func (s *Scheduler) inGrantOrder() []*reservation {
	list := make([]*reservation, 0, len(s.reservations))
	for _, r := range s.reservations {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *reservation) int { return cmp.Compare(a.number, b.number) })
	return list
}

// advance initializes the scheduler on the first call and updates the predicted prefill progress to now.
func (s *Scheduler) advance(now time.Time) {
	if s.started.IsZero() {
		s.started, s.progressTime, s.nextTick = now, now, now.Add(tickInterval)
		s.reservations = make(map[protocol.AttemptID]*reservation)
		s.waiting = make(map[protocol.AttemptID]*waiter)
		s.finished = make(map[protocol.AttemptID]time.Time)
		s.stats = make(map[string]*modelStats)
		// If another host takes over the backend server, the revisions of its scheduler must be higher than those
		// that this one has sent.
		s.revision = uint64(now.UnixMilli())
	}
	s.advancePrefill(now)
}

// orDefault returns d if it is positive, else fallback.
func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
