package relay

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"strconv"
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
	// The largest priority number, and so the least urgent, that is sent to engines; larger ones are sent as this one.
	maxPriority = 9
)

// transfer forwards one call and its response over all attempts.
type transfer struct {
	relay            *Relay
	call             *call.Call
	writer           http.ResponseWriter
	callerCtx        context.Context // ends when the caller disconnects
	ctx              context.Context // ends with callerCtx and shortly before the deadline
	progress         progress
	events           eventFilter   // spans the attempts, so that a resumed stream repeats no event
	fingerprint      uint64        // equal for calls that do the same work; recognizes those that crash replicas
	excludedReplicas []string      // IDs of replicas at which an attempt did not complete the call
	headWritten      bool          // the head of the response has been written to the caller
	retryGranted     bool          // the budget has granted the next retry
	serverFailure    *response     // last response with a 5xx status; forwarded if the call isn't completed
	firstEventDelay  time.Duration // from receipt of the call to the first event or the complete response; 0 before
	lastForwarded    time.Time     // when the last events were forwarded; zero before the first
	longestPause     time.Duration // longest pause between forwarded events
	pause            time.Duration // that the server of the current attempt has asked this host for
}

// response is a server's complete response that isn't a stream.
type response struct {
	head *backend.ResponseHead
	body []byte
}

// run makes attempts until one completes, the call may not be retried or the context ends.
func (t *transfer) run() {
	for {
		result, err := t.requestPlacement()
		switch {
		case err != nil:
			t.finishExpired()
			return
		case result.Refusal != nil:
			t.finishRefused(result.Refusal)
			return
		}
		if !t.mayReceive(result.Plan.Replica) {
			t.relay.PlannerClient.Ended(result.ID, planner.OutcomeCanceled, 0)
			t.excludedReplicas = append(t.excludedReplicas, result.Plan.Replica.ID)
			continue
		}
		t.pause = 0
		outcome, err := t.attempt(result)
		t.relay.PlannerClient.Ended(result.ID, outcome, t.pause)
		t.progress.record(outcome)
		t.relay.Metrics.Tagged(map[string]string{"outcome": string(outcome)}).Counter("attempts").Inc(1)
		if outcome == planner.OutcomeCompleted {
			t.recordTimings()
			t.relay.recordEnd(t.call, "completed", slog.String("replica", result.Plan.Replica.ID),
				eventlog.Milliseconds("first_ms", t.firstEventDelay), eventlog.Milliseconds("gap_ms", t.longestPause),
				slog.Int("events", t.events.forwarded))
			return
		}
		t.logAttempt(result, outcome, err)
		if t.ctx.Err() != nil {
			t.finishExpired()
			return
		}
		t.excludedReplicas = append(t.excludedReplicas, result.Plan.Replica.ID)
		if !t.progress.mayRetry(outcome) || !t.takeRetry() {
			t.finishFailed(outcome)
			return
		}
		t.retryGranted = false
	}
}

// mayReceive reports whether the call may be sent to r: r doesn't leave and hasn't asked this host for a pause. The
// planner may not know that yet.
func (t *transfer) mayReceive(r replica.Replica) bool {
	return !t.relay.PlannerClient.IsLeaving(r) && !t.relay.pauses.Paused(steady.Now(), r)
}

// noteRequests takes over what the head of a response from r says about further requests to r.
func (t *transfer) noteRequests(r replica.Replica, head *backend.ResponseHead) {
	if head.Leaving {
		t.relay.PlannerClient.Leaving(r)
	}
	if head.Pause > 0 {
		t.pause = head.Pause
		now := steady.Now()
		t.relay.pauses.Add(now, r, now.Add(head.Pause))
		t.relay.Log.Event("replica_asks_for_pause", slog.String("replica", r.ID), slog.String("request_id", t.call.ID),
			eventlog.Milliseconds("retry_after_ms", head.Pause))
	}
}

func (t *transfer) logAttempt(result planner.Result, outcome planner.Outcome, err error) {
	fields := []slog.Attr{
		slog.String("request_id", t.call.ID),
		slog.String("replica", result.Plan.Replica.ID),
		slog.String("outcome", string(outcome)),
		slog.Int("runs", t.progress.runs),
		slog.Int("refusals", t.progress.notRun),
		slog.Int("events", t.events.forwarded),
		eventlog.Milliseconds("left_ms", t.call.Deadline().Sub(steady.Now())),
		slog.String("prompt_parts", partNames(t.call.PromptParts)),
	}
	if err != nil {
		fields = append(fields, slog.String("error", err.Error()))
	}
	t.relay.Log.Event("attempt_ended", fields...)
}

// attempt sends the call to a server once and forwards the response.
func (t *transfer) attempt(result planner.Result) (planner.Outcome, error) {
	plan := result.Plan
	a := &backend.Attempt{
		Replica:   plan.Replica,
		TimeLeft:  t.call.Deadline().Sub(steady.Now()),
		Resume:    t.events.forwarded > 0,
		LastEvent: t.events.lastID,
		Priority:  min(t.call.Priority, maxPriority),
	}
	releaseAll, err := t.reserveAtHelpers(plan, a)
	defer releaseAll()
	if err != nil {
		return planner.OutcomeRefused, err
	}
	extraWait := func() time.Duration { return t.extraWait(result.ID) }
	x, err := t.relay.Pool.Open(t.ctx, t.call, a, t.initialMaxSilence(plan), extraWait)
	if err != nil {
		return outcomeOf(err), err
	}
	defer x.Abort()
	t.noteRequests(plan.Replica, x.Head)
	switch {
	case x.Head.NotRun:
		_, err := x.ReadAll(t.ctx, maxResponseBytes)
		if err == nil {
			x.Finish()
		}
		return planner.OutcomeRefused, errors.Errorf("status %d", x.Head.Status)
	case !x.Head.Valid:
		return planner.OutcomeBroken, errors.Errorf("status %d: not a valid response of a backend server", x.Head.Status)
	case t.call.Stream && x.Head.Status < http.StatusMultipleChoices:
		return t.forwardStream(x, result.ID)
	default:
		return t.forwardResponse(x)
	}
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

// outcomeOf returns the outcome of an attempt that ended with err.
func outcomeOf(err error) planner.Outcome {
	var failure *backend.Error
	if !errors.As(err, &failure) {
		return planner.OutcomeBroken
	}
	switch failure.Kind {
	case backend.KindUnreachable:
		return planner.OutcomeUnreachable
	case backend.KindSilent:
		return planner.OutcomeSilent
	case backend.KindCanceled:
		return planner.OutcomeCanceled
	default:
		return planner.OutcomeBroken
	}
}

// forwardResponse reads a complete response that isn't a stream and then forwards it. It keeps a response with a 5xx
// status, instead of forwarding it, for the case that the call isn't completed. It drops any other response if a stream
// has begun.
func (t *transfer) forwardResponse(x *backend.Exchange) (planner.Outcome, error) {
	body, err := x.ReadAll(t.ctx, maxResponseBytes)
	if err != nil {
		return outcomeOf(err), err
	}
	x.Finish()
	resp := &response{head: x.Head, body: body}
	if x.Head.Status >= http.StatusInternalServerError {
		t.serverFailure = resp
		return planner.OutcomeFailed, errors.Errorf("status %d", x.Head.Status)
	}
	if t.headWritten {
		return planner.OutcomeFailed, errors.Errorf("status %d: not a stream, but a stream has begun", x.Head.Status)
	}
	t.firstEventDelay = steady.Now().Sub(t.call.Received)
	t.writeResponse(resp)
	return planner.OutcomeCompleted, nil
}

// writeResponse writes a server's complete response to the caller.
func (t *transfer) writeResponse(resp *response) {
	h := t.writer.Header()
	maps.Copy(h, resp.head.Header)
	if t.call.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	t.headWritten = true
	t.writer.WriteHeader(resp.head.Status)
	// If the caller has disconnected, its context ends; a write error needs no handling here.
	_, _ = t.writer.Write(resp.body)
}

// forwardStream forwards complete events as they arrive. The silence limit between events applies only to a stream that
// can be resumed at another server.
func (t *transfer) forwardStream(x *backend.Exchange, placementID string) (planner.Outcome, error) {
	t.events.discardPending()
	maxSilence := time.Duration(0)
	if t.call.RetryMode == call.RetryResume {
		maxSilence = max(minStreamSilence, t.call.PauseTarget)
	}
	buffer := make([]byte, 2<<10)
	started := false
	for {
		n, err := x.Read(buffer)
		complete, filterErr := t.events.add(buffer[:n])
		if len(complete) > 0 {
			if !started {
				started = true
				t.recordFirstEvent(placementID)
			}
			x.SetMaxSilence(maxSilence)
			if err := t.forwardEvents(x.Head, complete); err != nil {
				return planner.OutcomeCanceled, err
			}
		}
		switch {
		case filterErr != nil:
			return planner.OutcomeBroken, filterErr
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
	if t.headWritten {
		return
	}
	h := t.writer.Header()
	maps.Copy(h, head.Header)
	h.Del("Content-Length")
	t.headWritten = true
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
