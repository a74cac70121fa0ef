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

// Releaser frees an allocation on a backend server; with fresh it must use a new connection.
type Releaser interface {
	Release(ctx context.Context, server protocol.Server, allocation string, fresh bool) (engineapi.Released, error)
}

// ServerFinder finds a backend server by name; the result is false if the name is unknown.
type ServerFinder interface {
	Server(name string) (protocol.Server, bool)
}

// idleInterval is how long Run waits while no release is pending.
const idleInterval = time.Second

// Worker performs the calls that a release.Tracker schedules; its fields are set before use.
type Worker struct {
	Tracker *release.Tracker
	Engines Releaser
	Servers ServerFinder
	Timeout time.Duration // limit of one call
	Metrics tally.Scope

	initOnce sync.Once
	wake     chan struct{}  // makes Run look for due releases at once
	calls    sync.WaitGroup // calls in flight
}

// Release starts the release of an allocation on the named backend server.
func (w *Worker) Release(server, allocation string) {
	w.send(w.Tracker.Release(time.Now(), server, allocation))
	w.notify()
}

// Pending returns the number of releases that are not confirmed.
func (w *Worker) Pending() int { return w.Tracker.Pending() }

// Run repeats releases until ctx ends, then waits for the calls in flight. It always returns nil.
func (w *Worker) Run(ctx context.Context) error {
	w.init()
	defer w.calls.Wait()
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

func (w *Worker) init() { w.initOnce.Do(func() { w.wake = make(chan struct{}, 1) }) }

// notify wakes Run, whose Tracker may have changed.
func (w *Worker) notify() {
	w.init()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// delay returns the time until the next release is due.
func (w *Worker) delay() time.Duration {
	next := w.Tracker.Next()
	if next.IsZero() {
		return idleInterval
	}
	return max(time.Until(next), 0)
}

// send performs each call in its own goroutine.
func (w *Worker) send(actions []release.Action) {
	for _, a := range actions {
		w.calls.Go(func() { w.release(a) })
	}
}

// release performs one call and reports the result to the Tracker; an unknown allocation counts as freed.
//
// The call has its own context, since a release continues after its request has ended.
func (w *Worker) release(a release.Action) {
	server, ok := w.Servers.Server(a.Server)
	if !ok {
		w.Tracker.Failed(time.Now(), a.Server, a.Allocation)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), w.Timeout)
	defer cancel()
	_, err := w.Engines.Release(ctx, server, a.Allocation, a.NewConnection)
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
