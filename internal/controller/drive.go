package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/engine"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	maxConcurrentReads = 16
	resendAfter        = time.Minute      // a load that the engine's state does not show by then is commanded again
	maxStateAge        = 15 * time.Second // how long the last state of an engine is used while a new one can't be read
	secondsPerMin      = 60
)

// cachedState is the last known state of one engine.
type cachedState struct {
	state   engineapi.State
	readAt  time.Time
	pending []pendingLoad
}

// pendingLoad is a load command that was sent and that the engine's state does not show yet.
type pendingLoad struct {
	engineapi.Loaded
	sentAt time.Time
}

// reconcile compares the engines with the configuration and sends the commands for the differences.
func (c *Controller) reconcile(ctx context.Context) {
	d := c.Configuration()
	if d == nil {
		return
	}
	engines := c.readStates(ctx)
	steps := Plan(d, engines)
	c.recordConvergence(steps, engines)
	c.limiter.SetLimitAt(time.Now(), c.loadLimit(d))
	for _, step := range steps {
		if !c.send(ctx, d, step) {
			return
		}
	}
}

// loadLimit returns this failure domain's equal share of the weight store's limit, in loads per second.
func (c *Controller) loadLimit(d *document.Document) rate.Limit {
	perMin := d.Engines.LoadsPerMinute
	if perMin == 0 {
		perMin = DefaultLoadsPerMin
	}
	domains := 1
	if c.FailureDomainCount != nil {
		domains = max(1, c.FailureDomainCount())
	}
	return rate.Limit(perMin / secondsPerMin / float64(domains))
}

// send sends the command of a step and reports whether the lease is still held.
//
// It skips the step if the engine is unfenced and a command of an earlier lease holder may still arrive, or if the
// limit of loads is reached; the step is then part of a later plan.
func (c *Controller) send(ctx context.Context, d *document.Document, step Step) bool {
	now := time.Now()
	if !c.holder.MayAct(now) {
		return false
	}
	if c.unfenced(d, step.Server.Name) && !c.holder.MayActUnfenced(now) {
		return true
	}
	if step.ReadsWeights() && !c.limiter.AllowN(now, 1) {
		return true
	}
	step.Command.Fencing, step.Command.FailureDomain = c.holder.Fencing(), c.FailureDomain
	ctx, cancel := context.WithTimeout(ctx, c.LeaseMargin)
	defer cancel()
	_, err := c.Engines.Command(ctx, step.Server, step.Command)
	c.Metrics.Counter("controller_orders").Inc(1)
	return c.handleResult(step, now, err)
}

// handleResult records the result of a command and reports whether the lease is still held.
//
// A load without a response may be in progress, so it counts as sent. A refusal of the fencing number means that
// another host has acquired the lease since.
func (c *Controller) handleResult(step Step, now time.Time, err error) bool {
	refusal := refusalOf(err)
	if err != nil {
		c.Metrics.Counter("controller_order_errors").Inc(1)
	}
	if refusal == engineapi.RefusalFencing {
		c.Log.Warn("order refused, another host has the lease", "server", step.Server.Name, "fencing", step.Command.Fencing)
		c.holder.Expired()
		return false
	}
	if step.ReadsWeights() && refusal == "" {
		cached := c.cached[step.Server.Name]
		cached.pending = append(cached.pending, pendingLoad{Loaded: loadedBy(step.Command), sentAt: now})
	}
	return true
}

// loadedBy returns what the engine's state shows once it has carried out a load command.
func loadedBy(o engineapi.Command) engineapi.Loaded {
	return engineapi.Loaded{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
}

// refusalOf returns the refusal kind of an engine error, or "" if err is not a refusal.
func refusalOf(err error) string {
	var e *engine.Error
	if errors.As(err, &e) {
		return e.Refusal
	}
	return ""
}

// unfenced reports whether an engine does not check fencing numbers, by the configuration or by its own state.
func (c *Controller) unfenced(d *document.Document, server string) bool {
	return slices.Contains(d.Engines.Unfenced, server) || !c.cached[server].state.ChecksFencing
}

// readStates reads the states of all engines and returns the engines whose state is known.
func (c *Controller) readStates(ctx context.Context) []Engine {
	servers := c.Servers()
	states := make([]*engineapi.State, len(servers))
	slots := make(chan struct{}, maxConcurrentReads)
	var wg sync.WaitGroup
	for i, server := range servers {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if state, err := c.Engines.State(ctx, server); err == nil {
				states[i] = &state
			}
		})
	}
	wg.Wait()
	return c.updateCache(time.Now(), servers, states)
}

// updateCache stores the states that were read, where nil means that the read failed, and returns the engines whose
// last state is not older than maxStateAge. It drops pending loads that a state shows or that are due to be sent again.
// An engine that is not in servers is dropped too.
func (c *Controller) updateCache(now time.Time, servers []protocol.Server, states []*engineapi.State) []Engine {
	engines := make([]Engine, 0, len(servers))
	kept := make(map[string]*cachedState, len(servers))
	for i, server := range servers {
		cached := c.cached[server.Name]
		if states[i] != nil {
			if cached == nil {
				cached = new(cachedState)
			}
			cached.state, cached.readAt = *states[i], now
			cached.pending = slices.DeleteFunc(cached.pending, func(l pendingLoad) bool {
				return has(cached.state.Loaded, l.Loaded) || now.Sub(l.sentAt) >= resendAfter
			})
		}
		if cached == nil || now.Sub(cached.readAt) > maxStateAge {
			continue
		}
		kept[server.Name] = cached
		engines = append(engines, Engine{Server: server, State: cached.state, Loading: cached.pendingLoads()})
	}
	c.cached = kept
	return engines
}

// pendingLoads returns the models and adapters of the pending loads.
func (s *cachedState) pendingLoads() []engineapi.Loaded {
	loaded := make([]engineapi.Loaded, len(s.pending))
	for i, l := range s.pending {
		loaded[i] = l.Loaded
	}
	return loaded
}

// recordConvergence records the number of open commands and, once the engines match the configuration, how long they
// differed.
func (c *Controller) recordConvergence(steps []Step, engines []Engine) {
	open := len(steps)
	for _, e := range engines {
		open += len(e.Loading)
	}
	c.Metrics.Gauge("controller_open_orders").Update(float64(open))
	now := time.Now()
	switch {
	case open > 0 && c.converged:
		c.converged, c.divergedAt = false, now
	case open == 0 && !c.converged:
		c.converged = true
		c.Metrics.Timer("controller_convergence").Record(now.Sub(c.divergedAt))
		c.Log.Info("engines match the configuration", "failure_domain", c.FailureDomain, "after", now.Sub(c.divergedAt))
	}
}
