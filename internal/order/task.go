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
	keyHeader              = "Idempotency-Key"
	refusedRetryAfter      = time.Second            // suggested to the caller if no server took the request
	ownerTimeout           = 500 * time.Millisecond // limit of a question to the owner of a claim
	peersTimeout           = 300 * time.Millisecond // limit of a question to all other hosts
	backgroundStoreTimeout = 5 * time.Second        // limit of a store call after the dispatch or the reply to the caller
)

// task is one submission in progress.
type task struct {
	request      *Request
	key          string // claim key
	machine      *claim.Machine
	replies      chan claim.Reply // receives exactly one reply
	callerCtx    context.Context  // ends at the caller's deadline or when the caller disconnects
	cancelCaller context.CancelFunc
	workCtx      context.Context // not canceled when the caller disconnects
	replied      bool            // the caller has been replied to
}

// newTask returns the task of a submission, with a claim machine that has not started.
func (r *Runner) newTask(ctx context.Context, q *Request) *task {
	deadline := q.Deadline
	if latest := r.Now().Add(r.Retention / 2); deadline.After(latest) {
		deadline = latest // no claim may expire while its request can still be sent
	}
	callerCtx, cancel := context.WithDeadline(ctx, deadline)
	return &task{
		request: q,
		key:     claim.Key(q.Workspace, q.Key),
		machine: &claim.Machine{
			Owner: claim.Owner{
				Host: r.Host.Name, Incarnation: r.Host.Incarnation,
				Request: strconv.FormatUint(r.requests.Add(1), 36),
			},
			BodyDigest:   digest(q),
			Deadline:     deadline,
			StoreTimeout: r.StoreTimeout,
		},
		replies:      make(chan claim.Reply, 1),
		callerCtx:    callerCtx,
		cancelCaller: cancel,
		workCtx:      platform.WithPriority(context.WithoutCancel(ctx), platform.PriorityClaim),
	}
}

// digest returns the hex SHA-256 digest of the parts of a request that must be equal in all submissions with one key.
func digest(q *Request) string {
	h := sha256.New()
	for _, part := range []string{q.Service, q.Method, q.Path, q.Query} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	h.Write(q.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// run executes the actions that t's claim machine returns until it returns none. The caller is replied to as soon as the
// reply is known, which may be before the outcome is written to the store.
func (r *Runner) run(t *task) {
	defer r.end(t)
	defer t.cancelCaller()
	var event claim.Event = claim.Started{}
	for event != nil {
		actions := t.machine.Step(r.Now(), event)
		event = nil
		for _, a := range actions {
			if reply, ok := a.(claim.Reply); ok {
				r.replyToCaller(t, reply)
				continue
			}
			event = r.execute(t, a)
		}
	}
}

// replyToCaller delivers the only reply to the caller. It changes the outcome of an error from not run to unknown if an
// earlier submission may have run.
func (r *Runner) replyToCaller(t *task, reply claim.Reply) {
	t.replied = true
	if reply.Err != nil && reply.Err.Outcome == outcome.NotRun && r.earlierSubmissionMayHaveRun(t, reply.Err.Kind) {
		reply.Err.Outcome = outcome.Unknown
	}
	t.replies <- reply
}

// earlierSubmissionMayHaveRun reports whether an earlier submission may have run although this one found no claim of it
// in the store. k is the kind of the error that this submission would return.
func (r *Runner) earlierSubmissionMayHaveRun(t *task, k outcome.Kind) bool {
	if t.machine.Dispatched() || t.request.NewKey || k == outcome.KindKeyReused {
		return false // the store or the key rules out that an earlier submission of this request ran
	}
	return t.request.Resend || r.sentByOtherSubmission(t.key) || r.maybeSentByPeer(t)
}

// maybeSentByPeer asks the other hosts whether one of them may have sent the request. A host that is not reached may
// have.
func (r *Runner) maybeSentByPeer(t *task) bool {
	if r.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(t.workCtx, peersTimeout)
	defer cancel()
	sent, err := r.Peers.SentElsewhere(ctx, t.key)
	return sent || err != nil
}

// execute carries out an action of the claim machine and returns the event that reports its result.
func (r *Runner) execute(t *task, a claim.Action) claim.Event {
	switch a := a.(type) {
	case claim.Swap:
		return r.swap(t, a)
	case claim.Read:
		return r.read(t)
	case claim.Dispatch:
		return r.dispatch(t)
	case claim.AskOwner:
		return r.askOwner(t, a)
	case claim.Wait:
		return r.wait(t, a.For)
	default:
		return nil
	}
}

// swap writes a record to the store by compare-and-swap under the current lease.
func (r *Runner) swap(t *task, a claim.Swap) claim.Event {
	ctx, cancel := t.storeContext()
	defer cancel()
	lease, err := r.leases.current(ctx)
	if err != nil {
		r.Metrics.Counter("store_failures").Inc(1)
		return claim.SwapFailed{}
	}
	r.Metrics.Counter("store_writes").Inc(1)
	revision, err := r.Store.CompareAndSwap(ctx, t.key, a.Record.Encode(), a.Revision, lease)
	switch platform.KindOf(err) {
	case platform.KindConflict:
		return claim.SwapConflicted{}
	case platform.KindLeaseExpired:
		r.leases.drop(lease)
		return claim.SwapFailed{}
	case platform.KindThrottled, platform.KindUnavailable, platform.KindInvalid, platform.KindNotFound:
		r.Metrics.Counter("store_failures").Inc(1)
		return claim.SwapFailed{}
	}
	if err != nil {
		r.Metrics.Counter("store_failures").Inc(1)
		return claim.SwapFailed{MayHaveApplied: true}
	}
	return claim.Swapped{Revision: revision}
}

// read reads the claim from the store.
func (r *Runner) read(t *task) claim.Event {
	ctx, cancel := t.storeContext()
	defer cancel()
	r.Metrics.Counter("store_reads").Inc(1)
	entry, err := r.Store.Get(ctx, t.key)
	if platform.KindOf(err) == platform.KindNotFound {
		return claim.NotFound{}
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

// storeContext returns the context of a store call. Before the dispatch and the reply to the caller, it ends when the
// machine refuses the request because the store does not respond; afterwards each call has a fixed time-out.
func (t *task) storeContext() (context.Context, context.CancelFunc) {
	if t.replied || t.machine.Dispatched() {
		return context.WithTimeout(t.workCtx, backgroundStoreTimeout)
	}
	return context.WithDeadline(t.workCtx, t.machine.StoreDeadline())
}

// dispatch sends the request to the service and returns the result. If the caller's deadline passes or the caller
// disconnects first, it replies to the caller that the outcome is unknown and goes on waiting for the response.
func (r *Runner) dispatch(t *task) claim.Event {
	r.markSent(t.key)
	done := make(chan claim.Event, 1)
	go func() { done <- r.call(t) }()
	select {
	case event := <-done:
		return event
	case <-t.callerCtx.Done():
	}
	for _, a := range t.machine.Step(r.Now(), claim.DeadlineReached{}) {
		if reply, ok := a.(claim.Reply); ok {
			r.replyToCaller(t, reply)
		}
	}
	return <-done
}

// call sends the request to the service and waits for the response until LateResponseTimeout after the caller's
// deadline.
func (r *Runner) call(t *task) claim.Event {
	q := t.request
	ctx, cancel := context.WithDeadline(t.workCtx, t.machine.Deadline.Add(r.LateResponseTimeout))
	defer cancel()
	header := q.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(keyHeader, q.Key)
	response, err := r.Services.Do(ctx, &service.Call{
		Service: q.Service, Method: q.Method, Path: q.Path, Query: q.Query, Header: header, Body: q.Body,
	})
	switch {
	case err == nil:
		return claim.Responded{Response: claim.Response{
			Status: response.Status, Header: response.Header,
			Body: response.Body,
		}}
	case service.MayHaveRun(err):
		r.Log.Warn("the answer of a request that must not be repeated was lost", "key", t.key, "error", err)
		return claim.ResponseLost{}
	default:
		return claim.Refused{RetryAfter: refusedRetryAfter}
	}
}

// askOwner asks the host that owns a claim whether it still works on the attempt.
func (r *Runner) askOwner(t *task, a claim.AskOwner) claim.Event {
	if a.ID.Host == r.Host.Name {
		return claim.OwnerReplied{Running: r.Running(a.ID)}
	}
	if r.Owners == nil {
		return claim.OwnerUnreachable{}
	}
	ctx, cancel := context.WithTimeout(t.workCtx, ownerTimeout)
	defer cancel()
	running, err := r.Owners.AttemptRunning(ctx, a.ID)
	if err != nil {
		return claim.OwnerUnreachable{}
	}
	return claim.OwnerReplied{Running: running}
}

// wait sleeps for d. It returns early, with claim.DeadlineReached, if the caller's deadline passes or the caller
// disconnects before it has been replied to.
func (r *Runner) wait(t *task, d time.Duration) claim.Event {
	timer := time.NewTimer(d)
	defer timer.Stop()
	if t.replied {
		<-timer.C
		return claim.WaitEnded{}
	}
	select {
	case <-timer.C:
		return claim.WaitEnded{}
	case <-t.callerCtx.Done():
		return claim.DeadlineReached{}
	}
}
