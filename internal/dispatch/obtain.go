package dispatch

import (
	"context"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/retry"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

// A scheduler that decides at once has this long to answer.
const askTimeout = 500 * time.Millisecond

// An attempt that runs without a grant ends by its deadline or by this time.
const directExpiry = 5 * time.Minute

// A suspect for which each backend server runs another one asks again after this time.
const apartInterval = 100 * time.Millisecond

// Obtains a grant; a suspect waits within its time until a backend server runs no other one.
func (r *run) obtain(ctx context.Context) (*holding, *retry.Failure) {
	began := time.Now()
	defer func() { r.d.Metrics.Timer("queue_wait").Record(time.Since(began)) }()
	for {
		h, failure := r.obtainOnce(ctx)
		if failure == nil || failure.Grant != protocol.RefusalSuspect || time.Until(r.job.Deadline) < apartInterval {
			return h, failure
		}
		wait.For(ctx, apartInterval)
		if ctx.Err() != nil {
			return nil, failure
		}
	}
}

// Asks the candidates' schedulers for a grant at once, and then waits in the queue of the best one.
func (r *run) obtainOnce(ctx context.Context) (*holding, *retry.Failure) {
	candidates := r.candidates()
	if len(candidates) == 0 {
		return nil, noGrant(protocol.RefusalUnhealthy, 0)
	}
	best := -1
	var last protocol.Refusal
	answered := false
	for i, c := range candidates {
		if c.Direct {
			continue
		}
		g, refused, err := r.askNow(ctx, c, r.ask)
		if err != nil {
			continue
		}
		answered = true
		if g != nil {
			return r.hold(c, r.ask, g), nil
		}
		if refused.Kind == protocol.RefusalCrashing {
			return nil, noGrant(refused.Kind, 0)
		}
		if refused.Kind == protocol.RefusalBusy && (best < 0 || refused.Wait < last.Wait) {
			best, last = i, *refused
		} else if best < 0 {
			last = *refused
		}
	}
	switch {
	case !answered:
		return r.direct(candidates[0]), nil
	case best < 0:
		return nil, noGrant(last.Kind, last.RetryAfter)
	}
	return r.wait(ctx, candidates[best])
}

func (r *run) candidates() []routing.Candidate {
	view := r.d.Fleet.View()
	r.ask.TimeLeft = time.Until(r.job.Deadline)
	candidates := r.d.Router.Candidates(time.Now(), view, r.ask, r.exclude)
	if len(candidates) == 0 && len(r.exclude) > 0 {
		// Every backend server has failed this request once; those that have recovered may try again.
		r.exclude = nil
		candidates = r.d.Router.Candidates(time.Now(), view, r.ask, nil)
	}
	return candidates
}

func (r *run) wait(ctx context.Context, c routing.Candidate) (*holding, *retry.Failure) {
	ask := r.ask
	ask.Queue = true
	g, refused, err := r.askOne(ctx, c, ask)
	switch {
	case err != nil:
		return nil, noGrant(protocol.RefusalNotOwner, 0)
	case refused != nil:
		return nil, noGrant(refused.Kind, refused.RetryAfter)
	}
	return r.hold(c, r.ask, g), nil
}

// Asks for a decision at once.
func (r *run) askNow(ctx context.Context, c routing.Candidate, ask protocol.Ask) (*protocol.Grant, *protocol.Refusal, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return r.askOne(ctx, c, ask)
}

func (r *run) askOne(ctx context.Context, c routing.Candidate, ask protocol.Ask) (*protocol.Grant, *protocol.Refusal, error) {
	ask.Server = c.Server
	ask.TimeLeft = time.Until(r.job.Deadline)
	ask.Suspect = r.alone || r.verdict() == suspect.Suspected
	g, refused, err := r.d.Schedulers.Ask(ctx, c.Scheduler, ask)
	if err != nil {
		// The scheduler may have given a grant whose answer was lost.
		r.d.Schedulers.Finish(c.Scheduler, protocol.Finish{ID: ask.ID, Server: c.Server})
	}
	return g, refused, err
}

func (r *run) hold(c routing.Candidate, ask protocol.Ask, g *protocol.Grant) *holding {
	x := newHolding(c.Server, ask, g.Expiry)
	x.scheduler = c.Scheduler
	x.epoch = g.Epoch
	r.d.holdings.add(x)
	return x
}

// Runs without a grant, since no scheduler answers.
func (r *run) direct(c routing.Candidate) *holding {
	r.d.Metrics.Counter("attempts_without_grant").Inc(1)
	x := newHolding(c.Server, r.ask, min(directExpiry, time.Until(r.job.Deadline)))
	r.d.holdings.add(x)
	return x
}

func newHolding(server string, ask protocol.Ask, expiry time.Duration) *holding {
	return &holding{
		server: server,
		expiry: time.Now().Add(expiry),
		held: protocol.Held{
			ID: ask.ID, Workspace: ask.Workspace, Model: ask.Model,
			PromptTokens: ask.PromptTokens, OutputTokens: ask.OutputTokens, Bytes: ask.Bytes,
			Prefilling: true,
		},
	}
}

// Gives a grant back to the scheduler that it came from.
func (r *run) finish(x *holding, fin protocol.Finish) {
	r.d.holdings.remove(x)
	if x.scheduler.Name == "" {
		return
	}
	fin.ID = x.held.ID
	fin.Server = x.server
	r.d.Schedulers.Finish(x.scheduler, fin)
}

func noGrant(kind protocol.RefusalKind, retryAfter time.Duration) *retry.Failure {
	return &retry.Failure{Kind: retry.KindNoGrant, Grant: kind, RetryAfter: retryAfter}
}

// Reports whether a backend server whose capacity is known could hold the prompt and its output, or none is known.
func fitsOne(view *fleet.View, ask protocol.Ask) bool {
	known := false
	for i := range view.Entries {
		row := &view.Entries[i].Row
		if row.CapacityBytes > 0 && (ask.PromptTokens+ask.OutputTokens)*row.BytesPerToken <= row.CapacityBytes {
			return true
		}
		known = known || row.CapacityBytes > 0
	}
	return !known
}
