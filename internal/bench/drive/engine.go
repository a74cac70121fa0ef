package drive

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// loadReport returns the engine's load report as of now.
func (r *run) loadReport(e *engine) engineapi.Load {
	l := e.simulator.Load()
	l.Server, l.Models = e.name, []string{model}
	return l
}

// sendLoadReport sends the engine's load report to its scheduler and schedules the next one after reportInterval. It
// does nothing if the engine has failed.
func (r *run) sendLoadReport(e *engine) {
	if e.failed {
		return
	}
	r.advanceEngine(e)
	l := r.loadReport(e)
	r.after(intraDomainDelay, func() { r.deliverDecisions(e, e.scheduler.SetLoad(r.now, l)) })
	r.after(reportInterval, func() { r.sendLoadReport(e) })
}

// publishRow sends the row of a backend server to the hosts of its failure domain, which receive it after different
// delays, and schedules the next row after rowInterval unless the engine has failed.
func (r *run) publishRow(e *engine) {
	row := r.currentRow(e)
	for _, h := range r.hosts {
		if h.domain == e.domain {
			lag := intraDomainDelay + time.Duration(r.random.Int64N(int64(maxRowDelay)))
			r.after(lag, func() { h.updateRow(r.now, e, row) })
		}
	}
	if !e.failed {
		r.after(rowInterval, func() { r.publishRow(e) })
	}
}

// currentRow returns the row of a backend server: with PolicyScheduled the scheduler's, with the other policies one
// made from the engine's current load.
func (r *run) currentRow(e *engine) protocol.Row {
	if r.Policy == routing.PolicyLeastCost {
		row := e.scheduler.Row(r.now)
		row.Unhealthy = row.Unhealthy || e.failed
		return row
	}
	l := r.loadReport(e)
	return protocol.Row{
		Server: e.name, Models: l.Models, CapacityBytes: l.MemoryBytes, BytesPerToken: l.KVBytesPerToken,
		FreeBytes: l.MemoryBytes - l.HeldBytes, PrefillRate: l.PrefillPerSecond, Unhealthy: e.failed,
		Wait: time.Duration(float64(l.QueuedTokens) / l.PrefillPerSecond * float64(time.Second)),
	}
}

// publishInitialRows sets the views of all hosts at the start: each host gets the rows of its own failure domain and
// empty rows of the other ones. It also starts the exchange of rows between schedulers and of aggregates.
func (r *run) publishInitialRows() {
	for _, e := range r.engines {
		for _, h := range r.hosts {
			if h.domain == e.domain {
				h.updateRow(r.now, e, r.currentRow(e))
			} else {
				h.updateRow(time.Time{}, e, protocol.Row{})
			}
		}
	}
	r.sendDomainRows()
}

// advanceEngine advances the engine to the current time, handles its events and schedules the next call for the time of
// its next event. It does nothing if the engine has failed.
func (r *run) advanceEngine(e *engine) {
	if e.failed {
		return
	}
	for _, ev := range e.simulator.Advance(r.now) {
		r.handleEngineEvent(e, ev)
	}
	next, ok := e.simulator.Next()
	if !ok || next.Equal(e.wakeAt) {
		return
	}
	e.wakeAt = next
	r.at(next, func() {
		if e.wakeAt.Equal(next) {
			e.wakeAt = time.Time{}
			r.advanceEngine(e)
		}
	})
}

// handleEngineEvent sends a cache event to the scheduler; it reports the first token, the end or the expiry of a job to
// the entry host after intraDomainDelay. It ignores events of unknown jobs.
func (r *run) handleEngineEvent(e *engine, ev batch.Event) {
	switch ev.Kind {
	case batch.EventStored, batch.EventEvicted:
		r.sendCacheEvent(e, ev)
		return
	case batch.EventTokens:
		return
	}
	a, ok := r.attemptByJob[ev.ID]
	if !ok {
		return
	}
	switch ev.Kind {
	case batch.EventStarted:
		a.cachedTokens = ev.CachedTokens
	case batch.EventFirstToken:
		r.after(intraDomainDelay, func() { r.handleFirstToken(a) })
	case batch.EventEnd:
		delete(r.attemptByJob, ev.ID)
		r.after(intraDomainDelay, func() { r.handleEnd(a) })
	case batch.EventExpired:
		delete(r.attemptByJob, ev.ID)
		r.after(intraDomainDelay, func() { r.handleExpiry(a) })
	}
}

// sendCacheEvent sends a cache event to the scheduler with the additional delay Config.CacheLag. It drops the share
// Config.CacheLoss of the events.
func (r *run) sendCacheEvent(e *engine, ev batch.Event) {
	e.lastCacheEvent++
	event := engineapi.CacheEvent{Sequence: e.lastCacheEvent, Block: ev.Block, Stored: ev.Kind == batch.EventStored}
	if r.random.Float64() < r.CacheLoss {
		return
	}
	r.after(intraDomainDelay+r.CacheLag, func() {
		e.scheduler.ApplyCacheEvents(r.now, engineapi.CacheEvents{Events: []engineapi.CacheEvent{event}})
	})
}

// sendDomainRows passes to each scheduler the rows of its failure domain, starts the propagation of the aggregates and
// schedules the next call after rowInterval.
func (r *run) sendDomainRows() {
	for _, e := range r.engines {
		var rows []protocol.Row
		for _, o := range r.engines {
			if o.domain == e.domain {
				rows = append(rows, r.currentRow(o))
			}
		}
		r.deliverDecisions(e, e.scheduler.UpdateSubset(r.now, rows))
	}
	r.sendAggregates()
	r.after(rowInterval, r.sendDomainRows)
}

// sendAggregates sends to each host the aggregates of the other failure domains.
func (r *run) sendAggregates() {
	for _, h := range r.hosts {
		var rows []protocol.Aggregate
		for d := range domainCount {
			if d != h.domain {
				rows = append(rows, routing.Aggregate(r.now, r.domainView(d), model))
			}
		}
		r.after(interDomainDelay+maxRowDelay, func() { h.setAggregates(rows) })
	}
}
