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

const idleTick = time.Second

// Runs the scheduler of one backend server.
type runner struct {
	set    *Set
	server protocol.Server
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	wake   chan struct{}

	mu      sync.Mutex
	decide  *grant.Scheduler
	waiting map[protocol.AttemptID]chan grant.Decision
	epoch   uint64
	down    bool
	stopped bool
}

func (r *runner) stop() {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for id, answer := range r.waiting {
		delete(r.waiting, id)
		answer <- grant.Decision{ID: id, Refusal: &protocol.Refusal{ID: id, Kind: protocol.RefusalNotOwner}}
	}
}

func (r *runner) configure(d *document.Document) {
	r.update(func(time.Time) []grant.Decision {
		r.decide.SetWorkspaces(d.Workspaces)
		r.decide.SetScheduling(d.Scheduling)
		r.decide.SetEngines(d.Engines)
		return nil
	})
}

// Runs one step of the decisions and hands their results to those who wait for them.
func (r *runner) update(step func(now time.Time) []grant.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(step(time.Now()))
	r.notify()
}

func (r *runner) deliver(decisions []grant.Decision) {
	for _, d := range decisions {
		answer, ok := r.waiting[d.ID]
		if !ok {
			continue
		}
		delete(r.waiting, d.ID)
		answer <- d
	}
}

func (r *runner) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *runner) ask(ctx context.Context, ask protocol.Ask) (*protocol.Grant, *protocol.Refusal) {
	switch r.set.Suspects.CheckAsk(time.Now(), &ask) {
	case suspect.Condemned:
		return nil, &protocol.Refusal{ID: ask.ID, Kind: protocol.RefusalCrashing}
	case suspect.Held:
		return nil, &protocol.Refusal{ID: ask.ID, Kind: protocol.RefusalSuspect}
	case suspect.Suspected:
		ask.Suspect = true
	}
	answer := make(chan grant.Decision, 1)
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return nil, &protocol.Refusal{ID: ask.ID, Kind: protocol.RefusalNotOwner}
	}
	r.waiting[ask.ID] = answer
	r.deliver(r.decide.Ask(time.Now(), ask))
	r.notify()
	r.mu.Unlock()
	select {
	case d := <-answer:
		r.note(ask, d)
		return r.withEpoch(d.Grant), d.Refusal
	case <-ctx.Done():
		r.withdraw(ask, answer)
		return nil, &protocol.Refusal{ID: ask.ID, Kind: protocol.RefusalDeadline}
	}
}

// Tells the asker which process of the backend server the grant is for, so that it notices a restart.
func (r *runner) withEpoch(g *protocol.Grant) *protocol.Grant {
	if g == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	told := *g
	told.Epoch = r.epoch
	return &told
}

// The asker is gone; a grant that was given at the same moment is given back.
func (r *runner) withdraw(ask protocol.Ask, answer chan grant.Decision) {
	r.update(func(now time.Time) []grant.Decision {
		if r.waiting[ask.ID] == answer {
			delete(r.waiting, ask.ID)
		}
		return r.decide.Finish(now, protocol.Finish{ID: ask.ID, Server: r.server.Name})
	})
}

func (r *runner) note(ask protocol.Ask, d grant.Decision) {
	scope := r.set.Metrics
	if d.Grant == nil {
		scope.Tagged(map[string]string{"kind": string(d.Refusal.Kind)}).Counter("grants_refused").Inc(1)
		return
	}
	scope.Counter("grants").Inc(1)
	r.set.Suspects.Started(time.Now(), r.server.Name, ask.ID, ask.Workspace, ask.Fingerprint, ask.Suspect)
}

func (r *runner) finish(fin protocol.Finish) {
	r.set.Suspects.Ended(time.Now(), r.server.Name, fin.ID)
	r.update(func(now time.Time) []grant.Decision { return r.decide.Finish(now, fin) })
}

func (r *runner) row(host string) protocol.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.decide.Row(time.Now())
	row.Scheduler = host
	row.Unhealthy = row.Unhealthy || r.down
	return row
}

// Calls Tick when the decisions ask for it.
func (r *runner) tick(ctx context.Context) {
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
		r.deliver(r.decide.Tick(time.Now()))
		r.mu.Unlock()
	}
}

func (r *runner) untilTick() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.decide.Next()
	if next.IsZero() {
		return idleTick
	}
	return max(time.Until(next), time.Millisecond)
}
