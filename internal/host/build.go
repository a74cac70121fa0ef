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

// releaseTimeout limits one attempt to release an allocation on an engine.
const releaseTimeout = 2 * time.Second

// controlInterval is the interval at which the controller compares the states of the engines with the configuration.
const controlInterval = 3 * time.Second

// usageSpreadTime is the time within which usage rows reach all hosts of a failure domain. It is long because each
// heartbeat carries only the next few rows.
const usageSpreadTime = 14 * time.Second

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (h *Host) buildMembers() {
	interval := time.Duration(h.Settings.Timing.ProbeInterval)
	h.fleet = &fleet.Store{}
	h.suspects = &suspect.Tracker{Host: h.self.Name}
	h.quota = &quota.Limiter{
		Host: h.self.Name, Incarnation: h.self.Incarnation, HostCount: 1,
		PropagationDelay: usageSpreadTime,
	}
	h.gossip = &gossip{host: h}
	h.members = &heartbeat.Exchange{
		Members:  &member.List{Self: h.self, Rand: newRand(), ProbeInterval: interval},
		Peers:    h.transport,
		Gossip:   h.gossip,
		OnChange: h.membersChanged,
		Metrics:  h.metrics.Scope,
	}
	h.edgeTasks = &edgeTasks{host: h}
	h.viewPublisher = &viewPublisher{host: h}
	h.distributor = &distributor{host: h, spreader: spread.Distributor{Self: h.self}}
}

func (h *Host) buildScheduling() {
	h.engines = &engine.Client{Host: h.self, FrameTimeout: time.Duration(h.Settings.Timing.FrameGap)}
	h.reclaim = &reclaim.Worker{
		Tracker: &release.Tracker{}, Engines: h.engines, Servers: h, Timeout: releaseTimeout, Metrics: h.metrics.Scope,
	}
	h.schedulers = &scheduler.Set{
		Host: h.self, Engines: h.engines, Suspects: h.suspects, Peers: h, Comparison: &release.OrphanDetector{},
		Releaser: h.reclaim, AliveHosts: h.members.Alive, Metrics: h.metrics.Scope, Log: h.Log,
	}
	h.router.Store(&routing.Router{Objective: document.ObjectiveFirstToken, Seed: rand.Uint64()})
	h.dispatcher = &dispatch.Dispatcher{
		Host: h.self, Fleet: h.fleet, Router: h, Schedulers: h, Engines: h.engines,
		Retry: &retry.Policy{Rand: newRand()}, Suspects: h.suspects, Peers: h, Quota: h.quota, Admission: &admission.Controller{},
		Planner: &longprompt.Planner{}, Releaser: h.reclaim, Metrics: h.metrics.Scope, Log: h.Log,
	}
}

func (h *Host) buildController() {
	h.controller = &controller.Controller{
		Store: h.platform, Engines: h.engines, Host: h.self, FailureDomain: h.self.FailureDomain, Configuration: h.Document,
		Servers: h.nonLeavingEngines, FailureDomainCount: h.failureDomains, Interval: controlInterval,
		Metrics: h.metrics.Scope, Log: h.Log,
	}
}

func (h *Host) buildServices() {
	h.services = &service.Pool{FailureDomain: h.self.FailureDomain, Region: h.self.Region, Seed: rand.Uint64()}
	h.orders = &order.Runner{
		Store: h.platform, Services: h.services, Owners: h, Peers: h, Host: h.self, Now: time.Now, Metrics: h.metrics.Scope, Log: h.Log,
	}
}

// applyConfiguration hands a new active configuration to the components that depend on it. spread.ActiveConfig calls
// it after each change, so it must not block.
func (h *Host) applyConfiguration(s *spread.Snapshot) {
	d := s.Document
	h.quota.SetLimits(d.Workspaces)
	h.router.Store(&routing.Router{Objective: d.Scheduling.Objective, Seed: rand.Uint64()})
	h.schedulers.SetConfiguration(d)
	h.distributor.distribute(s)
	h.edgeTasks.notify()
}

// Candidates returns the backend servers that the router of the active configuration selects for a grant request.
func (h *Host) Candidates(now time.Time, view *fleet.View, req protocol.GrantRequest,
	exclude []string,
) []routing.Candidate {
	return h.router.Load().Candidates(now, view, req, exclude)
}

// Document returns the active configuration, or nil if the host has none yet.
func (h *Host) Document() *document.Document {
	if s := h.config.Current(); s != nil {
		return s.Document
	}
	return nil
}
