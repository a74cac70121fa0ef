package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/grant"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
)

// idleTickInterval is the time until the next tick when the scheduler needs none.
const idleTickInterval = time.Second

// runner runs the scheduler of one backend server.
type runner struct {
	set    *Set
	server protocol.Server
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	wake   chan struct{} // makes runTicks compute the time of the next tick again

	mu        sync.Mutex
	scheduler *grant.Scheduler
	waiting   map[protocol.AttemptID]chan grant.Decision // grant requests without a decision
	epoch     uint64                                     // of the last load report; 0 before the first
	down      bool                                       // the last calls for the load failed
	stopped   bool
}

// stop stops all work for the backend server and refuses the waiting grant requests, since this host no longer owns it.
func (r *runner) stop() {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for id, result := range r.waiting {
		delete(r.waiting, id)
		result <- grant.Decision{ID: id, Refusal: &protocol.Refusal{ID: id, Kind: protocol.RefusalNotOwner}}
	}
}

// configure applies a new configuration to the scheduler.
func (r *runner) configure(d *document.Document) {
	r.update(func(time.Time) []grant.Decision {
		r.scheduler.SetWorkspaces(d.Workspaces)
		r.scheduler.SetScheduling(d.Scheduling)
		r.scheduler.SetEngines(d.Engines)
		return nil
	})
}

// update calls step, which changes the scheduler, with the current time. It delivers the decisions that step returns to
// the waiting grant requests.
func (r *runner) update(step func(now time.Time) []grant.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(step(time.Now()))
	r.wakeTicker()
}

// deliver sends each decision to the grant request that waits for it and drops those for which none waits. The caller
// holds r.mu.
func (r *runner) deliver(decisions []grant.Decision) {
	for _, d := range decisions {
		result, ok := r.waiting[d.ID]
		if !ok {
			continue
		}
		delete(r.waiting, d.ID)
		result <- d
	}
}

// wakeTicker makes runTicks compute the time of the next tick again. It does not block.
func (r *runner) wakeTicker() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// requestGrant passes a grant request to the scheduler and waits for the decision; exactly one of the results is set.
// It refuses a request whose content is quarantined, or must wait until the cause of its last crash is known, and
// withdraws the request when ctx ends.
func (r *runner) requestGrant(ctx context.Context, req protocol.GrantRequest) (*protocol.Grant, *protocol.Refusal) {
	switch r.set.Suspects.CheckGrant(time.Now(), &req) {
	case suspect.Quarantined:
		return nil, &protocol.Refusal{ID: req.ID, Kind: protocol.RefusalCrashing}
	case suspect.Pending:
		return nil, &protocol.Refusal{ID: req.ID, Kind: protocol.RefusalSuspect}
	case suspect.Suspected:
		req.Suspect = true
	}
	result := make(chan grant.Decision, 1)
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return nil, &protocol.Refusal{ID: req.ID, Kind: protocol.RefusalNotOwner}
	}
	r.waiting[req.ID] = result
	r.deliver(r.scheduler.Request(time.Now(), req))
	r.wakeTicker()
	r.mu.Unlock()
	select {
	case d := <-result:
		r.recordDecision(req, d)
		return r.withEpoch(d.Grant), d.Refusal
	case <-ctx.Done():
		r.withdraw(req, result)
		return nil, &protocol.Refusal{ID: req.ID, Kind: protocol.RefusalDeadline}
	}
}

// withEpoch returns a copy of the grant with the epoch of the backend server's process, which lets the requesting host
// notice a restart. It returns nil if g is nil.
func (r *runner) withEpoch(g *protocol.Grant) *protocol.Grant {
	if g == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	stamped := *g
	stamped.Epoch = r.epoch
	return &stamped
}

// withdraw removes a grant request whose requester no longer waits. A grant that was given at the same moment is given
// back.
func (r *runner) withdraw(req protocol.GrantRequest, result chan grant.Decision) {
	r.update(func(now time.Time) []grant.Decision {
		if r.waiting[req.ID] == result {
			delete(r.waiting, req.ID)
		}
		return r.scheduler.Finish(now, protocol.GrantRelease{ID: req.ID, Server: r.server.Name})
	})
}

// recordDecision counts a decision and records for crash detection that a granted attempt has started.
func (r *runner) recordDecision(req protocol.GrantRequest, d grant.Decision) {
	scope := r.set.Metrics
	if d.Grant == nil {
		scope.Tagged(map[string]string{"kind": string(d.Refusal.Kind)}).Counter("grants_refused").Inc(1)
		return
	}
	scope.Counter("grants").Inc(1)
	r.set.Suspects.Started(time.Now(), r.server.Name, req.ID, req.Workspace, req.Fingerprint, req.Suspect)
}

// finish ends an attempt and gives its grant back.
func (r *runner) finish(fin protocol.GrantRelease) {
	r.set.Suspects.Ended(time.Now(), r.server.Name, fin.ID)
	r.update(func(now time.Time) []grant.Decision { return r.scheduler.Finish(now, fin) })
}

// row summarizes the backend server, with host as the name of the host that schedules it.
func (r *runner) row(host string) protocol.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.scheduler.Row(time.Now())
	row.Scheduler = host
	row.Unhealthy = row.Unhealthy || r.down
	return row
}

// runTicks calls the scheduler's Tick at the times that the scheduler asks for, until ctx ends.
func (r *runner) runTicks(ctx context.Context) {
	for {
		timer := time.NewTimer(r.untilTick())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.wake:
			timer.Stop()
			continue
		case <-timer.C:
		}
		r.mu.Lock()
		r.deliver(r.scheduler.Tick(time.Now()))
		r.mu.Unlock()
	}
}

// untilTick returns the time until the next tick, at least 1 ms.
func (r *runner) untilTick() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.scheduler.NextTick()
	if next.IsZero() {
		return idleTickInterval
	}
	return max(time.Until(next), time.Millisecond)
}
