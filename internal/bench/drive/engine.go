package drive

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

func (r *run) load(e *engine) engineapi.Load {
	l := e.batch.Load()
	l.Server, l.Models = e.name, []string{model}
	return l
}

// report sends the engine's load report to its scheduler each second.
func (r *run) report(e *engine) {
	if e.dead {
		return
	}
	r.touch(e)
	l := r.load(e)
	r.after(insideDelay, func() { r.decide(e, e.scheduler.Report(r.now, l)) })
	r.after(reportInterval, func() { r.report(e) })
}

// publish spreads the row of a backend server to the hosts; each gets it after a time of its own.
func (r *run) publish(e *engine) {
	row := r.row(e)
	for _, h := range r.hosts {
		if h.domain == e.domain {
			lag := insideDelay + time.Duration(r.random.Int64N(int64(rowLag)))
			r.after(lag, func() { h.update(r.now, e, row) })
		}
	}
	if !e.dead {
		r.after(rowInterval, func() { r.publish(e) })
	}
}

// row is what the policy in force knows of a backend server.
func (r *run) row(e *engine) protocol.Row {
	if r.Policy == routing.PolicyScheduled {
		row := e.scheduler.Row(r.now)
		row.Unhealthy = row.Unhealthy || e.dead
		return row
	}
	l := r.load(e)
	return protocol.Row{
		Server: e.name, Models: l.Models, CapacityBytes: l.MemoryBytes, BytesPerToken: l.KVBytesPerToken,
		FreeBytes: l.MemoryBytes - l.HeldBytes, PrefillRate: l.PrefillPerSecond, Unhealthy: e.dead,
		Wait: time.Duration(float64(l.QueuedTokens) / l.PrefillPerSecond * float64(time.Second)),
	}
}

func (r *run) publishAll() {
	for _, e := range r.engines {
		for _, h := range r.hosts {
			if h.domain == e.domain {
				h.update(r.now, e, r.row(e))
			} else {
				h.update(time.Time{}, e, protocol.Row{})
			}
		}
	}
	r.shareRows()
}

// touch collects the engine's events up to now and sees that the next ones are collected in time.
func (r *run) touch(e *engine) {
	if e.dead {
		return
	}
	for _, ev := range e.batch.Advance(r.now) {
		r.engineEvent(e, ev)
	}
	next, ok := e.batch.Next()
	if !ok || next.Equal(e.wake) {
		return
	}
	e.wake = next
	r.at(next, func() {
		if e.wake.Equal(next) {
			e.wake = time.Time{}
			r.touch(e)
		}
	})
}

func (r *run) engineEvent(e *engine, ev batch.Event) {
	switch ev.Kind {
	case batch.EventStored, batch.EventEvicted:
		r.cacheEvent(e, ev)
		return
	case batch.EventTokens:
		return
	}
	a, ok := r.jobs[ev.ID]
	if !ok {
		return
	}
	switch ev.Kind {
	case batch.EventStarted:
		a.cached = ev.Cached
	case batch.EventFirst:
		r.after(insideDelay, func() { r.first(a) })
	case batch.EventEnd:
		delete(r.jobs, ev.ID)
		r.after(insideDelay, func() { r.end(a) })
	case batch.EventExpired:
		delete(r.jobs, ev.ID)
		r.after(insideDelay, func() { r.expire(a) })
	}
}

// cacheEvent sends a cache event to the scheduler, late or never.
func (r *run) cacheEvent(e *engine, ev batch.Event) {
	e.sequence++
	event := engineapi.CacheEvent{Sequence: e.sequence, Block: ev.Block, Stored: ev.Kind == batch.EventStored}
	if r.random.Float64() < r.CacheLoss {
		return
	}
	r.after(insideDelay+r.CacheLag, func() {
		e.scheduler.Cached(r.now, engineapi.CacheEvents{Events: []engineapi.CacheEvent{event}})
	})
}

// shareRows tells the schedulers of each failure domain the rows of that domain.
func (r *run) shareRows() {
	for _, e := range r.engines {
		var rows []protocol.Row
		for _, o := range r.engines {
			if o.domain == e.domain {
				rows = append(rows, r.row(o))
			}
		}
		r.decide(e, e.scheduler.Domain(r.now, rows))
	}
	r.aggregate()
	r.after(rowInterval, r.shareRows)
}

// aggregate tells the hosts of each failure domain the aggregate rows of the others.
func (r *run) aggregate() {
	for _, h := range r.hosts {
		var rows []protocol.Aggregate
		for d := range domains {
			if d != h.domain {
				rows = append(rows, routing.Aggregate(r.now, r.domainView(d), model))
			}
		}
		r.after(betweenDelay+rowLag, func() { h.setAggregates(rows) })
	}
}
