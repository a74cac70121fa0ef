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
	workspace    = "fundiquote"
	seed         = 1
	deadline     = 20 * time.Second
	deadlineSlip = time.Second // allowed between a deadline and the answer at the caller
)

// answer is what came of one request.
type answer struct {
	caller.Result
	name  string
	entry string
	began time.Time
}

// work sends requests until it is stopped.
type work struct {
	cancel  context.CancelFunc
	sending sync.WaitGroup
	client  *caller.Caller
	mu      sync.Mutex
	answers []answer
	targets func() []string
}

// prompts keeps a number of streams of prompts going; each picks one of targets.
func prompts(t *testing.T, streams int, promptTokens, outputTokens int64, targets func() []string) *work {
	ctx, cancel := context.WithCancel(t.Context())
	w := &work{cancel: cancel, client: &caller.Caller{}, targets: targets}
	t.Cleanup(cancel)
	for s := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(s)))
		w.sending.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				list := targets()
				if len(list) == 0 {
					time.Sleep(pollTime)
					continue
				}
				w.send(&caller.Prompt{
					Entry: list[random.IntN(len(list))], Workspace: workspace, Model: "tender-1", Deadline: deadline,
					Text:         fmt.Sprintf("stream %d request %d", s, i),
					PromptTokens: promptTokens, OutputTokens: 1 + random.Int64N(outputTokens), Stream: random.IntN(4) > 0,
				})
			}
		})
	}
	return w
}

func (w *work) send(p *caller.Prompt) caller.Result {
	began := time.Now()
	r := w.client.Send(context.Background(), p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, answer{Result: r, name: p.Text, entry: p.Entry, began: began})
	return r
}

// finish lets all requests end and returns their answers.
func (w *work) finish() []answer {
	w.cancel()
	w.sending.Wait()
	return w.answers
}

// judge checks that each answer is whole or honest and came in time; cut lists entry hosts whose callers may be cut off.
func judge(t *testing.T, answers []answer, cut ...string) {
	t.Helper()
	told := make(map[string]int)
	var longest time.Duration
	for _, a := range answers {
		key := string(a.Outcome) + " " + string(a.Kind)
		if a.Fault != "" && !slices.Contains(cut, a.entry) {
			t.Errorf("%s at %s after %v: %s", a.name, a.Host, a.Total, a.Fault)
		}
		if a.Fault != "" {
			key = "cut"
		}
		told[key]++
		longest = max(longest, a.Total)
		if a.Total > deadline+deadlineSlip {
			t.Errorf("%s at %s took %v", a.name, a.entry, a.Total)
		}
	}
	t.Logf("%d answers: %v; longest %v", len(answers), told, longest.Round(time.Millisecond))
	if told["completed "] == 0 {
		t.Error("nothing was completed")
	}
}

// allCompleted checks that every request was completed.
func allCompleted(t *testing.T, answers []answer) {
	t.Helper()
	for _, a := range answers {
		if a.Outcome != outcome.Completed {
			t.Errorf("%s at %s: %s %s %s after %v", a.name, a.entry, a.Outcome, a.Kind, a.Body, a.Total)
		}
	}
}

func (c *cluster) urls(entries ...*entryHost) func() []string {
	var list []string
	for _, e := range entries {
		list = append(list, e.url())
	}
	return func() []string { return list }
}

// ready lists the entry hosts that say they are ready, as a balancer would that asks every 100 ms.
func (c *cluster) ready(ctx context.Context) func() []string {
	var mu sync.Mutex
	var list []string
	go func() {
		for ctx.Err() == nil {
			var found []string
			for _, e := range c.entries {
				if get(e.operators, "/readyz", nil) == nil {
					found = append(found, e.url())
				}
			}
			mu.Lock()
			list = found
			mu.Unlock()
			time.Sleep(2 * pollTime)
		}
	}()
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return list
	}
}

// order sends an order confirmation.
func (c *cluster) order(at *entryHost, key string, limit time.Duration) caller.Result {
	var client caller.Caller
	client.HTTP.Timeout = limit + deadlineSlip
	return client.Call(context.Background(), &caller.Call{
		Entry: at.url(), Workspace: workspace, Method: "POST", Path: "/orders/orders", Key: key,
		Body: `{"item":"die-steel-40","quantity":1}`, Deadline: limit,
	})
}

// judgeOrders checks what was told about orders against how often each ran.
func (c *cluster) judgeOrders(told map[string][]caller.Result) {
	c.t.Helper()
	runs := c.runs()
	counts := make(map[string]int)
	for key, results := range told {
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
			c.t.Errorf("order %s was told completed and ran %d times", key, runs[key])
		case last.Outcome == "":
			c.t.Logf("order %s: nothing told: %s", key, last.Fault)
		}
	}
	c.t.Logf("%d orders: %v", len(told), counts)
}

// judgeNotRun checks that no order ran of which any sending was told that it was not run.
func (c *cluster) judgeNotRun(told map[string][]caller.Result) {
	c.t.Helper()
	runs := c.runs()
	for key, results := range told {
		for _, r := range results {
			if r.Outcome == outcome.NotRun && runs[key] != 0 {
				c.t.Errorf("order %s was told not run (%s: %s) and ran %d times", key, r.Kind, r.Body, runs[key])
			}
		}
	}
}
