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
	longShare    = 0.02 // of prompts that are over 100,000 tokens
	orderShare   = 0.05
	stockShare   = 0.05
	prefixes     = 20
	shortLimit   = 4_000
	mediumLimit  = 32_000
	largeLimit   = 100_000
	shortWeight  = 0.7 // of prompts up to shortLimit among those up to largeLimit
	mediumWeight = 0.25
)

// Load sends requests for a time; every answer is checked.
type Load struct {
	Entries       []string // base addresses of callers' listeners
	Readiness     []string // base addresses of their operators' listeners; empty takes all as ready
	Model         string
	Workspaces    []string
	Rate          float64 // requests per second
	Duration      time.Duration
	MaxTokens     int64 // of a prompt
	OutputTokens  int64
	OrderDeadline time.Duration
	Seed          uint64

	caller  caller.Caller
	balance balancer
	mu      sync.Mutex // guards summary
	summary Summary
}

// Run sends all requests, waits for their answers and returns what came of them, or an error if it can't start.
func (l *Load) Run(ctx context.Context) (*Summary, error) {
	if len(l.Entries) == 0 || len(l.Workspaces) == 0 || l.Rate <= 0 {
		return nil, errors.New("entries, workspaces and a rate above 0 are needed")
	}
	if len(l.Readiness) > 0 && len(l.Readiness) != len(l.Entries) {
		return nil, errors.New("each entry host needs its readiness address")
	}
	l.balance.entries, l.balance.readiness = l.Entries, l.Readiness
	l.balance.check(ctx)
	checks, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.balance.run(checks)
	random := rand.New(rand.NewPCG(l.Seed, 0))
	var sending sync.WaitGroup
	began := time.Now()
	for n, at := 0, time.Duration(0); at < l.Duration && ctx.Err() == nil; n++ {
		sleepUntil(ctx, began.Add(at))
		request := l.next(random, n)
		sending.Go(func() { request(ctx) })
		at += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
	}
	sending.Wait()
	l.summary.Elapsed = time.Since(began)
	return &l.summary, nil
}

// Draws the next request; all random values are drawn here, so that a seed gives the same requests each time.
func (l *Load) next(random *rand.Rand, n int) func(context.Context) {
	entry := l.balance.pick(random.Float64())
	workspace := l.Workspaces[random.IntN(len(l.Workspaces))]
	kind := random.Float64()
	if kind < orderShare {
		return l.order(entry, workspace, n)
	}
	if kind < orderShare+stockShare {
		return l.stock(entry, workspace)
	}
	p := &caller.Prompt{
		Entry: entry, Workspace: workspace, Model: l.Model, Stream: random.IntN(4) > 0,
		Prefix:       "catalog " + strconv.Itoa(random.IntN(prefixes)) + " ",
		Text:         "request " + strconv.Itoa(n),
		PromptTokens: min(promptTokens(random), l.MaxTokens),
		OutputTokens: 1 + random.Int64N(l.OutputTokens),
	}
	return func(ctx context.Context) {
		r := l.caller.Send(ctx, p)
		l.record(lengthClass(p.PromptTokens), &r)
	}
}

func (l *Load) order(entry, workspace string, n int) func(context.Context) {
	call := &caller.Call{
		Entry: entry, Workspace: workspace, Method: "POST", Path: "/orders/orders",
		Body: `{"item":"die-steel-40","quantity":1}`, Key: "load-" + strconv.FormatUint(l.Seed, 10) + "-" + strconv.Itoa(n),
		Deadline: l.OrderDeadline,
	}
	return func(ctx context.Context) {
		r := l.caller.Call(ctx, call)
		l.record(classOrder, &r)
	}
}

func (l *Load) stock(entry, workspace string) func(context.Context) {
	call := &caller.Call{Entry: entry, Workspace: workspace, Method: "GET", Path: "/orders/stock/die-steel-40"}
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

// Draws a length from 1,000 to 1,000,000 tokens.
func promptTokens(random *rand.Rand) int64 {
	if random.Float64() < longShare {
		return between(random, largeLimit, 1_000_000)
	}
	switch x := random.Float64(); {
	case x < shortWeight:
		return between(random, 1_000, shortLimit)
	case x < shortWeight+mediumWeight:
		return between(random, shortLimit, mediumLimit)
	default:
		return between(random, mediumLimit, largeLimit)
	}
}

func between(random *rand.Rand, low, high int64) int64 { return low + random.Int64N(high-low) }

func sleepUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
