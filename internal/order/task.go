package order

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/claim"
	"github.com/turmericshunt/turmericshunt/internal/platform"
	"github.com/turmericshunt/turmericshunt/internal/service"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const (
	keyHeader     = "Idempotency-Key"
	refusedRetry  = time.Second
	ownerTimeout  = 500 * time.Millisecond
	peersTimeout  = 300 * time.Millisecond
	answerTimeout = 5 * time.Second // of a store call after the caller was answered
)

// task is one sending under way.
type task struct {
	request *Request
	key     string // of the claim
	machine *claim.Machine
	reply   chan claim.Reply
	caller  context.Context // ends at the caller's deadline, or when the caller is gone
	release context.CancelFunc
	work    context.Context // never ends before the work is done
	replied bool
}

func (r *Runner) newTask(ctx context.Context, q *Request) *task {
	deadline := q.Deadline
	if last := r.Now().Add(r.Retention / 2); deadline.After(last) {
		deadline = last // no claim may expire while its request can still be sent
	}
	caller, release := context.WithDeadline(ctx, deadline)
	return &task{
		request: q,
		key:     claim.Key(q.Workspace, q.Key),
		machine: &claim.Machine{
			Owner: claim.Owner{
				Host: r.Host.Name, Incarnation: r.Host.Incarnation,
				Request: strconv.FormatUint(r.requests.Add(1), 36),
			},
			BodyDigest: digest(q),
			Deadline:   deadline,
			Settle:     r.Settle,
		},
		reply:   make(chan claim.Reply, 1),
		caller:  caller,
		release: release,
		work:    platform.WithPriority(context.WithoutCancel(ctx), platform.PriorityClaim),
	}
}

// digest returns a digest of what a resend must repeat.
func digest(q *Request) string {
	h := sha256.New()
	for _, part := range []string{q.Service, q.Method, q.Path, q.Query} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	h.Write(q.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// work takes t through its machine; the caller is answered on the way.
func (r *Runner) work(t *task) {
	defer r.end(t)
	defer t.release()
	var event claim.Event = claim.Started{}
	for event != nil {
		actions := t.machine.Step(r.Now(), event)
		event = nil
		for _, a := range actions {
			if reply, ok := a.(claim.Reply); ok {
				r.send(t, reply)
				continue
			}
			event = r.carryOut(t, a)
		}
	}
}

// send passes the final answer on to the caller.
func (r *Runner) send(t *task, reply claim.Reply) {
	t.replied = true
	if reply.Err != nil && reply.Err.Outcome == outcome.NotRun && r.earlierMayHaveRun(t, reply.Err.Kind) {
		reply.Err.Outcome = outcome.Unknown
	}
	t.reply <- reply
}

// earlierMayHaveRun reports whether an earlier sending may have run although the store told nothing of it.
func (r *Runner) earlierMayHaveRun(t *task, k outcome.Kind) bool {
	if t.machine.Dispatched() || t.request.NewKey || k == outcome.KindKeyReused {
		return false // the store told that no earlier sending of this request runs
	}
	return t.request.Resend || r.sentByOthers(t.key) || r.maybeSentElsewhere(t)
}

// maybeSentElsewhere asks the other hosts; one that is not reached may have sent the request.
func (r *Runner) maybeSentElsewhere(t *task) bool {
	if r.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(t.work, peersTimeout)
	defer cancel()
	sent, err := r.Peers.Sent(ctx, t.key)
	return sent || err != nil
}

// carryOut does what an action orders and returns the event that answers it.
func (r *Runner) carryOut(t *task, a claim.Action) claim.Event {
	switch a := a.(type) {
	case claim.Swap:
		return r.swap(t, a)
	case claim.Read:
		return r.read(t)
	case claim.Dispatch:
		return r.dispatch(t)
	case claim.AskOwner:
		return r.ask(t, a)
	case claim.Wait:
		return r.wait(t, a.For)
	default:
		return nil
	}
}

func (r *Runner) swap(t *task, a claim.Swap) claim.Event {
	ctx, cancel := t.storeContext()
	defer cancel()
	lease, err := r.leases.current(ctx)
	if err != nil {
		r.Metrics.Counter("store_failures").Inc(1)
		return claim.SwapFailed{}
	}
	r.Metrics.Counter("store_writes").Inc(1)
	revision, err := r.Store.Swap(ctx, t.key, a.Record.Encode(), a.Revision, lease)
	switch platform.KindOf(err) {
	case platform.KindConflict:
		return claim.SwapConflicted{}
	case platform.KindLapsed:
		r.leases.drop(lease)
		return claim.SwapFailed{}
	case platform.KindThrottled, platform.KindUnavailable, platform.KindInvalid, platform.KindNotFound:
		r.Metrics.Counter("store_failures").Inc(1)
		return claim.SwapFailed{}
	}
	if err != nil {
		r.Metrics.Counter("store_failures").Inc(1)
		return claim.SwapFailed{Maybe: true}
	}
	return claim.Swapped{Revision: revision}
}

func (r *Runner) read(t *task) claim.Event {
	ctx, cancel := t.storeContext()
	defer cancel()
	r.Metrics.Counter("store_reads").Inc(1)
	entry, err := r.Store.Get(ctx, t.key)
	if platform.KindOf(err) == platform.KindNotFound {
		return claim.Missing{}
	}
	if err != nil {
		r.Metrics.Counter("store_failures").Inc(1)
		return claim.ReadFailed{}
	}
	record, err := claim.Decode(entry.Value)
	if err != nil {
		r.Log.Error("unreadable claim", "key", t.key, "error", err)
		return claim.ReadFailed{}
	}
	return claim.Found{Record: record, Revision: entry.Revision}
}

// storeContext bounds a store call by the time in which a request is refused if the store is silent.
func (t *task) storeContext() (context.Context, context.CancelFunc) {
	if t.replied || t.machine.Dispatched() {
		return context.WithTimeout(t.work, answerTimeout)
	}
	return context.WithDeadline(t.work, t.machine.SettleBy())
}

// dispatch sends the request; the caller is answered at its deadline, and a later answer is still awaited.
func (r *Runner) dispatch(t *task) claim.Event {
	r.markSent(t.key)
	done := make(chan claim.Event, 1)
	go func() { done <- r.call(t) }()
	select {
	case event := <-done:
		return event
	case <-t.caller.Done():
	}
	for _, a := range t.machine.Step(r.Now(), claim.Deadline{}) {
		if reply, ok := a.(claim.Reply); ok {
			r.send(t, reply)
		}
	}
	return <-done
}

func (r *Runner) call(t *task) claim.Event {
	q := t.request
	ctx, cancel := context.WithDeadline(t.work, t.machine.Deadline.Add(r.LateAnswers))
	defer cancel()
	header := q.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(keyHeader, q.Key)
	answer, err := r.Services.Do(ctx, &service.Call{
		Service: q.Service, Method: q.Method, Path: q.Path, Query: q.Query, Header: header, Body: q.Body,
	})
	switch {
	case err == nil:
		return claim.Answered{Answer: claim.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}}
	case service.MayHaveRun(err):
		r.Log.Warn("the answer of a request that must not be repeated was lost", "key", t.key, "error", err)
		return claim.Broke{}
	default:
		return claim.Refused{RetryAfter: refusedRetry}
	}
}

func (r *Runner) ask(t *task, a claim.AskOwner) claim.Event {
	if a.ID.Host == r.Host.Name {
		return claim.OwnerAnswered{Running: r.Running(a.ID)}
	}
	if r.Owners == nil {
		return claim.OwnerSilent{}
	}
	ctx, cancel := context.WithTimeout(t.work, ownerTimeout)
	defer cancel()
	running, err := r.Owners.Running(ctx, a.ID)
	if err != nil {
		return claim.OwnerSilent{}
	}
	return claim.OwnerAnswered{Running: running}
}

func (r *Runner) wait(t *task, d time.Duration) claim.Event {
	timer := time.NewTimer(d)
	defer timer.Stop()
	if t.replied {
		<-timer.C
		return claim.Woke{}
	}
	select {
	case <-timer.C:
		return claim.Woke{}
	case <-t.caller.Done():
		return claim.Deadline{}
	}
}
