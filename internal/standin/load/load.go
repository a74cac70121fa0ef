package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/standin/caller"
)

const (
	longShare    = 0.02    // share of prompts over largeLimit among all prompts
	orderShare   = 0.05    // share of orders among all requests
	stockShare   = 0.05    // share of stock reads among all requests
	prefixes     = 20      // number of different prompt prefixes
	shortLimit   = 4_000   // greatest length of a short prompt, in tokens
	mediumLimit  = 32_000  // greatest length of a medium prompt, in tokens
	largeLimit   = 100_000 // greatest length of a large prompt, in tokens; longer ones are long prompts
	shortWeight  = 0.7     // share of short prompts among those up to largeLimit
	mediumWeight = 0.25    // share of medium prompts among those up to largeLimit
)

// Load sends requests for Duration at random times and checks every response. Its exported fields must be set before
// Run.
type Load struct {
	EntryURLs       []string // base URLs of the entry hosts' listeners for callers
	OperatorURLs    []string // base URLs of their listeners for operators, in the same order; if empty, all are ready
	Model           string
	Workspaces      []string
	Rate            float64       // mean number of requests per second
	Duration        time.Duration // how long requests are sent
	MaxPromptTokens int64         // greatest length of a prompt
	MaxOutputTokens int64         // greatest length of a completion
	OrderDeadline   time.Duration // time limit that is sent with each order; 0 sends none
	Seed            uint64        // seed of the random values; also part of the orders' idempotency keys

	caller   caller.Caller
	balancer balancer
	mu       sync.Mutex // guards summary
	summary  Summary
}

// Run sends all requests, waits for their responses and returns the summary. It stops sending when ctx ends. It returns
// an error if entry hosts, workspaces or a rate above 0 are missing, or if OperatorURLs is neither empty nor as long as
// EntryURLs. It must be called only once.
func (l *Load) Run(ctx context.Context) (*Summary, error) {
	if len(l.EntryURLs) == 0 || len(l.Workspaces) == 0 || l.Rate <= 0 {
		return nil, errors.New("entries, workspaces and a rate above 0 are needed")
	}
	if len(l.OperatorURLs) > 0 && len(l.OperatorURLs) != len(l.EntryURLs) {
		return nil, errors.New("each entry host needs its readiness address")
	}
	l.balancer.entries, l.balancer.readiness = l.EntryURLs, l.OperatorURLs
	l.balancer.check(ctx)
	checkCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.balancer.run(checkCtx)
	random := rand.New(rand.NewPCG(l.Seed, 0))
	var sending sync.WaitGroup
	start := time.Now()
	for n, at := 0, time.Duration(0); at < l.Duration && ctx.Err() == nil; n++ {
		sleepUntil(ctx, start.Add(at))
		request := l.nextRequest(random, n)
		sending.Go(func() { request(ctx) })
		at += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
	}
	sending.Wait()
	l.summary.Elapsed = time.Since(start)
	return &l.summary, nil
}

// nextRequest returns a function that sends the request number n and records its result. All random values are drawn
// before the request is sent, so that a seed gives the same requests each time, except that the entry
// host also depends on which hosts are ready.
func (l *Load) nextRequest(random *rand.Rand, n int) func(context.Context) {
	entry := l.balancer.pick(random.Float64())
	workspace := l.Workspaces[random.IntN(len(l.Workspaces))]
	kind := random.Float64()
	if kind < orderShare {
		return l.orderRequest(entry, workspace, n)
	}
	if kind < orderShare+stockShare {
		return l.stockRequest(entry, workspace)
	}
	p := &caller.Prompt{
		EntryURL: entry, Workspace: workspace, Model: l.Model, Stream: random.IntN(4) > 0,
		Prefix:       "catalog " + strconv.Itoa(random.IntN(prefixes)) + " ",
		Text:         "request " + strconv.Itoa(n),
		PromptTokens: min(promptTokens(random), l.MaxPromptTokens),
		OutputTokens: 1 + random.Int64N(l.MaxOutputTokens),
	}
	return func(ctx context.Context) {
		r := l.caller.Send(ctx, p)
		l.record(lengthClass(p.PromptTokens), &r)
	}
}

// orderRequest returns a function that sends an order under a new idempotency key and records the result.
func (l *Load) orderRequest(entry, workspace string, n int) func(context.Context) {
	call := &caller.Call{
		EntryURL: entry, Workspace: workspace, Method: "POST", Path: "/orders/orders",
		Body: `{"item":"die-steel-40","quantity":1}`, IdempotencyKey: "load-" + strconv.FormatUint(l.Seed, 10) + "-" +
			strconv.Itoa(n),
		Deadline: l.OrderDeadline,
	}
	return func(ctx context.Context) {
		r := l.caller.Call(ctx, call)
		l.record(classOrder, &r)
	}
}

// stockRequest returns a function that reads the stock of an item and records the result.
func (l *Load) stockRequest(entry, workspace string) func(context.Context) {
	call := &caller.Call{EntryURL: entry, Workspace: workspace, Method: "GET", Path: "/orders/stock/die-steel-40"}
	return func(ctx context.Context) {
		r := l.caller.Call(ctx, call)
		l.record(classStock, &r)
	}
}

func (l *Load) record(class string, r *caller.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.add(class, r)
}

// promptTokens draws a prompt length from 1,000 to 1,000,000 tokens, distributed by longShare, shortWeight and
// mediumWeight.
func promptTokens(random *rand.Rand) int64 {
	if random.Float64() < longShare {
		return randomBetween(random, largeLimit, 1_000_000)
	}
	switch x := random.Float64(); {
	case x < shortWeight:
		return randomBetween(random, 1_000, shortLimit)
	case x < shortWeight+mediumWeight:
		return randomBetween(random, shortLimit, mediumLimit)
	default:
		return randomBetween(random, mediumLimit, largeLimit)
	}
}

// randomBetween returns a random number in [low, high).
func randomBetween(random *rand.Rand, low, high int64) int64 { return low + random.Int64N(high-low) }

// sleepUntil returns at the given time, or earlier if ctx ends.
func sleepUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
