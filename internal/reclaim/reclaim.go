package reclaim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/engine"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/release"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Engines frees memory on an engine; fresh asks for a new connection.
type Engines interface {
	Release(ctx context.Context, server protocol.Server, allocation string, fresh bool) (engineapi.Released, error)
}

// Servers finds a backend server's address.
type Servers interface {
	Server(name string) (protocol.Server, bool)
}

// With nothing due the worker looks again after this time.
const idleInterval = time.Second

// Worker carries out what a release.Tracker decides.
type Worker struct {
	Tracker *release.Tracker
	Engines Engines
	Servers Servers
	Timeout time.Duration // of one release
	Metrics tally.Scope

	once sync.Once
	wake chan struct{}
	busy sync.WaitGroup
}

// Free starts the release of an allocation on the named backend server.
func (w *Worker) Free(server, allocation string) {
	w.send(w.Tracker.Free(time.Now(), server, allocation))
	w.notify()
}

// Pending returns the number of releases that are not confirmed.
func (w *Worker) Pending() int { return w.Tracker.Pending() }

// Run repeats releases until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	w.init()
	defer w.busy.Wait()
	for {
		w.Metrics.Gauge("releases_pending").Update(float64(w.Tracker.Pending()))
		timer := time.NewTimer(w.delay())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-w.wake:
			timer.Stop()
		case <-timer.C:
		}
		w.send(w.Tracker.Tick(time.Now()))
	}
}

func (w *Worker) init() { w.once.Do(func() { w.wake = make(chan struct{}, 1) }) }

func (w *Worker) notify() {
	w.init()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Worker) delay() time.Duration {
	next := w.Tracker.Next()
	if next.IsZero() {
		return idleInterval
	}
	return max(time.Until(next), 0)
}

func (w *Worker) send(actions []release.Action) {
	for _, a := range actions {
		w.busy.Go(func() { w.release(a) })
	}
}

// A release goes on when its request has ended, so that it has a context of its own.
func (w *Worker) release(a release.Action) {
	server, ok := w.Servers.Server(a.Server)
	if !ok {
		w.Tracker.Failed(time.Now(), a.Server, a.Allocation)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.Timeout)
	defer cancel()
	_, err := w.Engines.Release(ctx, server, a.Allocation, a.Fresh)
	var failure *engine.Error
	if err == nil || errors.As(err, &failure) && failure.Kind == engine.KindNotFound {
		w.Tracker.Confirmed(time.Now(), a.Server, a.Allocation)
		w.Metrics.Counter("releases_confirmed").Inc(1)
	} else {
		w.Tracker.Failed(time.Now(), a.Server, a.Allocation)
		w.Metrics.Counter("releases_failed").Inc(1)
	}
	w.notify()
}
