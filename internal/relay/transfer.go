package relay

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// How much later than predicted the first event may come before its server is taken as silent.
	firstSlack = 1000 * time.Millisecond
	// The shortest silence in a stream after which its server is taken as silent.
	minGap = 1000 * time.Millisecond
	// The shortest silence before the answer to a plain call that may run again.
	minPlainSilence = 500 * time.Millisecond
	plainAims       = 5 // silence before such an answer, in aims
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

func (t *transfer) ask() (planner.Answer, error) {
	c := t.call
	now := steady.Now()
	passed := now.Sub(c.Received)
	likely := c.OutputHint
	if likely == 0 || likely > c.OutputTokens {
		likely = c.OutputTokens
	}
	firstAim := c.FirstAim - passed
	maxPause := callerPause(c)
	leave := maxPause - passed
	if t.events.count > 0 {
		firstAim = c.GapAim
		leave = maxPause - now.Sub(t.passed)
	}
	if c.PromptTokens == 0 {
		leave = 0
	}
	a := planner.Ask{
		ID:           strconv.FormatUint(t.relay.asks.Add(1), 36),
		Service:      c.Service,
		PromptTokens: c.PromptTokens,
		OutputTokens: c.OutputTokens,
		LikelyTokens: likely,
		FirstAim:     firstAim,
		GapAim:       c.GapAim,
		Deadline:     c.Deadline().Sub(now),
		Rank:         c.Rank,
		Avoid:        t.avoid,
		Fingerprint:  t.hash,
		Leave:        leave,
		MaxPause:     maxPause,
	}
	placed, err := t.relay.Desk.Ask(t.ctx, a)
	t.relay.Meters.Timer("planning").Record(steady.Now().Sub(now))
	if err != nil {
		return placed, err
	}
	if p := placed.Plan; p != nil {
		t.relay.Log.Event("request_planned", slog.String("request_id", c.ID), slog.String("route", c.Route),
			slog.String("replica", p.Replica.ID), slog.String("helpers", helperNames(p.Helpers)),
			eventlog.Milliseconds("first_ms", p.First), eventlog.Milliseconds("pass_ms", p.Pass),
			eventlog.Milliseconds("asked_for_ms", steady.Now().Sub(now)), slog.Int("prompt_tokens", c.PromptTokens),
			slog.Int64("config_version", c.ConfigSeen))
	}
	return placed, nil
}

// callerPause returns after which pause, also before the first event, callers leave a stream.
func callerPause(c *call.Call) time.Duration {
	const (
		shortest = 2 * time.Second
		aims     = 4
		gaps     = 8
	)
	return max(shortest, aims*c.FirstAim, gaps*c.GapAim)
}

func helperNames(helpers []planner.Helper) string {
	names := make([]string, 0, len(helpers))
	for _, h := range helpers {
		names = append(names, h.Replica)
	}
	return strings.Join(names, " ")
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

// patience returns how much longer to wait after a silence; 0 means that the call is sent to another server. Silence alone
// doesn't end a call that can't be sent again.
func (t *transfer) patience(id string) time.Duration {
	if wait := t.relay.Desk.Patience(t.ctx, id); wait > 0 {
		return wait
	}
	if !t.progress.mayRepeat() || !t.pay() {
		return minGap
	}
	return 0
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

// silence returns how long nothing may come before the answer's first bytes.
func (t *transfer) silence(plan *planner.Plan) time.Duration {
	switch {
	case t.call.Repeat == call.RepeatNever:
		return 0
	case t.call.Stream:
		return plan.First + firstSlack
	default:
		return max(plainAims*t.call.FirstAim, minPlainSilence)
	}
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
	for name, values := range a.reply.Header {
		h[name] = values
	}
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
	for name, values := range reply.Header {
		h[name] = values
	}
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

// refused answers a call for which the planner has no server.
func (t *transfer) refused(r *planner.Refusal) {
	t.relay.Meters.Tagged(map[string]string{"cause": string(r.Cause)}).Counter("refusals").Inc(1)
	t.relay.end(t.call, "refused", slog.String("cause", string(r.Cause)),
		eventlog.Milliseconds("retry_after_ms", r.RetryAfter), slog.Bool("ran", t.progress.ran()))
	switch {
	case t.began:
		panic(http.ErrAbortHandler)
	case t.failure != nil:
		t.pass(t.failure)
	case t.progress.ran():
		t.relay.Fail(t.writer, t.call.ID, http.StatusBadGateway, string(r.Cause))
	default:
		t.relay.Refuse(t.writer, t.call.ID, r.RetryAfter, string(r.Cause))
	}
}

// fail answers a call that is not sent again.
func (t *transfer) fail(o planner.Outcome) {
	t.relay.end(t.call, "failed", slog.String("cause", string(o)), slog.Int("runs", t.progress.runs),
		slog.Int("refusals", t.progress.refusals))
	switch {
	case t.began:
		panic(http.ErrAbortHandler)
	case t.failure != nil:
		t.pass(t.failure)
	case t.progress.ran():
		t.relay.Fail(t.writer, t.call.ID, http.StatusBadGateway, string(o))
	default:
		t.relay.Refuse(t.writer, t.call.ID, refusedRetry, string(o))
	}
}

// refusedRetry is when a caller may come back whose call several servers refused.
const refusedRetry = 300 * time.Millisecond

// giveUp answers a call whose deadline has passed, or ends one whose caller has left.
func (t *transfer) giveUp() {
	if t.client.Err() != nil {
		t.relay.end(t.call, "canceled", slog.Bool("ran", t.progress.ran()), slog.Int("events", t.events.count))
		panic(http.ErrAbortHandler)
	}
	t.relay.end(t.call, "timeout", slog.Bool("ran", t.progress.ran()), slog.Int("events", t.events.count))
	switch {
	case t.began:
		panic(http.ErrAbortHandler)
	case t.failure != nil:
		t.pass(t.failure)
	case t.progress.ran():
		t.relay.Fail(t.writer, t.call.ID, http.StatusGatewayTimeout, "timeout")
	default:
		t.relay.Refuse(t.writer, t.call.ID, refusedRetry, "timeout")
	}
}
