package host

import (
	"math/rand/v2"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/admission"
	"github.com/turmericshunt/turmericshunt/internal/controller"
	"github.com/turmericshunt/turmericshunt/internal/dispatch"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/engine"
	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/heartbeat"
	"github.com/turmericshunt/turmericshunt/internal/longprompt"
	"github.com/turmericshunt/turmericshunt/internal/member"
	"github.com/turmericshunt/turmericshunt/internal/order"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/quota"
	"github.com/turmericshunt/turmericshunt/internal/reclaim"
	"github.com/turmericshunt/turmericshunt/internal/release"
	"github.com/turmericshunt/turmericshunt/internal/retry"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/scheduler"
	"github.com/turmericshunt/turmericshunt/internal/service"
	"github.com/turmericshunt/turmericshunt/internal/spread"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
)

const releaseTimeout = 2 * time.Second

// The engines' states are compared with the configuration after this time.
const controlInterval = 3 * time.Second

// Usage rows reach all hosts of a failure domain within this time, since they take turns.
const usageSpread = 14 * time.Second

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (h *Host) buildMembers() {
	interval := time.Duration(h.Settings.Timing.ProbeInterval)
	h.fleet = &fleet.Table{}
	h.suspects = &suspect.Ledger{Host: h.self.Name}
	h.quota = &quota.Limiter{Host: h.self.Name, Incarnation: h.self.Incarnation, Hosts: 1, Spread: usageSpread}
	h.news = &news{host: h}
	h.members = &heartbeat.Exchange{
		Members: &member.List{Self: h.self, Rand: newRand(), ProbeInterval: interval},
		Peers:   h.transport,
		News:    h.news,
		Changed: h.membersChanged,
		Metrics: h.metrics.Scope,
	}
	h.duties = &duties{host: h}
	h.views = &views{host: h}
	h.spreading = &spreading{host: h, decide: spread.Spreader{Self: h.self}}
}

func (h *Host) buildScheduling() {
	h.engines = &engine.Client{Host: h.self, GapTimeout: time.Duration(h.Settings.Timing.FrameGap)}
	h.reclaim = &reclaim.Worker{
		Tracker: &release.Tracker{}, Engines: h.engines, Servers: h, Timeout: releaseTimeout, Metrics: h.metrics.Scope,
	}
	h.schedulers = &scheduler.Set{
		Host: h.self, Engines: h.engines, Suspects: h.suspects, Peers: h, Comparison: &release.Comparison{},
		Releaser: h.reclaim, Living: h.members.Alive, Metrics: h.metrics.Scope, Log: h.Log,
	}
	h.router.Store(&routing.Router{Weight: document.WeightFirstToken, Seed: rand.Uint64()})
	h.dispatcher = &dispatch.Dispatcher{
		Host: h.self, Fleet: h.fleet, Router: h, Schedulers: h, Engines: h.engines,
		Retry: &retry.Policy{Rand: newRand()}, Suspects: h.suspects, Peers: h, Quota: h.quota, Admission: &admission.Controller{},
		Planner: &longprompt.Planner{}, Releaser: h.reclaim, Metrics: h.metrics.Scope, Log: h.Log,
	}
}

func (h *Host) buildController() {
	h.controller = &controller.Controller{
		Store: h.platform, Engines: h.engines, Host: h.self, Domain: h.self.FailureDomain, Wanted: h.Document,
		Servers: h.liveEngines, FailureDomains: h.failureDomains, Interval: controlInterval, Metrics: h.metrics.Scope, Log: h.Log,
	}
}

func (h *Host) buildServices() {
	h.services = &service.Pool{FailureDomain: h.self.FailureDomain, Region: h.self.Region, Seed: rand.Uint64()}
	h.orders = &order.Runner{
		Store: h.platform, Services: h.services, Owners: h, Peers: h, Host: h.self, Now: time.Now, Metrics: h.metrics.Scope, Log: h.Log,
	}
}

// Takes a new configuration into use; it must not block.
func (h *Host) configured(s *spread.Snapshot) {
	d := s.Document
	h.quota.Set(d.Workspaces)
	h.router.Store(&routing.Router{Weight: d.Scheduling.Weight, Seed: rand.Uint64()})
	h.schedulers.SetDocument(d)
	h.spreading.changed(s)
	h.duties.notify()
}

// Candidates picks backend servers by the configuration in force.
func (h *Host) Candidates(now time.Time, view *fleet.View, ask protocol.Ask, exclude []string) []routing.Candidate {
	return h.router.Load().Candidates(now, view, ask, exclude)
}

// Document returns the configuration in force, or nil before there is one.
func (h *Host) Document() *document.Document {
	if s := h.keeper.Current(); s != nil {
		return s.Document
	}
	return nil
}
