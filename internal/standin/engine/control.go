package engine

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	maxCacheEvents       = 4096                  // cache events kept; if full, the oldest quarter is dropped
	cachePollInterval    = 20 * time.Millisecond // between two looks for new cache events during a long poll
	maxCachePoll         = 30 * time.Second      // longest wait of a long poll for cache events
	commandLoad          = "load_model"
	commandUnload        = "unload_model"
	commandLoadAdapter   = "load_adapter"
	commandUnloadAdapter = "unload_adapter"
	commandSetRole       = "set_role"
)

// loaded is a model or adapter that the engine has loaded or is loading.
type loaded struct {
	engineapi.Loaded
	readyAt time.Time // time at which loading ends; zero for the models loaded at the start
}

// cacheEvent is a cache event and the time from which clients can read it.
type cacheEvent struct {
	engineapi.CacheEvent
	visibleAt time.Time
}

// getLoad responds with the load report, which it renews once it is older than MaxLoadReportAge.
func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.loadReportAt) > e.MaxLoadReportAge {
		e.advance()
		e.loadReport = e.Simulation.Load()
		e.loadReportAt = time.Now()
	}
	l := e.loadReport
	l.Server, l.Role, l.Leaving = e.Name, e.Role, e.faults.Leaving
	l.Epoch = e.epoch()
	l.PrefillPerSecond *= e.Speed
	l.DecodePerSecond *= e.Speed
	l.AgeMS = time.Since(e.loadReportAt).Milliseconds()
	for _, m := range e.state().Loaded {
		if m.Adapter == "" {
			l.Models = append(l.Models, m.Model)
		}
	}
	writeJSON(w, http.StatusOK, l)
}

// epoch returns a number that differs after each start of the engine.
func (e *Engine) epoch() uint64 { return uint64(e.started.UnixNano()) }

// publish queues a cache event for clients. If CacheEventLossInterval is set, each CacheEventLossInterval-th event is
// lost: it uses up a sequence number but is not queued.
func (e *Engine) publish(ev batch.Event) {
	e.cacheSequence++
	if e.CacheEventLossInterval > 0 && e.cacheSequence%e.CacheEventLossInterval == 0 {
		return
	}
	if len(e.published) >= maxCacheEvents {
		e.published = slices.Delete(e.published, 0, maxCacheEvents/4)
	}
	e.published = append(e.published, cacheEvent{
		CacheEvent: engineapi.CacheEvent{Sequence: e.cacheSequence, Block: ev.Block, Stored: ev.Kind == batch.EventStored},
		visibleAt:  time.Now().Add(e.CacheEventDelay),
	})
}

// getCacheEvents responds with the cache events after the sequence number ?after. If there are none, it waits for one
// for at most ?wait_ms.
func (e *Engine) getCacheEvents(w http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeRefusal(w, engineapi.RefusalInvalid, "after must be a sequence number")
		return
	}
	wait, _ := strconv.ParseInt(req.URL.Query().Get("wait_ms"), 10, 64)
	deadline := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxCachePoll))
	for {
		events := e.eventsAfter(after)
		if len(events) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, http.StatusOK, engineapi.CacheEvents{Epoch: e.epoch(), Events: events})
			return
		}
		select {
		case <-time.After(cachePollInterval):
		case <-req.Context().Done():
			return
		}
	}
}

// eventsAfter returns the visible cache events after a sequence number; the result is never nil.
func (e *Engine) eventsAfter(after uint64) []engineapi.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []engineapi.CacheEvent{}
	for _, ev := range e.published {
		if ev.Sequence > after && !ev.visibleAt.After(time.Now()) {
			events = append(events, ev.CacheEvent)
		}
	}
	return events
}

// applyCommand applies a command. If the engine checks fencing numbers, it refuses a command whose number is lower than
// the highest one that it has seen.
func (e *Engine) applyCommand(w http.ResponseWriter, req *http.Request) {
	var o engineapi.Command
	if !readJSON(w, req, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && !e.faults.IgnoreFencing && o.Fencing < e.fencing {
		writeRefusal(w, engineapi.RefusalFencing, "the fencing number is "+strconv.FormatUint(e.fencing, 10))
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	switch o.Kind {
	case commandLoad, commandLoadAdapter:
		e.loadWeights(engineapi.Loaded{Model: o.Model, Version: o.Version, Adapter: o.Adapter})
	case commandUnload, commandUnloadAdapter:
		e.loaded = slices.DeleteFunc(e.loaded, func(l loaded) bool {
			return l.Model == o.Model && (o.Kind == commandUnload || l.Adapter == o.Adapter)
		})
	case commandSetRole:
		e.Role = o.Role
	default:
		writeRefusal(w, engineapi.RefusalInvalid, "unknown kind of order "+o.Kind)
		return
	}
	e.Log.Info("command applied", "server", e.Name, "kind", o.Kind, "model", o.Model, "role", o.Role, "fencing", o.Fencing)
	writeJSON(w, http.StatusOK, engineapi.CommandResult{Fencing: e.fencing})
}

// loadWeights starts to load a model or adapter, in place of any other version of it. It does nothing if the wanted
// version is loaded or being loaded.
func (e *Engine) loadWeights(want engineapi.Loaded) {
	for i, l := range e.loaded {
		if l.Loaded == want {
			return
		}
		if l.Model == want.Model && l.Adapter == want.Adapter {
			e.loaded[i] = loaded{Loaded: want, readyAt: time.Now().Add(e.WeightLoadTime)}
			return
		}
	}
	e.loaded = append(e.loaded, loaded{Loaded: want, readyAt: time.Now().Add(e.WeightLoadTime)})
}

// getState responds with the engine's state.
func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.state())
}

// state returns the engine's state with all models and adapters that are ready; the caller holds mu.
func (e *Engine) state() engineapi.State {
	s := engineapi.State{Fencing: e.fencing, ChecksFencing: e.ChecksFencing, Role: e.Role, Loaded: []engineapi.Loaded{}}
	for _, l := range e.loaded {
		if !l.readyAt.After(time.Now()) {
			s.Loaded = append(s.Loaded, l.Loaded)
		}
	}
	return s
}

// hasModel reports whether a model with this adapter is ready; an empty adapter stands for the model itself. The caller
// holds mu.
func (e *Engine) hasModel(model, adapter string) bool {
	for _, l := range e.state().Loaded {
		if l.Model == model && l.Adapter == adapter {
			return true
		}
	}
	return false
}

// setFaults replaces the engine's faults. SilentConnections applies to the connections that are open now, except the
// one that carries this request.
func (e *Engine) setFaults(w http.ResponseWriter, req *http.Request) {
	var f engineapi.Faults
	if !readJSON(w, req, &f) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Frozen && !e.faults.Frozen {
		e.thawed = make(chan struct{})
	}
	if !f.Frozen && e.faults.Frozen {
		close(e.thawed)
	}
	if f.SilentConnections && e.listener != nil {
		requestConn, _ := req.Context().Value(connKey{}).(*silentConn)
		e.listener.silence(requestConn)
	}
	e.faults = f
	e.Log.Info("faults set", "server", e.Name, "faults", f)
	writeJSON(w, http.StatusOK, f)
}

// countRefusal counts a refused submission; the caller holds mu.
func (e *Engine) countRefusal(kind string) {
	if e.counts.Refused == nil {
		e.counts.Refused = make(map[string]int)
	}
	e.counts.Refused[kind]++
}

// getCounts responds with the engine's Counts.
func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.counts)
}
