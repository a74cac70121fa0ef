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
	maxCacheEvents = 4096
	cachePollTime  = 20 * time.Millisecond
	maxCachePoll   = 30 * time.Second
	orderLoad      = "load_model"
	orderUnload    = "unload_model"
	orderAdapter   = "load_adapter"
	orderNoAdapter = "unload_adapter"
	orderRole      = "set_role"
)

type loaded struct {
	engineapi.Loaded
	ready time.Time
}

type cacheEvent struct {
	engineapi.CacheEvent
	visible time.Time
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.loadAt) > e.LoadLag {
		e.pump()
		e.load = e.Batch.Load()
		e.loadAt = time.Now()
	}
	l := e.load
	l.Server, l.Role, l.Leaving = e.Name, e.Role, e.faults.Leaving
	l.Epoch = e.epoch()
	l.PrefillPerSecond *= e.Speed
	l.DecodePerSecond *= e.Speed
	l.AgeMS = time.Since(e.loadAt).Milliseconds()
	for _, m := range e.state().Loaded {
		if m.Adapter == "" {
			l.Models = append(l.Models, m.Model)
		}
	}
	reply(w, http.StatusOK, l)
}

// epoch differs after each start of the engine.
func (e *Engine) epoch() uint64 { return uint64(e.started.UnixNano()) }

// publish queues a cache event, or loses it.
func (e *Engine) publish(ev batch.Event) {
	e.sequence++
	if e.CacheGap > 0 && e.sequence%e.CacheGap == 0 {
		return
	}
	if len(e.events) >= maxCacheEvents {
		e.events = slices.Delete(e.events, 0, maxCacheEvents/4)
	}
	e.events = append(e.events, cacheEvent{
		CacheEvent: engineapi.CacheEvent{Sequence: e.sequence, Block: ev.Block, Stored: ev.Kind == batch.EventStored},
		visible:    time.Now().Add(e.CacheLag),
	})
}

// cacheEvents answers with the events after a sequence number, and waits for the first one.
func (e *Engine) cacheEvents(w http.ResponseWriter, req *http.Request) {
	after, err := strconv.ParseUint(req.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, engineapi.RefusalInvalid, "after must be a sequence number")
		return
	}
	wait, _ := strconv.ParseInt(req.URL.Query().Get("wait_ms"), 10, 64)
	deadline := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxCachePoll))
	for {
		events := e.eventsAfter(after)
		if len(events) > 0 || !time.Now().Before(deadline) {
			reply(w, http.StatusOK, engineapi.CacheEvents{Epoch: e.epoch(), Events: events})
			return
		}
		select {
		case <-time.After(cachePollTime):
		case <-req.Context().Done():
			return
		}
	}
}

func (e *Engine) eventsAfter(after uint64) []engineapi.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []engineapi.CacheEvent{}
	for _, ev := range e.events {
		if ev.Sequence > after && !ev.visible.After(time.Now()) {
			events = append(events, ev.CacheEvent)
		}
	}
	return events
}

func (e *Engine) order(w http.ResponseWriter, req *http.Request) {
	var o engineapi.Order
	if !decode(w, req, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && !e.faults.IgnoreFencing && o.Fencing < e.fencing {
		refuse(w, engineapi.RefusalFencing, "the fencing number is "+strconv.FormatUint(e.fencing, 10))
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	switch o.Kind {
	case orderLoad, orderAdapter:
		e.loadWeights(engineapi.Loaded{Model: o.Model, Version: o.Version, Adapter: o.Adapter})
	case orderUnload, orderNoAdapter:
		e.loaded = slices.DeleteFunc(e.loaded, func(l loaded) bool {
			return l.Model == o.Model && (o.Kind == orderUnload || l.Adapter == o.Adapter)
		})
	case orderRole:
		e.Role = o.Role
	default:
		refuse(w, engineapi.RefusalInvalid, "unknown kind of order "+o.Kind)
		return
	}
	e.Log.Info("order applied", "server", e.Name, "kind", o.Kind, "model", o.Model, "role", o.Role, "fencing", o.Fencing)
	reply(w, http.StatusOK, engineapi.OrderResult{Fencing: e.fencing})
}

// loadWeights replaces the loaded version of a model or adapter, unless it is the wanted one.
func (e *Engine) loadWeights(want engineapi.Loaded) {
	for i, l := range e.loaded {
		if l.Loaded == want {
			return
		}
		if l.Model == want.Model && l.Adapter == want.Adapter {
			e.loaded[i] = loaded{Loaded: want, ready: time.Now().Add(e.WeightLoadTime)}
			return
		}
	}
	e.loaded = append(e.loaded, loaded{Loaded: want, ready: time.Now().Add(e.WeightLoadTime)})
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, e.state())
}

func (e *Engine) state() engineapi.State {
	s := engineapi.State{Fencing: e.fencing, Checks: e.ChecksFencing, Role: e.Role, Loaded: []engineapi.Loaded{}}
	for _, l := range e.loaded {
		if !l.ready.After(time.Now()) {
			s.Loaded = append(s.Loaded, l.Loaded)
		}
	}
	return s
}

func (e *Engine) hasModel(model, adapter string) bool {
	for _, l := range e.state().Loaded {
		if l.Model == model && l.Adapter == adapter {
			return true
		}
	}
	return false
}

func (e *Engine) setFaults(w http.ResponseWriter, req *http.Request) {
	var f engineapi.Faults
	if !decode(w, req, &f) {
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
		own, _ := req.Context().Value(connKey{}).(*silentConn)
		e.listener.silence(own)
	}
	e.faults = f
	e.Log.Info("faults set", "server", e.Name, "faults", f)
	reply(w, http.StatusOK, f)
}

func (e *Engine) countRefusal(kind string) {
	if e.counts.Refused == nil {
		e.counts.Refused = make(map[string]int)
	}
	e.counts.Refused[kind]++
}

func (e *Engine) getCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, http.StatusOK, e.counts)
}
