package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/engine"
	"github.com/turmericshunt/turmericshunt/internal/grant"
	"github.com/turmericshunt/turmericshunt/internal/wait"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Intervals and timeouts of the calls that ask a backend server for its state.
const (
	loadInterval     = 500 * time.Millisecond
	loadTimeout      = 400 * time.Millisecond
	memoryTimeout    = time.Second
	memoryInterval   = 3 * time.Second
	cacheEventsWait  = 10 * time.Second // how long the backend server may wait for new cache events
	cacheEventsPause = time.Second      // between two calls for cache events, also after a failed one
)

// maxMissedReports is the number of consecutive failed calls for the load after which a backend server is unhealthy.
const maxMissedReports = 2

// pollLoad fetches the load of the backend server at intervals until ctx ends. After maxMissedReports failed attempts
// in a row it marks the backend server as unhealthy. If it was healthy before and the last attempt failed to connect,
// it also reports a crash.
func (r *runner) pollLoad(ctx context.Context) {
	runEvery(ctx, loadInterval, func() {
		var err error
		for range maxMissedReports {
			var load engineapi.Load
			if load, err = r.fetchLoad(ctx); err == nil {
				r.handleLoad(load)
				r.setDown(false)
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		var failure *engine.Error
		refused := errors.As(err, &failure) && failure.Kind == engine.KindNotConnected
		if r.setDown(true) && refused {
			r.reportCrash()
		}
	})
}

// reportCrash records that the process of the backend server ended and sends the resulting suspicions to other hosts.
func (r *runner) reportCrash() {
	r.set.Suspects.Crashed(time.Now(), r.server.Name)
	r.set.Peers.ReportSuspicions()
}

func (r *runner) fetchLoad(ctx context.Context) (engineapi.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return r.set.Engines.Load(ctx, r.server)
}

// handleLoad passes a load report to the scheduler. A changed epoch shows that the backend server has restarted, which
// counts as a crash.
func (r *runner) handleLoad(load engineapi.Load) {
	r.mu.Lock()
	restarted := r.epoch != 0 && r.epoch != load.Epoch
	r.epoch = load.Epoch
	r.mu.Unlock()
	if restarted {
		r.set.Log.Info("backend server restarted", "backend_server", r.server.Name)
		r.set.Comparison.Forget(r.server.Name)
		r.reportCrash()
	}
	r.set.Suspects.SetEpoch(time.Now(), r.server.Name, load.Epoch)
	r.update(func(now time.Time) []grant.Decision { return r.scheduler.SetLoad(now, load) })
}

// setDown records whether the backend server fails to respond and passes a change on to the scheduler. It reports
// whether there was a change.
func (r *runner) setDown(down bool) bool {
	r.mu.Lock()
	changed := r.down != down
	r.down = down
	r.mu.Unlock()
	if !changed {
		return false
	}
	r.set.Log.Info("backend server changed health", "backend_server", r.server.Name, "down", down)
	r.update(func(now time.Time) []grant.Decision { return r.scheduler.SetUnhealthy(now, down) })
	return true
}

// pollMemory compares, at intervals until ctx ends, the allocations that the backend server lists with the grants and
// frees those that no attempt will use any more.
func (r *runner) pollMemory(ctx context.Context) {
	runEvery(ctx, memoryInterval, func() {
		call, cancel := context.WithTimeout(ctx, memoryTimeout)
		defer cancel()
		listed, err := r.set.Engines.Allocations(call, r.server)
		if err != nil {
			return
		}
		now := time.Now()
		r.mu.Lock()
		granted := r.scheduler.Grants(now)
		r.mu.Unlock()
		for _, a := range r.set.Comparison.Releases(now, r.server.Name, listed.Allocations, granted, r.set.AliveHosts()) {
			r.set.Releaser.Release(a.Server, a.Allocation)
		}
	})
}

// followCacheEvents passes the cache events of the backend server to the scheduler until ctx ends. A new epoch means
// that the backend server has restarted; the sequence number of the last event seen is then reset.
func (r *runner) followCacheEvents(ctx context.Context) {
	var after, epoch uint64
	for ctx.Err() == nil {
		events, err := r.set.Engines.CacheEvents(ctx, r.server, after, cacheEventsWait)
		if err != nil {
			wait.For(ctx, cacheEventsPause)
			continue
		}
		if events.Epoch != epoch {
			epoch, after = events.Epoch, 0
		}
		for _, e := range events.Events {
			after = max(after, e.Sequence)
		}
		r.mu.Lock()
		r.scheduler.ApplyCacheEvents(time.Now(), events)
		r.mu.Unlock()
		wait.For(ctx, cacheEventsPause)
	}
}

// runEvery runs task at once and again after each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, task func()) {
	for ctx.Err() == nil {
		task()
		wait.For(ctx, interval)
	}
}
