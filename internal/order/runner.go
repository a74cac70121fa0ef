package order

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/claim"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/service"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const (
	maxKeyBytes                = 1 << 10 // largest idempotency key
	defaultRetention           = 12 * time.Hour
	defaultLateResponseTimeout = 30 * time.Second
	stoppingRetryAfter         = time.Second // suggested to callers of a host that is stopping
)

type (
	// Store is the platform's key-value store, which holds the claims. Its errors are those of package platform.
	Store interface {
		Get(ctx context.Context, key string) (platformapi.Entry, error)
		CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64, error)
		GrantLease(ctx context.Context, ttl time.Duration) (platformapi.Lease, error)
	}

	// Services sends calls to plain services. Its errors are those of package service.
	Services interface {
		Do(ctx context.Context, call *service.Call) (service.Response, error)
	}

	// Owners asks another host whether it still works on an attempt. An error means that the host was not reached.
	Owners interface {
		AttemptRunning(ctx context.Context, id protocol.AttemptID) (bool, error)
	}

	// Peers asks the other hosts whether one of them has sent the request of a claim key to a service. An error means
	// that at least one live host was not reached and that none of the hosts reached has sent the request.
	Peers interface {
		SentElsewhere(ctx context.Context, key string) (bool, error)
	}

	// Request is one submission of an order.
	Request struct {
		Workspace string
		Key       string // idempotency key
		Service   string
		Method    string
		Path      string
		Query     string // raw query, without the question mark
		Header    http.Header
		Body      []byte
		Deadline  time.Time // caller's deadline; must be set
		Resend    bool      // the caller states that it has submitted the order before
		NewKey    bool      // Key was generated for this submission, so no earlier submission has it
	}

	// Response is the response of the service, either to this submission or recorded for an earlier one.
	Response struct {
		Status   int
		Header   http.Header
		Body     []byte
		Outcome  outcome.Outcome
		Replayed bool // the response was recorded for an earlier submission
	}
)

// Runner runs orders. Its exported fields are set before the first call of Do.
type Runner struct {
	Store               Store
	Services            Services
	Owners              Owners // nil: owners on other hosts count as unreachable
	Peers               Peers  // nil: no other host is asked
	Host                protocol.Host
	Now                 func() time.Time // nil: time.Now
	Metrics             tally.Scope      // nil: no metrics
	Log                 *slog.Logger     // nil: no logging
	Retention           time.Duration    // minimum lifetime of a claim in the store; 0 means 12 h
	LateResponseTimeout time.Duration    // how long after the caller's deadline a response is still awaited; 0 means 30 s
	StoreTimeout        time.Duration    // how long the store may delay an order before it is refused; 0 means 2 s

	once       sync.Once
	requests   atomic.Uint64  // number of submissions, from which request IDs are made
	inProgress sync.WaitGroup // submissions that begin has registered
	leases     claimLeases
	mu         sync.Mutex           // guards the fields below; not held during I/O
	stopping   bool                 // new submissions are refused
	running    map[claim.Owner]bool // attempts in progress on this host
	pending    map[string]int       // number of submissions in progress by claim key
	sent       sentKeys
}

// Do runs the order that q submits at most once across all hosts and submissions. It returns the response of the
// service or the response recorded for an earlier submission, or else an *outcome.Error.
func (r *Runner) Do(ctx context.Context, q *Request) (Response, error) {
	r.init()
	if err := check(q); err != nil {
		return Response{}, err
	}
	t := r.newTask(ctx, q)
	if !r.begin(t) {
		return Response{}, &outcome.Error{
			Op: "order", Kind: outcome.KindStopping, Outcome: outcome.NotRun,
			Message: "the host is stopping", RetryAfter: stoppingRetryAfter,
		}
	}
	go r.run(t)
	return r.result(<-t.replies)
}

// Running reports whether this host still works on an attempt. While it does, the claim of the attempt may
// change.
func (r *Runner) Running(id protocol.AttemptID) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[claim.OwnerFromAttemptID(id)]
}

// Sent reports whether this host has sent the request of a claim key to a service, or has a submission of it
// in progress, which may still send it. Only the latest maxSentKeys requests sent are known.
func (r *Runner) Sent(key string) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent.count[key] > 0 || r.pending[key] > 0
}

// sentByOtherSubmission is like Sent but leaves out the submission in progress that asks.
func (r *Runner) sentByOtherSubmission(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent.count[key] > 0 || r.pending[key] > 1
}

// Stop makes Do refuse new submissions and waits until those in progress have ended, with their outcomes written to the
// store. It returns ctx's error if ctx ends first.
func (r *Runner) Stop(ctx context.Context) error {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	return r.Flush(ctx)
}

// Flush waits until all submissions in progress have ended, with their outcomes written to the store. It returns ctx's
// error if ctx ends first. No submission may start while Flush waits.
func (r *Runner) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.inProgress.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Runner) init() {
	r.once.Do(func() {
		if r.Now == nil {
			r.Now = time.Now
		}
		if r.Metrics == nil {
			r.Metrics = tally.NoopScope
		}
		if r.Log == nil {
			r.Log = slog.New(slog.DiscardHandler)
		}
		if r.Retention == 0 {
			r.Retention = defaultRetention
		}
		if r.LateResponseTimeout == 0 {
			r.LateResponseTimeout = defaultLateResponseTimeout
		}
		r.running = make(map[claim.Owner]bool)
		r.pending = make(map[string]int)
		r.leases = claimLeases{store: r.Store, retention: r.Retention, now: r.Now, fetching: make(chan struct{}, 1)}
	})
}

// check returns an *outcome.Error if the idempotency key is missing or too long, or the workspace is missing.
func check(q *Request) error {
	if q.Key != "" && len(q.Key) <= maxKeyBytes && q.Workspace != "" {
		return nil
	}
	return &outcome.Error{
		Op: "order", Kind: outcome.KindBadRequest, Outcome: outcome.NotRun,
		Message: "the idempotency key must have 1 to " + strconv.Itoa(maxKeyBytes) + " bytes",
	}
}

// begin registers t as in progress; it returns false if the host is stopping.
func (r *Runner) begin(t *task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.running[t.machine.Owner] = true
	r.pending[t.key]++
	r.inProgress.Add(1)
	return true
}

// end removes the registration that begin made.
func (r *Runner) end(t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, t.machine.Owner)
	if r.pending[t.key]--; r.pending[t.key] == 0 {
		delete(r.pending, t.key)
	}
	r.inProgress.Done()
}

// result converts the reply of the claim machine to the results of Do and counts its outcome.
func (r *Runner) result(reply claim.Reply) (Response, error) {
	if reply.Err == nil {
		r.count(outcome.Completed, reply.Replayed)
		return Response{
			Status: reply.Response.Status, Header: reply.Response.Header, Body: reply.Response.Body,
			Outcome: outcome.Completed, Replayed: reply.Replayed,
		}, nil
	}
	r.count(reply.Err.Outcome, reply.Replayed)
	return Response{}, reply.Err
}

func (r *Runner) count(o outcome.Outcome, replayed bool) {
	r.Metrics.Tagged(map[string]string{"outcome": string(o)}).Counter("orders").Inc(1)
	if replayed {
		r.Metrics.Counter("replays").Inc(1)
	}
}
