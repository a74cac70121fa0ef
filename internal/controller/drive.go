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
	readsAtOnce  = 16
	resendAfter  = time.Minute      // a load that is not in the engine's state by then is ordered again
	forgetAfter  = 15 * time.Second // an engine whose state can't be read counts with its last one until then
	secondsInMin = 60
)

// known is what the controller knows about one engine.
type known struct {
	state   engineapi.State
	read    time.Time
	loading []loading
}

type loading struct {
	engineapi.Loaded
	ordered time.Time
}

// Compares the engines with the document and sends the orders that bring them closer.
func (c *Controller) drive(ctx context.Context) {
	d := c.Wanted()
	if d == nil {
		return
	}
	engines := c.read(ctx)
	steps := Plan(d, engines)
	c.measure(steps, engines)
	c.limiter.SetLimitAt(time.Now(), c.loadLimit(d))
	for _, step := range steps {
		if !c.send(ctx, d, step) {
			return
		}
	}
}

// The weight store's limit is shared among the failure domains.
func (c *Controller) loadLimit(d *document.Document) rate.Limit {
	perMin := d.Engines.LoadsPerMin
	if perMin == 0 {
		perMin = DefaultLoadsPerMin
	}
	domains := 1
	if c.FailureDomains != nil {
		domains = max(1, c.FailureDomains())
	}
	return rate.Limit(perMin / secondsInMin / float64(domains))
}

// Sends one order and reports whether the lease still stands.
func (c *Controller) send(ctx context.Context, d *document.Document, step Step) bool {
	now := time.Now()
	if !c.holder.MayAct(now) {
		return false
	}
	if c.unfenced(d, step.Server.Name) && !c.holder.MayActUnfenced(now) {
		return true
	}
	if step.Load() && !c.limiter.AllowN(now, 1) {
		return true
	}
	step.Order.Fencing, step.Order.Domain = c.holder.Fencing(), c.Domain
	ctx, cancel := context.WithTimeout(ctx, c.Margin)
	defer cancel()
	_, err := c.Engines.Order(ctx, step.Server, step.Order)
	c.Metrics.Counter("controller_orders").Inc(1)
	return c.sent(step, now, err)
}

// Notes what became of an order. A load without an answer may be under way, so it counts as sent.
func (c *Controller) sent(step Step, now time.Time, err error) bool {
	refusal := refusalOf(err)
	if err != nil {
		c.Metrics.Counter("controller_order_errors").Inc(1)
	}
	if refusal == engineapi.RefusalFencing {
		c.Log.Warn("order refused, another host has the lease", "server", step.Server.Name, "fencing", step.Order.Fencing)
		c.holder.Lapsed()
		return false
	}
	if step.Load() && refusal == "" {
		k := c.known[step.Server.Name]
		k.loading = append(k.loading, loading{Loaded: wantedBy(step.Order), ordered: now})
	}
	return true
}

func wantedBy(o engineapi.Order) engineapi.Loaded {
	return engineapi.Loaded{Model: o.Model, Version: o.Version, Adapter: o.Adapter}
}

func refusalOf(err error) string {
	var e *engine.Error
	if errors.As(err, &e) {
		return e.Refusal
	}
	return ""
}

// An engine counts as unfenced if the configuration or the engine itself says so.
func (c *Controller) unfenced(d *document.Document, server string) bool {
	return slices.Contains(d.Engines.Unfenced, server) || !c.known[server].state.Checks
}

// Reads the states of the engines and returns those whose state is known.
func (c *Controller) read(ctx context.Context) []Engine {
	servers := c.Servers()
	states := make([]*engineapi.State, len(servers))
	slots := make(chan struct{}, readsAtOnce)
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
	return c.note(time.Now(), servers, states)
}

func (c *Controller) note(now time.Time, servers []protocol.Server, states []*engineapi.State) []Engine {
	engines := make([]Engine, 0, len(servers))
	kept := make(map[string]*known, len(servers))
	for i, server := range servers {
		k := c.known[server.Name]
		if states[i] != nil {
			if k == nil {
				k = new(known)
			}
			k.state, k.read = *states[i], now
			k.loading = slices.DeleteFunc(k.loading, func(l loading) bool {
				return has(k.state.Loaded, l.Loaded) || now.Sub(l.ordered) >= resendAfter
			})
		}
		if k == nil || now.Sub(k.read) > forgetAfter {
			continue
		}
		kept[server.Name] = k
		engines = append(engines, Engine{Server: server, State: k.state, Loading: k.wanted()})
	}
	c.known = kept
	return engines
}

func (k *known) wanted() []engineapi.Loaded {
	loaded := make([]engineapi.Loaded, len(k.loading))
	for i, l := range k.loading {
		loaded[i] = l.Loaded
	}
	return loaded
}

// Measures how long the engines differ from the document.
func (c *Controller) measure(steps []Step, engines []Engine) {
	open := len(steps)
	for _, e := range engines {
		open += len(e.Loading)
	}
	c.Metrics.Gauge("controller_open_orders").Update(float64(open))
	now := time.Now()
	switch {
	case open > 0 && c.converged:
		c.converged, c.since = false, now
	case open == 0 && !c.converged:
		c.converged = true
		c.Metrics.Timer("controller_convergence").Record(now.Sub(c.since))
		c.Log.Info("engines match the configuration", "failure_domain", c.Domain, "after", now.Sub(c.since))
	}
}
