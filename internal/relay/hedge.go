package relay

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/planner"
)

// standbyPollInterval is how often a transfer whose server is silent looks whether its standby has begun.
const standbyPollInterval = 20 * time.Millisecond

// standby is an attempt at another server that is begun while the server of the current attempt is silent. Silence
// alone says nothing about the current server, so the transfer goes on with whichever server gets further first, and the
// current attempt isn't given up for a standby that fails. Once an event of the standby is forwarded, the current attempt
// can't follow it, since the events of two runs needn't fit together.
type standby struct {
	cancel  context.CancelFunc
	result  chan standbyResult // without a buffer: an attempt that isn't received is canceled
	claimed atomic.Bool        // by run, which then sends the call, or by cancelStandby, after which it isn't sent
}

// standbyResult is how a standby began. Without an error and a refusal, its first event or complete response has come.
type standbyResult struct {
	attempt *attempt
	refusal *planner.Refusal
	outcome planner.Outcome
	err     error
}

// begun reports whether the first event or the complete response has come.
func (r *standbyResult) begun() bool { return r.err == nil && r.refusal == nil }

// startStandby begins an attempt at another server than that of the current attempt.
func (t *transfer) startStandby(current *attempt) {
	ctx, cancel := context.WithCancel(t.ctx)
	s := &standby{cancel: cancel, result: make(chan standbyResult)}
	t.standby = s
	req := t.placementRequest()
	req.ExcludedReplicas = append(req.ExcludedReplicas, current.placement.Plan.Replica.ID)
	template := attempt{relay: t.relay, call: t.call, resume: t.events.forwarded > 0, lastEvent: t.events.lastID}
	t.relay.Metrics.Counter("standbys").Inc(1)
	t.relay.Log.Event("standby_started", slog.String("request_id", t.call.ID),
		slog.String("silent_replica", current.placement.Plan.Replica.ID), slog.Int("events", t.events.forwarded))
	go s.run(ctx, template, req)
}

// run places and begins the attempt and hands over the result. If ctx ends before, it ends the attempt.
func (s *standby) run(ctx context.Context, template attempt, req planner.Request) {
	a := &template
	placement, err := a.relay.place(ctx, a.call, req)
	if err != nil {
		return
	}
	result := standbyResult{attempt: a, refusal: placement.Refusal}
	if placement.Plan != nil {
		a.placement = placement
		if !s.claimed.CompareAndSwap(false, true) {
			a.end(planner.OutcomeCanceled)
			return
		}
		result.outcome, result.err = a.beginBody(ctx)
	}
	if result.err != nil {
		a.end(result.outcome)
	}
	select {
	case s.result <- result:
	case <-ctx.Done():
		if result.begun() {
			a.end(planner.OutcomeCanceled)
		}
	}
}

// beginBody begins the attempt and waits for the first event or for the complete response, if that isn't a stream.
func (a *attempt) beginBody(ctx context.Context) (planner.Outcome, error) {
	if outcome, err := a.begin(ctx, 0, nil); err != nil {
		return outcome, err
	}
	if !a.isStream() {
		return a.readResponse(ctx)
	}
	buffer := make([]byte, readBufferSize)
	for !bytes.Contains(a.start, eventEnd) {
		n, err := a.exchange.Read(buffer)
		a.start = append(a.start, buffer[:n]...)
		switch {
		case errors.Is(err, io.EOF) && len(a.start) == 0:
			return "", nil // a stream without events
		case err != nil:
			failure := a.exchange.ReadError(ctx, err)
			return outcomeOf(failure), failure
		case len(a.start) > maxEventBytes:
			return planner.OutcomeBroken, errors.Errorf("event longer than %d bytes", maxEventBytes)
		}
	}
	return "", nil
}

// poll returns the result of the standby and true if there is one.
func (s *standby) poll() (standbyResult, bool) {
	select {
	case r := <-s.result:
		return r, true
	default:
		return standbyResult{}, false
	}
}

// cancelStandby ends the standby, if there is one, since the current server sends again. The standby counts as a run if
// the call may have reached its server.
func (t *transfer) cancelStandby() {
	s := t.standby
	if s == nil {
		return
	}
	t.standby = nil
	s.cancel()
	if s.claimed.Swap(true) {
		t.progress.record(planner.OutcomeCanceled)
		t.retryGranted = false
	}
	t.relay.Log.Event("standby_canceled", slog.String("request_id", t.call.ID))
}

// awaitStandby waits for the standby and returns its attempt, since the current attempt has failed. It returns nil if the
// standby failed or the context ends.
func (t *transfer) awaitStandby() *attempt {
	if t.begun == nil {
		select {
		case r := <-t.standby.result:
			t.takeStandbyResult(r)
		case <-t.ctx.Done():
			return nil
		}
	}
	a := t.begun
	t.standby, t.begun = nil, nil
	return a
}

// takeStandbyResult keeps the attempt of a standby that has begun, and records one that failed. If the standby was
// refused, the retry that the budget has granted is left for another one.
func (t *transfer) takeStandbyResult(r standbyResult) {
	switch {
	case r.refusal != nil:
		t.standby = nil
	case r.err != nil:
		t.standby = nil
		t.retryGranted = false
		t.recordFailure(r.attempt, r.outcome, r.err)
	default:
		t.retryGranted = false
		t.begun = r.attempt
	}
}

// closeStandby ends a standby that the transfer doesn't need any more.
func (t *transfer) closeStandby() {
	if a := t.begun; a != nil {
		t.standby, t.begun = nil, nil
		a.end(planner.OutcomeCanceled)
	}
	t.cancelStandby()
}
