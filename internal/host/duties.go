package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/spread"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

// edgeCheckInterval is the interval at which a host checks whether it is an edge host, beside the checks on notify.
const edgeCheckInterval = time.Second

// edgeTasks runs the tasks of an edge host while this host is one: watching the configuration and the host list on the
// platform, and running the controller. The edge hosts of a failure domain are chosen by spread.EdgeHosts.
type edgeTasks struct {
	host *Host

	cancel context.CancelFunc // cancels the tasks; used by the goroutine of run only
	tasks  sync.WaitGroup

	once sync.Once
	wake chan struct{}
	mu   sync.Mutex
	edge bool
}

func (e *edgeTasks) init() { e.once.Do(func() { e.wake = make(chan struct{}, 1) }) }

// notify makes run check again whether this host is an edge host. It does not block.
func (e *edgeTasks) notify() {
	e.init()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *edgeTasks) isEdge() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.edge
}

func (e *edgeTasks) run(ctx context.Context) error {
	e.init()
	ticker := time.NewTicker(edgeCheckInterval)
	defer ticker.Stop()
	defer e.stopTasks()
	for {
		e.check(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
		case <-ticker.C:
		}
	}
}

// check starts the tasks if this host has become an edge host, and stops them if it no longer is one.
func (e *edgeTasks) check(ctx context.Context) {
	edge := e.shouldBeEdge()
	if edge == e.isEdge() {
		return
	}
	e.setEdge(edge)
	e.stopTasks()
	if !edge {
		return
	}
	ctx, e.cancel = context.WithCancel(ctx)
	e.tasks.Go(func() { e.watchConfiguration(ctx) })
	e.tasks.Go(func() { _ = e.host.inventory.Watch(ctx) })
	e.tasks.Go(func() { _ = e.host.controller.Run(ctx) })
}

// watchConfiguration watches the configuration on the platform until ctx ends. It first waits until the configuration
// has been fetched at startup, since an older one could become active before that.
func (e *edgeTasks) watchConfiguration(ctx context.Context) {
	for !e.host.configurationKnown.Load() {
		if ctx.Err() != nil {
			return
		}
		wait.For(ctx, spreadInterval)
	}
	_ = e.host.config.Watch(ctx)
}

func (e *edgeTasks) stopTasks() {
	if e.cancel != nil {
		e.cancel()
	}
	e.tasks.Wait()
}

func (e *edgeTasks) setEdge(edge bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.edge = edge
	e.host.Log.Info("edge role changed", "edge", edge)
}

// shouldBeEdge reports whether this host is among the edge hosts of its failure domain and is not stopping.
func (e *edgeTasks) shouldBeEdge() bool {
	h := e.host
	edges := spread.EdgeHosts(h.self.FailureDomain, h.members.Alive())
	return !h.stopping.Load() && slices.ContainsFunc(edges, func(x protocol.Host) bool { return x.Name == h.self.Name })
}
