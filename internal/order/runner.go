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
	maxKeyBytes        = 1 << 10
	defaultRetention   = 12 * time.Hour
	defaultLateAnswers = 30 * time.Second
	stoppingRetry      = time.Second
)

type (
	// Store is the key-value service that holds the claims; its errors are those of package platform.
	Store interface {
		Get(ctx context.Context, key string) (platformapi.Entry, error)
		Swap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64, error)
		GrantLease(ctx context.Context, ttl time.Duration) (platformapi.Lease, error)
	}

	// Services sends calls to plain services; its errors are those of package service.
	Services interface {
		Do(ctx context.Context, call *service.Call) (service.Answer, error)
	}

	// Owners asks other hosts whether they still work on an attempt; an error means that the host was not reached.
	Owners interface {
		Running(ctx context.Context, id protocol.AttemptID) (bool, error)
	}

	// Peers asks the other hosts whether one of them has sent the request of a claim's key to a service; an error
	// means that none that was reached has, and that some live host was not reached.
	Peers interface {
		Sent(ctx context.Context, key string) (bool, error)
	}

	// Request is one sending of a request that must not be repeated.
	Request struct {
		Workspace string
		Key       string // the idempotency key
		Service   string
		Method    string
		Path      string
		Query     string // raw
		Header    http.Header
		Body      []byte
		Deadline  time.Time // must be set
		Resend    bool      // the caller says that it sent the request before
		NewKey    bool      // the key was made for this sending, so that no earlier one has it
	}

	// Answer is the answer of the service, now or recorded for an earlier sending.
	Answer struct {
		Status   int
		Header   http.Header
		Body     []byte
		Outcome  outcome.Outcome
		Replayed bool
	}
)

// Runner runs requests that must not be repeated; its fields are set before the first call of Do.
type Runner struct {
	Store       Store
	Services    Services
	Owners      Owners // nil asks nobody
	Peers       Peers  // nil asks nobody
	Host        protocol.Host
	Now         func() time.Time // nil means time.Now
	Metrics     tally.Scope      // nil counts nothing
	Log         *slog.Logger     // nil logs nothing
	Retention   time.Duration    // of a claim at least; 0 means 12 h
	LateAnswers time.Duration    // that an answer is waited for after its caller's deadline; 0 means 30 s
	Settle      time.Duration    // that the store may take before a request is refused; 0 means 2 s

	once     sync.Once
	requests atomic.Uint64
	tasks    sync.WaitGroup
	leases   leases
	mu       sync.Mutex // guards the fields below; never held over I/O
	stopping bool
	running  map[claim.Owner]bool
	pending  map[string]int // sendings under way by claim key
	sent     sentKeys
}

// Do runs q at most once over all hosts and returns its answer or an *outcome.Error.
func (r *Runner) Do(ctx context.Context, q *Request) (Answer, error) {
	r.init()
	if err := check(q); err != nil {
		return Answer{}, err
	}
	t := r.newTask(ctx, q)
	if !r.begin(t) {
		return Answer{}, &outcome.Error{
			Op: "order", Kind: outcome.KindStopping, Outcome: outcome.NotRun,
			Message: "the host is stopping", RetryAfter: stoppingRetry,
		}
	}
	go r.work(t)
	return r.answer(<-t.reply)
}

// Running reports whether this host still works on an attempt, so that its claim may yet change.
func (r *Runner) Running(id protocol.AttemptID) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[claim.OwnerOf(id)]
}

// Sent reports whether this host has sent the request of a claim's key to a service, as far as it remembers, or has a
// sending of it under way, which may yet send it.
func (r *Runner) Sent(key string) bool {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent.count[key] > 0 || r.pending[key] > 0
}

// sentByOthers is Sent without the sending that asks.
func (r *Runner) sentByOthers(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent.count[key] > 0 || r.pending[key] > 1
}

// Stop refuses new requests and waits until the outcomes of the others are written, or returns ctx's error.
func (r *Runner) Stop(ctx context.Context) error {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	return r.Flush(ctx)
}

// Flush waits until all outcomes are written, or returns ctx's error; no request may start meanwhile.
func (r *Runner) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.tasks.Wait()
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
		if r.LateAnswers == 0 {
			r.LateAnswers = defaultLateAnswers
		}
		r.running = make(map[claim.Owner]bool)
		r.pending = make(map[string]int)
		r.leases = leases{store: r.Store, retention: r.Retention, now: r.Now, turn: make(chan struct{}, 1)}
	})
}

func check(q *Request) error {
	if q.Key != "" && len(q.Key) <= maxKeyBytes && q.Workspace != "" {
		return nil
	}
	return &outcome.Error{
		Op: "order", Kind: outcome.KindBadRequest, Outcome: outcome.NotRun,
		Message: "the idempotency key must have 1 to " + strconv.Itoa(maxKeyBytes) + " bytes",
	}
}

func (r *Runner) begin(t *task) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.running[t.machine.Owner] = true
	r.pending[t.key]++
	r.tasks.Add(1)
	return true
}

func (r *Runner) end(t *task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, t.machine.Owner)
	if r.pending[t.key]--; r.pending[t.key] == 0 {
		delete(r.pending, t.key)
	}
	r.tasks.Done()
}

// answer turns the decision into what Do returns.
func (r *Runner) answer(reply claim.Reply) (Answer, error) {
	if reply.Err == nil {
		r.count(outcome.Completed, reply.Replayed)
		return Answer{
			Status: reply.Answer.Status, Header: reply.Answer.Header, Body: reply.Answer.Body,
			Outcome: outcome.Completed, Replayed: reply.Replayed,
		}, nil
	}
	r.count(reply.Err.Outcome, reply.Replayed)
	return Answer{}, reply.Err
}

func (r *Runner) count(o outcome.Outcome, replayed bool) {
	r.Metrics.Tagged(map[string]string{"outcome": string(o)}).Counter("orders").Inc(1)
	if replayed {
		r.Metrics.Counter("replays").Inc(1)
	}
}
