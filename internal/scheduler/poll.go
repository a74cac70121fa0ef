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

// Times of asking a backend server for its state.
const (
	loadInterval   = 500 * time.Millisecond
	loadTimeout    = 400 * time.Millisecond
	memoryTimeout  = time.Second
	memoryInterval = 3 * time.Second
	cacheWait      = 10 * time.Second
	cachePause     = time.Second
)

// A backend server is unhealthy after this many unanswered load reports in a row.
const maxMissedReports = 2

func (r *runner) pollLoad(ctx context.Context) {
	every(ctx, loadInterval, func() {
		var err error
		for range maxMissedReports {
			var load engineapi.Load
			if load, err = r.askLoad(ctx); err == nil {
				r.report(load)
				r.setDown(false)
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		var failure *engine.Error
		refused := errors.As(err, &failure) && failure.Kind == engine.KindConnect
		if r.setDown(true) && refused {
			r.crashed()
		}
	})
}

func (r *runner) crashed() {
	r.set.Suspects.Crashed(time.Now(), r.server.Name)
	r.set.Peers.TellSuspicions()
}

func (r *runner) askLoad(ctx context.Context) (engineapi.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return r.set.Engines.Load(ctx, r.server)
}

func (r *runner) report(load engineapi.Load) {
	r.mu.Lock()
	restarted := r.epoch != 0 && r.epoch != load.Epoch
	r.epoch = load.Epoch
	r.mu.Unlock()
	if restarted {
		r.set.Log.Info("backend server restarted", "backend_server", r.server.Name)
		r.set.Comparison.Forget(r.server.Name)
		r.crashed()
	}
	r.set.Suspects.Epoch(time.Now(), r.server.Name, load.Epoch)
	r.update(func(now time.Time) []grant.Decision { return r.decide.Report(now, load) })
}

// Reports whether the health has changed.
func (r *runner) setDown(down bool) bool {
	r.mu.Lock()
	changed := r.down != down
	r.down = down
	r.mu.Unlock()
	if !changed {
		return false
	}
	r.set.Log.Info("backend server changed health", "backend_server", r.server.Name, "down", down)
	r.update(func(now time.Time) []grant.Decision { return r.decide.Unhealthy(now, down) })
	return true
}

// Compares the memory that the engine lists with the grants and frees what nobody will use.
func (r *runner) pollMemory(ctx context.Context) {
	every(ctx, memoryInterval, func() {
		call, cancel := context.WithTimeout(ctx, memoryTimeout)
		defer cancel()
		listed, err := r.set.Engines.Allocations(call, r.server)
		if err != nil {
			return
		}
		now := time.Now()
		r.mu.Lock()
		held := r.decide.Held(now)
		r.mu.Unlock()
		for _, a := range r.set.Comparison.Compare(now, r.server.Name, listed.Allocations, held, r.set.Living()) {
			r.set.Releaser.Free(a.Server, a.Allocation)
		}
	})
}

func (r *runner) followCache(ctx context.Context) {
	var after, epoch uint64
	for ctx.Err() == nil {
		events, err := r.set.Engines.CacheEvents(ctx, r.server, after, cacheWait)
		if err != nil {
			wait.For(ctx, cachePause)
			continue
		}
		if events.Epoch != epoch {
			epoch, after = events.Epoch, 0
		}
		for _, e := range events.Events {
			after = max(after, e.Sequence)
		}
		r.mu.Lock()
		r.decide.Cached(time.Now(), events)
		r.mu.Unlock()
		wait.For(ctx, cachePause)
	}
}

// Runs task at once and then at the interval until ctx ends.
func every(ctx context.Context, interval time.Duration, task func()) {
	for ctx.Err() == nil {
		task()
		wait.For(ctx, interval)
	}
}
