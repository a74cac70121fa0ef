package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	checkInterval = 100 * time.Millisecond // pause between two readiness checks
	checkTimeout  = 300 * time.Millisecond // time after which an entry host that does not respond is not ready
)

// balancer distributes requests over the entry hosts that are ready, as the platform's load balancer does.
type balancer struct {
	entries   []string // base URLs of the entry hosts' listeners for callers
	readiness []string // base URLs of their listeners for operators, in the same order; if empty, all hosts count as ready
	client    http.Client

	mu    sync.Mutex
	ready []string // the entries that passed the latest check
}

// run checks all entry hosts repeatedly until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.check(ctx)
		sleepUntil(ctx, time.Now().Add(checkInterval))
	}
}

// check checks all entry hosts at the same time and replaces the list of ready ones.
func (b *balancer) check(ctx context.Context) {
	up := make([]bool, len(b.entries))
	var checks sync.WaitGroup
	for i := range b.entries {
		checks.Go(func() { up[i] = len(b.readiness) == 0 || b.isReady(ctx, b.readiness[i]) })
	}
	checks.Wait()
	var ready []string
	for i, ok := range up {
		if ok {
			ready = append(ready, b.entries[i])
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// isReady reports whether the host with the given base URL responds to /readyz with status 200 within checkTimeout.
func (b *balancer) isReady(ctx context.Context, base string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns the entry host for draw, a random number in [0, 1): one of the ready hosts, or of all if none is ready.
func (b *balancer) pick(draw float64) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.ready
	if len(candidates) == 0 {
		candidates = b.entries
	}
	return candidates[int(draw*float64(len(candidates)))]
}
