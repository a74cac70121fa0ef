package relay

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// hedgePollInterval is how often a transfer whose server is silent looks whether its hedge has begun.
const hedgePollInterval = 20 * time.Millisecond

// hedge is an attempt at another server that is begun while the server of the current attempt is silent. Silence
// alone says nothing about the current server, so the transfer goes on with whichever server gets further first, and the
// current attempt isn't given up for a hedge that fails. Once an event of the hedge is forwarded, the current attempt
// can't follow it, since the events of two runs needn't fit together.
type hedge struct {
	cancel  context.CancelFunc
	result  chan hedgeResult // without a buffer: an attempt that isn't received is canceled
	claimed atomic.Bool      // by run, which then sends the call, or by cancelHedge, after which it isn't sent
	limit   atomic.Int64     // by when it should have begun, in nanoseconds of the boot-time clock; 0 before it is placed
}

// overdue reports whether the hedge should have begun.
func (h *hedge) overdue() bool {
	limit := h.limit.Load()
	return limit != 0 && steady.Now().UnixNano() > limit
}

// hedgeResult is how a hedge began. Without an error and a refusal, its first event or complete response has come.
type hedgeResult struct {
	attempt *attempt
	refusal *planner.Refusal
	outcome planner.Outcome
	err     error
}

// hasBegun reports whether the first event or the complete response has come.
func (r *hedgeResult) hasBegun() bool { return r.err == nil && r.refusal == nil }

// startHedge begins an attempt at another server than that of the current attempt.
func (t *transfer) startHedge(current *attempt) {
	ctx, cancel := context.WithCancel(t.ctx)
	h := &hedge{cancel: cancel, result: make(chan hedgeResult)}
	t.hedge = h
	a := t.newAttempt()
	a.tried = append(a.tried, current.placement.Plan.Replica)
	req := t.placementRequest(a)
	t.relay.Metrics.Counter("hedges").Inc(1)
	t.relay.Log.Event("hedge_started", slog.String("request_id", t.call.ID),
		slog.String("silent_replica", current.placement.Plan.Replica.ID), slog.Int("events", t.events.forwarded))
	go h.run(ctx, a, req)
}

// run places and begins the attempt and hands over the result. If ctx ends before, it ends the attempt.
func (h *hedge) run(ctx context.Context, a *attempt, req planner.Request) {
	defer func() {
		if cause := recover(); cause != nil {
			h.finishPanicked(ctx, a, cause)
		}
	}()
	placement, err := a.relay.place(ctx, a.call, req)
	if err != nil {
		return
	}
	result := hedgeResult{attempt: a, refusal: placement.Refusal}
	if placement.Plan != nil {
		a.placement = placement
		if !h.claimed.CompareAndSwap(false, true) {
			a.end(planner.OutcomeCanceled)
			return
		}
		h.limit.Store(steady.Now().Add(maxSilenceOf(a.call, placement.Plan)).UnixNano())
		result.outcome, result.err = a.beginBody(ctx)
	}
	if result.err != nil {
		a.end(result.outcome)
	}
	h.handOver(ctx, result)
}

// handOver hands over the result, or ends an attempt that has begun if ctx ends before.
func (h *hedge) handOver(ctx context.Context, result hedgeResult) {
	select {
	case h.result <- result:
	case <-ctx.Done():
		if result.hasBegun() {
			result.attempt.end(planner.OutcomeCanceled)
		}
	}
}

// finishPanicked ends a hedge that has panicked. The panic would otherwise end the process, and all other requests with it.
func (h *hedge) finishPanicked(ctx context.Context, a *attempt, cause any) {
	a.relay.logPanic(a.call.ID, cause)
	if a.placement.Plan == nil {
		h.handOver(ctx, hedgeResult{attempt: a, refusal: &planner.Refusal{}})
		return
	}
	if !a.ended {
		a.end(planner.OutcomeCanceled)
	}
	h.handOver(ctx, hedgeResult{attempt: a, outcome: planner.OutcomeBroken, err: errors.Errorf("panic: %v", cause)})
}

// beginBody begins the attempt and waits for the first event or for the complete response, if that isn't a stream.
func (a *attempt) beginBody(ctx context.Context) (planner.Outcome, error) {
	if outcome, err := a.begin(ctx, 0, nil); err != nil {
		return outcome, err
	}
	if !a.isStream() {
		if a.resume {
			return planner.OutcomeFailed, errors.Errorf("status %d: can't resume a stream", a.exchange.Head.Status)
		}
		return a.readResponse(ctx)
	}
	buffer := make([]byte, readBufferSize)
	events := eventFilter{lastID: a.lastEvent, hasLastID: a.resume, resuming: a.resume}
	for events.steps == 0 {
		n, err := a.exchange.Read(buffer)
		a.start = append(a.start, buffer[:n]...)
		_, filterErr := events.add(buffer[:n])
		if memoryErr := a.pending.resize(cap(a.start) + events.pendingBytes()); memoryErr != nil {
			return outcomeOf(memoryErr), memoryErr
		}
		switch {
		case events.steps > 0:
		case errors.Is(err, io.EOF) && events.complete():
			return "", nil // a stream without events
		case filterErr != nil:
			return planner.OutcomeBroken, filterErr
		case err != nil:
			failure := a.exchange.ReadError(ctx, err)
			return outcomeOf(failure), failure
		case len(a.start) > maxEventBytes:
			return planner.OutcomeBroken, errors.Errorf("event longer than %d bytes", maxEventBytes)
		}
	}
	return "", nil
}

// poll returns the result of the hedge and true if there is one.
func (h *hedge) poll() (hedgeResult, bool) {
	select {
	case r := <-h.result:
		return r, true
	default:
		return hedgeResult{}, false
	}
}

// cancelHedge ends the hedge, if there is one, since the current server sends again. The hedge counts as a run if
// the call may have reached its server.
func (t *transfer) cancelHedge() {
	h := t.hedge
	if h == nil {
		return
	}
	t.hedge = nil
	h.cancel()
	if h.claimed.Swap(true) {
		t.progress.record(planner.OutcomeCanceled)
		t.retryGranted = false
	}
	t.relay.Log.Event("hedge_canceled", slog.String("request_id", t.call.ID))
}

// awaitHedge waits for the hedge and returns its attempt, since the current attempt has failed. It returns nil if the
// hedge failed or the context ends.
func (t *transfer) awaitHedge() *attempt {
	for t.hedgeAttempt == nil && t.hedge != nil {
		select {
		case r := <-t.hedge.result:
			t.takeHedgeResult(r)
		case <-time.After(hedgePollInterval):
			if t.hedge.overdue() && t.progress.mayRetryIfCurrentFails() {
				t.cancelHedge()
			}
		case <-t.ctx.Done():
			return nil
		}
	}
	a := t.hedgeAttempt
	t.hedge, t.hedgeAttempt = nil, nil
	return a
}

// takeHedgeResult keeps the attempt of a hedge that has begun, and records one that failed. If the hedge was
// refused, the retry that the budget has granted is left for another one.
func (t *transfer) takeHedgeResult(r hedgeResult) {
	switch {
	case r.refusal != nil:
		t.hedge = nil
	case r.err != nil:
		t.hedge = nil
		t.retryGranted = false
		t.recordFailure(r.attempt, r.outcome, r.err)
	default:
		t.retryGranted = false
		t.hedgeAttempt = r.attempt
	}
}

// closeHedge ends a hedge that the transfer doesn't need any more.
func (t *transfer) closeHedge() {
	if a := t.hedgeAttempt; a != nil {
		t.hedge, t.hedgeAttempt = nil, nil
		a.end(planner.OutcomeCanceled)
	}
	t.cancelHedge()
}
