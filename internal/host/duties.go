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

const dutyCheckInterval = time.Second

// Runs what only the edge hosts of a failure domain do, while this host is one.
type duties struct {
	host *Host

	cancel   context.CancelFunc // of the watches; only the running role uses it
	watching sync.WaitGroup

	once sync.Once
	wake chan struct{}
	mu   sync.Mutex
	edge bool
}

func (d *duties) init() { d.once.Do(func() { d.wake = make(chan struct{}, 1) }) }

// Checks again whether this host is an edge host.
func (d *duties) notify() {
	d.init()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *duties) isEdge() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.edge
}

func (d *duties) run(ctx context.Context) error {
	d.init()
	ticker := time.NewTicker(dutyCheckInterval)
	defer ticker.Stop()
	defer d.stopWatching()
	for {
		d.check(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
		case <-ticker.C:
		}
	}
}

func (d *duties) check(ctx context.Context) {
	edge := d.shouldWatch()
	if edge == d.isEdge() {
		return
	}
	d.set(edge)
	d.stopWatching()
	if !edge {
		return
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.watching.Go(func() { d.watchConfiguration(ctx) })
	d.watching.Go(func() { _ = d.host.inventory.Watch(ctx) })
	d.watching.Go(func() { _ = d.host.controller.Run(ctx) })
}

// Waits until the start has shown that no older configuration can come into force.
func (d *duties) watchConfiguration(ctx context.Context) {
	for !d.host.configurationKnown.Load() {
		if ctx.Err() != nil {
			return
		}
		wait.For(ctx, spreadInterval)
	}
	_ = d.host.keeper.Watch(ctx)
}

func (d *duties) stopWatching() {
	if d.cancel != nil {
		d.cancel()
	}
	d.watching.Wait()
}

func (d *duties) set(edge bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.edge = edge
	d.host.Log.Info("edge role changed", "edge", edge)
}

func (d *duties) shouldWatch() bool {
	h := d.host
	edges := spread.Edges(h.self.FailureDomain, h.members.Alive())
	return !h.stopping.Load() && slices.ContainsFunc(edges, func(x protocol.Host) bool { return x.Name == h.self.Name })
}
