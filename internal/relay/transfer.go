package relay

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// Limit of the response to a non-streaming call, in bytes.
	maxResponseBytes = 8 << 20
	// Size of the buffer for the events of a stream, in bytes.
	readBufferSize = 2 << 10
	// The largest priority number, and so the least urgent, that is sent to engines; larger ones are sent as this one.
	maxPriority = 9
)

// transfer forwards one call and its response over all attempts.
type transfer struct {
	relay           *Relay
	call            *call.Call
	writer          http.ResponseWriter
	callerCtx       context.Context // ends when the caller disconnects
	ctx             context.Context // ends with callerCtx and shortly before the deadline
	progress        progress
	events          eventFilter       // spans the attempts, so that a resumed stream repeats no event
	pending         pendingMemory     // of events
	fingerprint     uint64            // equal for calls that do the same work; recognizes those that crash replicas
	tried           []replica.Replica // at which an attempt did not complete the call
	headWritten     atomic.Bool       // the head of the response has been written to the caller
	retryGranted    bool              // the budget has granted the next retry
	serverFailure   *response         // last response with a 5xx status; forwarded if the call isn't completed
	firstEventDelay time.Duration     // from receipt of the call to the first event or the complete response; 0 before
	lastForwarded   time.Time         // when the last events were forwarded; zero before the first
	longestPause    time.Duration     // longest pause between forwarded events
	hedge           *hedge            // attempt at another server while the current one is silent; nil if there is none
	hedgeAttempt    *attempt          // that of the hedge, once it has begun; nil before
	lastFailure     planner.Outcome   // of the attempt that failed last
}

// response is a server's complete response that isn't a stream.
type response struct {
	head *backend.ResponseHead
	body []byte
}

// isFailure reports whether the status is a 5xx one.
func (r *response) isFailure() bool { return r.head.Status >= http.StatusInternalServerError }

// promisesNotRun reports whether callers take the status for a promise that the call has not run and never will.
func (r *response) promisesNotRun() bool {
	switch r.head.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// run makes attempts until one completes, the call may not be retried or the context ends.
func (t *transfer) run() {
	defer t.pending.release()
	defer t.closeHedge()
	for {
		a := t.nextAttempt()
		if a == nil {
			return
		}
		outcome, err := t.makeAttempt(a)
		if outcome == planner.OutcomeCompleted {
			t.finishCompleted(a)
			return
		}
		t.recordFailure(a, outcome, err)
		if t.ctx.Err() != nil {
			t.finishExpired()
			return
		}
		if t.hedge == nil && !t.mayRetry() {
			return
		}
	}
}

// mayRetry reports whether the call may be sent once more. If not, it ends the call.
func (t *transfer) mayRetry() bool {
	switch {
	case !t.progress.mayRetry(t.lastFailure):
		t.finishFailed(t.lastFailure, "attempts")
	case !t.takeRetry():
		t.finishFailed(t.lastFailure, "budget")
	default:
		return true
	}
	return false
}

// nextAttempt returns the attempt of the hedge, if there is one that begins, or otherwise a new one that the planner
// has placed. It ends the call and returns nil if there is neither.
func (t *transfer) nextAttempt() *attempt {
	if t.hedge != nil {
		if a := t.awaitHedge(); a != nil {
			a.exchange.SetMaxSilence(maxSilenceOf(t.call, a.placement.Plan))
			a.exchange.SetExtraWait(func(reachable bool) time.Duration { return t.onSilence(a, reachable) })
			return a
		}
		if t.ctx.Err() != nil {
			t.finishExpired()
			return nil
		}
		if !t.mayRetry() {
			return nil
		}
	}
	a := t.newAttempt()
	placement, err := t.relay.place(t.ctx, t.call, t.placementRequest(a))
	switch {
	case err != nil:
		t.finishExpired()
		return nil
	case placement.Refusal != nil:
		t.finishRefused(placement.Refusal)
		return nil
	}
	t.retryGranted = false
	a.placement = placement
	return a
}

// newAttempt returns an attempt without a placement.
func (t *transfer) newAttempt() *attempt {
	return &attempt{
		relay: t.relay, call: t.call, resume: t.events.forwarded > 0, lastEvent: t.events.lastID, tried: slices.Clone(t.tried),
		pending: pendingMemory{payloads: t.relay.Payloads},
	}
}

// countAttempt counts the outcome of an attempt.
func (t *transfer) countAttempt(outcome planner.Outcome) {
	t.progress.record(outcome)
	t.relay.Metrics.Tagged(map[string]string{"outcome": string(outcome)}).Counter("attempts").Inc(1)
}

// recordFailure records an attempt that did not complete the call.
func (t *transfer) recordFailure(a *attempt, outcome planner.Outcome, err error) {
	t.countAttempt(outcome)
	t.logAttempt(a, outcome, err)
	t.lastFailure = outcome
	if outcome == planner.OutcomeUnreachable || a.withdrawn {
		t.retryGranted = true // no server has got the call, so the next attempt takes its place
	}
	t.tried = append(t.tried, a.unusable())
	if outcome == planner.OutcomeFailed && a.response != nil && a.response.isFailure() {
		t.serverFailure = a.response
	}
}

func (t *transfer) logAttempt(a *attempt, outcome planner.Outcome, err error) {
	fields := []slog.Attr{
		slog.String("request_id", t.call.ID),
		slog.String("replica", a.placement.Plan.Replica.ID),
		slog.String("through", a.through()),
		slog.String("outcome", string(outcome)),
		slog.Int("runs", t.progress.runs),
		slog.Int("refusals", t.progress.refused),
		slog.Int("unreachable", t.progress.unreachable),
		slog.Int("events", t.events.forwarded),
		eventlog.Milliseconds("left_ms", t.call.Deadline().Sub(steady.Now())),
		slog.String("prompt_parts", partNames(t.call.PromptParts)),
	}
	if err != nil {
		fields = append(fields, slog.String("error", err.Error()))
	}
	if sent := a.transmission(err); sent.Local != "" {
		fields = append(fields, slog.String("connection", sent.Local), slog.Bool("reused", sent.Reused),
			slog.Int64("written_bytes", sent.Written))
	}
	t.relay.Log.Event("attempt_ended", fields...)
}

// makeAttempt makes an attempt and ends it, also if forwarding the response panics.
func (t *transfer) makeAttempt(a *attempt) (outcome planner.Outcome, err error) {
	outcome = planner.OutcomeCanceled
	defer func() { a.end(outcome) }()
	return t.forward(a)
}

// forward begins an attempt, unless it has begun as a hedge, and forwards the response.
func (t *transfer) forward(a *attempt) (planner.Outcome, error) {
	if a.exchange == nil {
		extraWait := func(reachable bool) time.Duration { return t.onSilence(a, reachable) }
		if outcome, err := a.begin(t.ctx, maxSilenceOf(t.call, a.placement.Plan), extraWait); err != nil {
			return outcome, err
		}
	}
	if a.isStream() {
		return t.forwardStream(a)
	}
	return t.forwardResponse(a)
}

// takeRetry takes a retry from the service's budget and reports whether it was granted. Further calls before the next
// attempt take no more.
func (t *transfer) takeRetry() bool {
	if !t.retryGranted && !t.relay.Budget.TryTake(steady.Now(), t.call.Service) {
		t.relay.Metrics.Counter("retries_over_budget").Inc(1)
		return false
	}
	t.retryGranted = true
	return true
}

// forwardResponse reads a complete response that isn't a stream and then forwards it. A response with a 5xx status is a
// failure, which is kept for the case that the call isn't completed. It drops any other response if a stream has begun.
func (t *transfer) forwardResponse(a *attempt) (planner.Outcome, error) {
	if outcome, err := a.readResponse(t.ctx); err != nil {
		return outcome, err
	}
	if t.headWritten.Load() {
		return planner.OutcomeFailed,
			errors.Errorf("status %d: not a stream, but a stream has begun", a.exchange.Head.Status)
	}
	t.firstEventDelay = steady.Now().Sub(t.call.Received)
	t.writeResponse(a.response)
	return planner.OutcomeCompleted, nil
}

// writeResponse writes a server's complete response to the caller. The server may have run the call. If that must not be
// repeated, a status by which the caller would send it again is replaced by one that promises nothing.
func (t *transfer) writeResponse(resp *response) {
	if t.call.RetryMode == call.RetryNever && resp.promisesNotRun() {
		t.relay.Log.Event("response_replaced", slog.String("request_id", t.call.ID), slog.Int("status", resp.head.Status))
		t.headWritten.Store(true)
		t.relay.Fail(t.writer, t.call.ID, http.StatusBadGateway, "may have run")
		return
	}
	h := t.writer.Header()
	maps.Copy(h, resp.head.Header)
	if t.call.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	t.headWritten.Store(true)
	t.writer.WriteHeader(resp.head.Status)
	// If the caller has disconnected, its context ends; a write error needs no handling here.
	_, _ = t.writer.Write(resp.body)
}

// forwardStream forwards complete events as they arrive. The silence limit between events applies only to a stream that
// can be resumed at another server.
func (t *transfer) forwardStream(a *attempt) (planner.Outcome, error) {
	x := a.exchange
	t.events.begin(a.resume)
	maxSilence := time.Duration(0)
	if t.call.RetryMode == call.RetryResume {
		maxSilence = max(minStreamSilence, t.call.PauseTarget)
	}
	buffer := make([]byte, readBufferSize)
	started := false
	for {
		n, err := a.Read(buffer)
		if t.hedgeAttempt != nil {
			// What came with the error is later than the event after which the hedge has resumed the stream.
			return planner.OutcomeSilent, a.exchange.ReadError(t.ctx, err)
		}
		steps := t.events.steps
		complete, filterErr := t.events.add(buffer[:n])
		memoryErr := t.pending.resize(t.events.pendingBytes())
		further := t.events.steps > steps
		if !t.events.resumable() {
			t.progress.retryMode = call.RetryNever
		}
		if further {
			if !started {
				started = true
				t.recordFirstEvent(a.placement.ID)
			}
			t.cancelHedge()
		}
		if len(complete) > 0 {
			if err := t.forwardEvents(x.Head, complete); err != nil {
				return planner.OutcomeCanceled, err
			}
		}
		if further {
			x.SetMaxSilence(maxSilence) // after the write, which a slow caller may hold up
		}
		switch {
		case filterErr != nil:
			return planner.OutcomeBroken, filterErr
		case memoryErr != nil:
			return outcomeOf(memoryErr), memoryErr
		case errors.Is(err, io.EOF) && t.events.complete():
			t.writeStreamHead(x.Head)
			x.Finish()
			return planner.OutcomeCompleted, nil
		case err != nil:
			failure := x.ReadError(t.ctx, err)
			return outcomeOf(failure), failure
		}
	}
}

// recordFirstEvent records the delay of the call's first event and reports to the planner that the placement's first
// event has come.
func (t *transfer) recordFirstEvent(placementID string) {
	if t.firstEventDelay == 0 {
		t.firstEventDelay = steady.Now().Sub(t.call.Received)
	}
	t.relay.PlannerClient.Started(placementID)
}

// writeStreamHead writes the head of the response unless it has been written, for instance in an earlier attempt.
func (t *transfer) writeStreamHead(head *backend.ResponseHead) {
	if t.headWritten.Load() {
		return
	}
	h := t.writer.Header()
	maps.Copy(h, head.Header)
	h.Del("Content-Length")
	t.headWritten.Store(true)
	t.writer.WriteHeader(head.Status)
}

// forwardEvents writes complete events to the caller, after the head if need be, and flushes them.
func (t *transfer) forwardEvents(head *backend.ResponseHead, events []byte) error {
	now := steady.Now()
	if !t.lastForwarded.IsZero() {
		t.longestPause = max(t.longestPause, now.Sub(t.lastForwarded))
	}
	t.lastForwarded = now
	t.writeStreamHead(head)
	if _, err := t.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(t.writer).Flush()
}
