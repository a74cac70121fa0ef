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
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// The longest answer to a plain call, in bytes.
	maxAnswer = 8 << 20
	// The most urgent rank that is passed on to engines.
	maxRank = 9
)

// transfer is one call on its way.
type transfer struct {
	relay    *Relay
	call     *call.Call
	writer   http.ResponseWriter
	client   context.Context // ends when the caller leaves
	ctx      context.Context // ends with client and at the deadline
	progress progress
	events   events
	hash     uint64 // by which a request that crashes servers is known again
	avoid    []string
	began    bool // the answer's head has been written
	paid     bool // the next repeat is taken from the budget
	failure  *answer
	first    time.Duration // from receipt to the first event
	passed   time.Time     // when the last events were passed on
	gap      time.Duration // the longest pause between events
}

// answer is a server's whole answer to a plain call.
type answer struct {
	reply *backend.Reply
	body  []byte
}

func (t *transfer) run() {
	for {
		placed, err := t.ask()
		switch {
		case err != nil:
			t.giveUp()
			return
		case placed.Refusal != nil:
			t.refused(placed.Refusal)
			return
		}
		outcome, err := t.attempt(placed)
		t.relay.Desk.Ended(placed.ID, outcome)
		t.progress.note(outcome)
		t.relay.Meters.Tagged(map[string]string{"outcome": string(outcome)}).Counter("attempts").Inc(1)
		if outcome == planner.OutcomeDone {
			t.meterAnswer()
			t.relay.end(t.call, "completed", slog.String("replica", placed.Plan.Replica.ID),
				eventlog.Milliseconds("first_ms", t.first), eventlog.Milliseconds("gap_ms", t.gap),
				slog.Int("events", t.events.count))
			return
		}
		t.logAttempt(placed, outcome, err)
		if t.ctx.Err() != nil {
			t.giveUp()
			return
		}
		t.avoid = append(t.avoid, placed.Plan.Replica.ID)
		if !t.progress.again(outcome) || !t.pay() {
			t.fail(outcome)
			return
		}
		t.paid = false
	}
}

func (t *transfer) logAttempt(placed planner.Answer, outcome planner.Outcome, err error) {
	fields := []slog.Attr{
		slog.String("request_id", t.call.ID),
		slog.String("replica", placed.Plan.Replica.ID),
		slog.String("outcome", string(outcome)),
		slog.Int("runs", t.progress.runs),
		slog.Int("refusals", t.progress.refusals),
		slog.Int("events", t.events.count),
		eventlog.Milliseconds("left_ms", t.call.Deadline().Sub(steady.Now())),
	}
	if err != nil {
		fields = append(fields, slog.String("error", err.Error()))
	}
	t.relay.Log.Event("attempt_ended", fields...)
}

// attempt sends the call once and passes the answer on.
func (t *transfer) attempt(placed planner.Answer) (planner.Outcome, error) {
	plan := placed.Plan
	a := &backend.Attempt{
		Replica:   plan.Replica,
		Left:      t.call.Deadline().Sub(steady.Now()),
		Resume:    t.events.count > 0,
		LastEvent: t.events.last,
		Rank:      min(t.call.Rank, maxRank),
	}
	free, err := t.reserve(plan, a)
	defer free()
	if err != nil {
		return planner.OutcomeRefused, err
	}
	patience := func() time.Duration { return t.patience(placed.ID) }
	x, err := t.relay.Pool.Open(t.ctx, t.call, a, t.silence(plan), patience)
	if err != nil {
		return outcomeOf(err), err
	}
	defer x.Abort()
	switch {
	case x.Reply.NotRun:
		_, err := x.ReadAll(t.ctx, maxAnswer)
		if err == nil {
			x.Done()
		}
		return planner.OutcomeRefused, errors.Errorf("status %d", x.Reply.Status)
	case !x.Reply.Whole:
		return planner.OutcomeBroken, errors.Errorf("status %d without what marks an answer", x.Reply.Status)
	case t.call.Stream && x.Reply.Status < http.StatusMultipleChoices:
		return t.stream(x, placed.ID)
	default:
		return t.plain(x)
	}
}

// pay takes a repeat from the shared budget, once for each sending.
func (t *transfer) pay() bool {
	if !t.paid && !t.relay.Budget.Take(steady.Now(), t.call.Service) {
		t.relay.Meters.Counter("retries_over_budget").Inc(1)
		return false
	}
	t.paid = true
	return true
}

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

// plain passes on an answer that isn't a stream, once all of it is here.
func (t *transfer) plain(x *backend.Exchange) (planner.Outcome, error) {
	body, err := x.ReadAll(t.ctx, maxAnswer)
	if err != nil {
		return outcomeOf(err), err
	}
	x.Done()
	a := &answer{reply: x.Reply, body: body}
	if x.Reply.Status >= http.StatusInternalServerError {
		t.failure = a
		return planner.OutcomeFailed, errors.Errorf("status %d", x.Reply.Status)
	}
	if t.began {
		return planner.OutcomeFailed, errors.Errorf("status %d where a stream goes on", x.Reply.Status)
	}
	t.first = steady.Now().Sub(t.call.Received)
	t.pass(a)
	return planner.OutcomeDone, nil
}

// pass writes a server's whole answer.
func (t *transfer) pass(a *answer) {
	h := t.writer.Header()
	maps.Copy(h, a.reply.Header)
	if t.call.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	t.began = true
	t.writer.WriteHeader(a.reply.Status)
	// A caller that has left is noticed by its context.
	_, _ = t.writer.Write(a.body)
}

// stream passes on events as they come.
func (t *transfer) stream(x *backend.Exchange, id string) (planner.Outcome, error) {
	t.events.restart()
	gap := time.Duration(0)
	if t.call.Repeat == call.RepeatResume {
		gap = max(minGap, t.call.GapAim)
	}
	buffer := make([]byte, 2<<10)
	started := false
	for {
		n, err := x.Read(buffer)
		whole, tooLong := t.events.add(buffer[:n])
		if len(whole) > 0 {
			if !started {
				started = true
				t.noteFirst(id)
				x.Silence(gap)
			}
			if err := t.passEvents(x.Reply, whole); err != nil {
				return planner.OutcomeCanceled, err
			}
		}
		switch {
		case tooLong != nil:
			return planner.OutcomeBroken, tooLong
		case errors.Is(err, io.EOF) && t.events.whole():
			t.beginStream(x.Reply)
			x.Done()
			return planner.OutcomeDone, nil
		case err != nil:
			failure := x.Failure(t.ctx, err)
			return outcomeOf(failure), failure
		}
	}
}

func (t *transfer) noteFirst(id string) {
	if t.first == 0 {
		t.first = steady.Now().Sub(t.call.Received)
	}
	t.relay.Desk.Started(id)
}

// beginStream writes the head of the answer unless an earlier attempt has.
func (t *transfer) beginStream(reply *backend.Reply) {
	if t.began {
		return
	}
	h := t.writer.Header()
	maps.Copy(h, reply.Header)
	h.Del("Content-Length")
	t.began = true
	t.writer.WriteHeader(reply.Status)
}

func (t *transfer) passEvents(reply *backend.Reply, whole []byte) error {
	now := steady.Now()
	if !t.passed.IsZero() {
		t.gap = max(t.gap, now.Sub(t.passed))
	}
	t.passed = now
	t.beginStream(reply)
	if _, err := t.writer.Write(whole); err != nil {
		return err
	}
	return http.NewResponseController(t.writer).Flush()
}
