package converge

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/turmericshunt/turmericshunt/internal/controller"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/lease"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const (
	stepInterval = time.Second
	loadTime     = 20 * time.Second // time that an engine needs to load a model's weights
)

type (
	// host is a host that holds the lease or tries to acquire it.
	host struct {
		holder  lease.Holder
		dead    bool
		limiter *rate.Limiter
	}

	// load is a command to load a model that an engine is executing.
	load struct {
		engine  int
		command engineapi.Command
		done    time.Time
	}

	// domain is a failure domain with its engines, its two hosts, and the lease as the store has it.
	domain struct {
		now            time.Time
		document       *document.Document
		unfenced       bool
		loadsPerMinute float64
		engines        []controller.Engine
		loads          []load
		hosts          [2]*host
		leaseOwner     *host
		leaseExpiry    time.Time
		fencing        uint64
		commands       int
		firstCommand   time.Time // when the first command was sent; zero if none was
	}
)

func newDomain(engines int, loadsPerMinute float64, unfenced bool) *domain {
	d := &domain{now: time.Unix(0, 0), loadsPerMinute: loadsPerMinute, unfenced: unfenced, document: documentWith("1")}
	for i := range engines {
		e := controller.Engine{Server: protocol.Server{Name: fmt.Sprintf("g%03d", i)}}
		e.State.Loaded = []engineapi.Loaded{{Model: "m", Version: "1"}}
		d.engines = append(d.engines, e)
	}
	for i := range d.hosts {
		d.hosts[i] = &host{holder: lease.Holder{TTL: controller.DefaultTTL, Margin: controller.DefaultLeaseMargin}}
	}
	d.run(time.Minute)
	return d
}

func documentWith(version string) *document.Document {
	return &document.Document{Models: []document.Model{{Name: "m", Version: version}}}
}

func (d *domain) run(t time.Duration) {
	for end := d.now.Add(t); d.now.Before(end); {
		d.step()
	}
}

// Runs until the engines match the document, at most for timeLimit, and returns how long that took.
func (d *domain) converge(timeLimit time.Duration) time.Duration {
	start := d.now
	for d.now.Sub(start) < timeLimit && (len(d.loads) > 0 || len(controller.Plan(d.document, d.engines)) > 0) {
		d.step()
	}
	return d.now.Sub(start)
}

func (d *domain) step() {
	d.now = d.now.Add(stepInterval)
	d.finishLoads()
	for _, h := range d.hosts {
		if !h.dead {
			d.maintainLease(h)
			d.act(h)
		}
	}
}

func (d *domain) maintainLease(h *host) {
	action := h.holder.Next(d.now)
	expired := !d.now.Before(d.leaseExpiry)
	switch {
	case action.Kind == lease.ActionAcquire && (d.leaseOwner == nil || expired):
		d.leaseOwner, d.leaseExpiry, d.fencing = h, d.now.Add(controller.DefaultTTL), d.fencing+1
		h.holder.Granted(d.now, d.now, "lease", d.fencing)
		h.limiter = rate.NewLimiter(rate.Limit(d.loadsPerMinute/time.Minute.Seconds()), 1)
		h.limiter.AllowN(d.now, 1)
	case action.Kind == lease.ActionRenew && d.leaseOwner == h && !expired:
		d.leaseExpiry = d.now.Add(controller.DefaultTTL)
		h.holder.Renewed(d.now)
	case action.Kind == lease.ActionRenew:
		h.holder.Expired()
	}
}

func (d *domain) act(h *host) {
	allowed := h.holder.MayAct(d.now)
	if d.unfenced {
		allowed = h.holder.MayActUnfenced(d.now)
	}
	if !allowed {
		return
	}
	for _, s := range controller.Plan(d.document, d.engines) {
		if s.ReadsWeights() && !h.limiter.AllowN(d.now, 1) {
			continue
		}
		d.sendCommand(s)
	}
}

func (d *domain) sendCommand(s controller.Step) {
	if d.firstCommand.IsZero() {
		d.firstCommand = d.now
	}
	d.commands++
	i := slices.IndexFunc(d.engines, func(e controller.Engine) bool { return e.Server.Name == s.Server.Name })
	want := engineapi.Loaded{Model: s.Command.Model, Version: s.Command.Version}
	d.engines[i].Loading = append(d.engines[i].Loading, want)
	d.loads = append(d.loads, load{engine: i, command: s.Command, done: d.now.Add(loadTime)})
}

// Completes the loads that are due. Each loaded version replaces the engine's old version of the model.
func (d *domain) finishLoads() {
	d.loads = slices.DeleteFunc(d.loads, func(l load) bool {
		if d.now.Before(l.done) {
			return false
		}
		e := &d.engines[l.engine]
		want := engineapi.Loaded{Model: l.command.Model, Version: l.command.Version}
		e.State.Loaded = []engineapi.Loaded{want}
		e.Loading = slices.DeleteFunc(e.Loading, func(x engineapi.Loaded) bool { return x == want })
		return true
	})
}
