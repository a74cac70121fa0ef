//go:build proofs

package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/caller"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const (
	workspace     = "fundiquote"
	seed          = 1                // of the workload's random choices
	deadline      = 20 * time.Second // of each prompt
	deadlineSlack = time.Second      // allowed time from a deadline until the response has reached the caller
)

// requestResult is the result of one prompt.
type requestResult struct {
	caller.Result
	text     string // of the prompt; unique within a workload
	entryURL string
	sentAt   time.Time
}

// workload sends prompts until finish is called, and collects their results.
type workload struct {
	cancel  context.CancelFunc
	streams sync.WaitGroup
	client  *caller.Caller
	mu      sync.Mutex
	results []requestResult
	targets func() []string // URLs of the entry hosts to send to
}

// startPrompts starts a workload of the given number of streams. Each stream sends one prompt after another, each to a
// random one of targets, with promptTokens tokens and a random output of up to outputTokens tokens.
func startPrompts(t *testing.T, streams int, promptTokens, outputTokens int64, targets func() []string) *workload {
	ctx, cancel := context.WithCancel(t.Context())
	w := &workload{cancel: cancel, client: &caller.Caller{}, targets: targets}
	t.Cleanup(cancel)
	for s := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(s)))
		w.streams.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				list := targets()
				if len(list) == 0 {
					time.Sleep(pollInterval)
					continue
				}
				w.send(&caller.Prompt{
					EntryURL: list[random.IntN(len(list))], Workspace: workspace, Model: "tender-1", Deadline: deadline,
					Text:         fmt.Sprintf("stream %d request %d", s, i),
					PromptTokens: promptTokens, OutputTokens: 1 + random.Int64N(outputTokens), Stream: random.IntN(4) > 0,
				})
			}
		})
	}
	return w
}

// send sends a prompt, waits for the response and records the result.
func (w *workload) send(p *caller.Prompt) caller.Result {
	sentAt := time.Now()
	r := w.client.Send(context.Background(), p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, requestResult{Result: r, text: p.Text, entryURL: p.EntryURL, sentAt: sentAt})
	return r
}

// finish sends no further prompts, waits for those in flight and returns all results.
func (w *workload) finish() []requestResult {
	w.cancel()
	w.streams.Wait()
	return w.results
}

// checkResults fails the test unless each response is either complete and correct or a proper refusal or error, and
// arrives by its deadline plus deadlineSlack, and at least one request is completed. The argument interrupted lists the
// URLs of entry hosts whose responses may be missing or broken off.
func checkResults(t *testing.T, results []requestResult, interrupted ...string) {
	t.Helper()
	counts := make(map[string]int)
	var longest time.Duration
	for _, r := range results {
		key := string(r.Outcome) + " " + string(r.Kind)
		if r.Fault != "" && !slices.Contains(interrupted, r.entryURL) {
			t.Errorf("%s at %s after %v: %s", r.text, r.Host, r.Total, r.Fault)
		}
		if r.Fault != "" {
			key = "cut"
		}
		counts[key]++
		longest = max(longest, r.Total)
		if r.Total > deadline+deadlineSlack {
			t.Errorf("%s at %s took %v", r.text, r.entryURL, r.Total)
		}
	}
	t.Logf("%d results: %v; longest %v", len(results), counts, longest.Round(time.Millisecond))
	if counts["completed "] == 0 {
		t.Error("no request was completed")
	}
}

// checkAllCompleted fails the test unless every request was completed.
func checkAllCompleted(t *testing.T, results []requestResult) {
	t.Helper()
	for _, r := range results {
		if r.Outcome != outcome.Completed {
			t.Errorf("%s at %s: %s %s %s after %v", r.text, r.entryURL, r.Outcome, r.Kind, r.Body, r.Total)
		}
	}
}

// urls returns a function for startPrompts that always returns the URLs of the given entry hosts.
func (c *cluster) urls(entries ...*entryHost) func() []string {
	var list []string
	for _, e := range entries {
		list = append(list, e.url())
	}
	return func() []string { return list }
}

// readyTargets returns a function for startPrompts that returns the URLs of the entry hosts that are ready, as a
// balancer would that checks readiness every 100 ms.
func (c *cluster) readyTargets(ctx context.Context) func() []string {
	var mu sync.Mutex
	var list []string
	go func() {
		for ctx.Err() == nil {
			var ready []string
			for _, e := range c.entries {
				if get(e.operators, "/readyz", nil) == nil {
					ready = append(ready, e.url())
				}
			}
			mu.Lock()
			list = ready
			mu.Unlock()
			time.Sleep(2 * pollInterval)
		}
	}()
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return list
	}
}

// order sends an order with an idempotency key through the given entry host. The deadline of the order is limit.
func (c *cluster) order(e *entryHost, key string, limit time.Duration) caller.Result {
	var client caller.Caller
	client.HTTP.Timeout = limit + deadlineSlack
	return client.Call(context.Background(), &caller.Call{
		EntryURL: e.url(), Workspace: workspace, Method: "POST", Path: "/orders/orders", IdempotencyKey: key,
		Body: `{"item":"die-steel-40","quantity":1}`, Deadline: limit,
	})
}

// checkOrderRuns fails the test if the service ran an order more than once, or did not run an order that was reported
// as completed. It logs the orders whose last result has no outcome.
func (c *cluster) checkOrderRuns(resultsByKey map[string][]caller.Result) {
	c.t.Helper()
	runs := c.orderRuns()
	counts := make(map[string]int)
	for key, results := range resultsByKey {
		completed := false
		for _, r := range results {
			counts[string(r.Outcome)+" "+string(r.Kind)]++
			completed = completed || r.Outcome == outcome.Completed
		}
		last := results[len(results)-1]
		switch {
		case runs[key] > 1:
			c.t.Errorf("order %s ran %d times", key, runs[key])
		case completed && runs[key] != 1:
			c.t.Errorf("order %s was reported as completed and ran %d times", key, runs[key])
		case last.Outcome == "":
			c.t.Logf("order %s: no outcome reported: %s", key, last.Fault)
		}
	}
	c.t.Logf("%d orders: %v", len(resultsByKey), counts)
}

// checkNotRun fails the test if the service ran an order that any caller was told had not run.
func (c *cluster) checkNotRun(resultsByKey map[string][]caller.Result) {
	c.t.Helper()
	runs := c.orderRuns()
	for key, results := range resultsByKey {
		for _, r := range results {
			if r.Outcome == outcome.NotRun && runs[key] != 0 {
				c.t.Errorf("order %s was reported as not run (%s: %s) and ran %d times", key, r.Kind, r.Body, runs[key])
			}
		}
	}
}
