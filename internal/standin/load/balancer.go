package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	checkInterval = 100 * time.Millisecond
	checkTimeout  = 300 * time.Millisecond
)

// Knows which entry hosts are ready, as the platform's balancer does.
type balancer struct {
	entries   []string
	readiness []string // base addresses of operators' listeners, in the order of entries; empty takes all as ready
	client    http.Client

	mu    sync.Mutex
	ready []string
}

// Checks each entry host until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		b.check(ctx)
		sleepUntil(ctx, time.Now().Add(checkInterval))
	}
}

func (b *balancer) check(ctx context.Context) {
	up := make([]bool, len(b.entries))
	var checking sync.WaitGroup
	for i := range b.entries {
		checking.Go(func() { up[i] = len(b.readiness) == 0 || b.answers(ctx, b.readiness[i]) })
	}
	checking.Wait()
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

func (b *balancer) answers(ctx context.Context, base string) bool {
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

// Returns the entry host for a draw from 0 to 1, or any one when none is ready.
func (b *balancer) pick(draw float64) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := b.ready
	if len(from) == 0 {
		from = b.entries
	}
	return from[int(draw*float64(len(from)))]
}
