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
	interval = time.Second
	loadTime = 20 * time.Second // of a model's weights
)

type (
	// host is a host that holds or waits for the lease.
	host struct {
		holder  lease.Holder
		dead    bool
		limiter *rate.Limiter
	}

	// load is an order that an engine is carrying out.
	load struct {
		engine int
		order  engineapi.Order
		done   time.Time
	}

	// domain is a failure domain with its engines, two hosts and the lease in the store.
	domain struct {
		now      time.Time
		document *document.Document
		unfenced bool
		perMin   float64
		engines  []controller.Engine
		loads    []load
		hosts    [2]*host
		owner    *host
		lapse    time.Time
		fencing  uint64
		orders   int
		first    time.Time // when the first order was sent
	}
)

func newDomain(engines int, perMin float64, unfenced bool) *domain {
	d := &domain{now: time.Unix(0, 0), perMin: perMin, unfenced: unfenced, document: wanted("1")}
	for i := range engines {
		e := controller.Engine{Server: protocol.Server{Name: fmt.Sprintf("g%03d", i)}}
		e.State.Loaded = []engineapi.Loaded{{Model: "m", Version: "1"}}
		d.engines = append(d.engines, e)
	}
	for i := range d.hosts {
		d.hosts[i] = &host{holder: lease.Holder{TTL: controller.DefaultTTL, Margin: controller.DefaultMargin}}
	}
	d.run(time.Minute)
	return d
}

func wanted(version string) *document.Document {
	return &document.Document{Models: []document.Model{{Name: "m", Version: version}}}
}

func (d *domain) run(t time.Duration) {
	for end := d.now.Add(t); d.now.Before(end); {
		d.step()
	}
}

// Runs until the engines match the document or limit is over, and returns how long that took.
func (d *domain) converge(limit time.Duration) time.Duration {
	start := d.now
	for d.now.Sub(start) < limit && (len(d.loads) > 0 || len(controller.Plan(d.document, d.engines)) > 0) {
		d.step()
	}
	return d.now.Sub(start)
}

func (d *domain) step() {
	d.now = d.now.Add(interval)
	d.finish()
	for _, h := range d.hosts {
		if !h.dead {
			d.keepLease(h)
			d.drive(h)
		}
	}
}

func (d *domain) keepLease(h *host) {
	action := h.holder.Next(d.now)
	lapsed := !d.now.Before(d.lapse)
	switch {
	case action.Kind == lease.ActionAcquire && (d.owner == nil || lapsed):
		d.owner, d.lapse, d.fencing = h, d.now.Add(controller.DefaultTTL), d.fencing+1
		h.holder.Granted(d.now, d.now, "lease", d.fencing)
		h.limiter = rate.NewLimiter(rate.Limit(d.perMin/time.Minute.Seconds()), 1)
		h.limiter.AllowN(d.now, 1)
	case action.Kind == lease.ActionRenew && d.owner == h && !lapsed:
		d.lapse = d.now.Add(controller.DefaultTTL)
		h.holder.Renewed(d.now)
	case action.Kind == lease.ActionRenew:
		h.holder.Lapsed()
	}
}

func (d *domain) drive(h *host) {
	may := h.holder.MayAct(d.now)
	if d.unfenced {
		may = h.holder.MayActUnfenced(d.now)
	}
	if !may {
		return
	}
	for _, s := range controller.Plan(d.document, d.engines) {
		if s.Load() && !h.limiter.AllowN(d.now, 1) {
			continue
		}
		d.order(s)
	}
}

func (d *domain) order(s controller.Step) {
	if d.first.IsZero() {
		d.first = d.now
	}
	d.orders++
	i := slices.IndexFunc(d.engines, func(e controller.Engine) bool { return e.Server.Name == s.Server.Name })
	want := engineapi.Loaded{Model: s.Order.Model, Version: s.Order.Version}
	d.engines[i].Loading = append(d.engines[i].Loading, want)
	d.loads = append(d.loads, load{engine: i, order: s.Order, done: d.now.Add(loadTime)})
}

// Completes the loads that are due; each replaces the model's old version.
func (d *domain) finish() {
	d.loads = slices.DeleteFunc(d.loads, func(l load) bool {
		if d.now.Before(l.done) {
			return false
		}
		e := &d.engines[l.engine]
		want := engineapi.Loaded{Model: l.order.Model, Version: l.order.Version}
		e.State.Loaded = []engineapi.Loaded{want}
		e.Loading = slices.DeleteFunc(e.Loading, func(x engineapi.Loaded) bool { return x == want })
		return true
	})
}
