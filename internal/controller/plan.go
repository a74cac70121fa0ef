package controller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Kinds of orders to engines.
const (
	OrderLoadModel     = "load_model"
	OrderUnloadModel   = "unload_model"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
	OrderSetRole       = "set_role"
)

// Roles of engines.
const (
	RoleLong    = "long"
	RoleGeneral = "general"
)

// While a model changes its version, one in replacedAtOnce of its engines is without it at a time.
const replacedAtOnce = 4

type (
	// Engine is an engine as its state was read last.
	Engine struct {
		Server  protocol.Server
		State   engineapi.State
		Loading []engineapi.Loaded // ordered and not in State yet
	}

	// Step is one order to one engine.
	Step struct {
		Server protocol.Server
		Order  engineapi.Order
	}
)

// Load reports whether the order reads from the weight store.
func (s Step) Load() bool {
	return s.Order.Kind == OrderLoadModel || s.Order.Kind == OrderLoadAdapter
}

// Plan returns the orders that bring the engines of a failure domain closer to the document; none when they match.
//
// Orders that must wait for another one's effect are left to a later plan.
func Plan(d *document.Document, engines []Engine) []Step {
	p := &planner{document: d, engines: slices.Clone(engines), replacing: make(map[string]int)}
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.Server.Name, b.Server.Name) })
	p.place()
	for _, e := range p.engines {
		p.roles(e)
		p.loads(e)
		p.unloads(e)
	}
	return p.steps
}

type planner struct {
	document  *document.Document
	engines   []Engine
	placed    map[string][]document.Model // by engine
	ready     map[string]bool             // models that all chosen engines have
	serving   map[string]int              // engines chosen for a model
	replacing map[string]int              // engines that are replacing a version, by model
	long      map[string]bool             // engines for long prompts
	steps     []Step
}

func (p *planner) place() {
	p.placed, p.ready, p.serving = make(map[string][]document.Model), make(map[string]bool), make(map[string]int)
	for _, m := range p.document.Models {
		chosen := choose(m, p.engines)
		p.ready[m.Name], p.serving[m.Name] = true, len(chosen)
		for _, e := range chosen {
			p.placed[e.Server.Name] = append(p.placed[e.Server.Name], m)
			p.ready[m.Name] = p.ready[m.Name] && has(e.State.Loaded, base(m))
			if serves(e.State.Loaded, m.Name) && has(e.Loading, base(m)) {
				p.replacing[m.Name]++
			}
		}
	}
	p.long = make(map[string]bool)
	for _, e := range byWeight("role", p.engines)[:min(p.document.Engines.LongEngines, len(p.engines))] {
		p.long[e.Server.Name] = true
	}
}

// Chooses the engines of a model: those that have it already first, then by rendezvous hashing.
func choose(m document.Model, engines []Engine) []Engine {
	sorted := byWeight(m.Name, engines)
	if m.Replicas == 0 || m.Replicas >= len(sorted) {
		return sorted
	}
	slices.SortStableFunc(sorted, func(a, b Engine) int { return cmp.Compare(fit(b, m), fit(a, m)) })
	return sorted[:m.Replicas]
}

func fit(e Engine, m document.Model) int {
	switch {
	case has(e.State.Loaded, base(m)):
		return 3
	case has(e.Loading, base(m)):
		return 2
	case serves(e.State.Loaded, m.Name):
		return 1
	default:
		return 0
	}
}

func (p *planner) roles(e Engine) {
	want := e.State.Role
	switch {
	case p.long[e.Server.Name]:
		want = RoleLong
	case p.document.Engines.LongEngines > 0 || e.State.Role == RoleLong:
		want = RoleGeneral
	}
	if e.State.Role != want {
		p.add(e, engineapi.Order{Kind: OrderSetRole, Role: want})
	}
}

func (p *planner) loads(e Engine) {
	for _, m := range p.placed[e.Server.Name] {
		if !has(e.State.Loaded, base(m)) {
			p.loadModel(e, m)
			continue // adapters need their model
		}
		for _, name := range m.Adapters {
			adapter := engineapi.Loaded{Model: m.Name, Version: m.Version, Adapter: name}
			if !has(e.State.Loaded, adapter) && !has(e.Loading, adapter) {
				p.add(e, engineapi.Order{Kind: OrderLoadAdapter, Model: m.Name, Version: m.Version, Adapter: name})
			}
		}
	}
}

// Loading a model replaces its old version, so only some engines do so at a time.
func (p *planner) loadModel(e Engine, m document.Model) {
	if has(e.Loading, base(m)) {
		return
	}
	if serves(e.State.Loaded, m.Name) {
		if p.replacing[m.Name] >= max(1, p.serving[m.Name]/replacedAtOnce) {
			return
		}
		p.replacing[m.Name]++
	}
	p.add(e, engineapi.Order{Kind: OrderLoadModel, Model: m.Name, Version: m.Version})
}

func (p *planner) unloads(e Engine) {
	for _, l := range e.State.Loaded {
		at := slices.IndexFunc(p.placed[e.Server.Name], func(m document.Model) bool { return m.Name == l.Model })
		switch {
		case at < 0 && l.Adapter == "" && p.mayGo(l.Model):
			p.add(e, engineapi.Order{Kind: OrderUnloadModel, Model: l.Model, Version: l.Version})
		case at < 0 && l.Adapter != "" && !serves(e.State.Loaded, l.Model),
			at >= 0 && l.Adapter != "" && !slices.Contains(p.placed[e.Server.Name][at].Adapters, l.Adapter):
			p.add(e, engineapi.Order{Kind: OrderUnloadAdapter, Model: l.Model, Version: l.Version, Adapter: l.Adapter})
		}
	}
}

// A surplus replica goes only after the chosen engines have the model.
func (p *planner) mayGo(model string) bool {
	ready, wanted := p.ready[model]
	return ready || !wanted
}

func (p *planner) add(e Engine, o engineapi.Order) {
	p.steps = append(p.steps, Step{Server: e.Server, Order: o})
}

func base(m document.Model) engineapi.Loaded {
	return engineapi.Loaded{Model: m.Name, Version: m.Version}
}

func has(loaded []engineapi.Loaded, l engineapi.Loaded) bool { return slices.Contains(loaded, l) }

func serves(loaded []engineapi.Loaded, model string) bool {
	return slices.ContainsFunc(loaded, func(l engineapi.Loaded) bool { return l.Model == model && l.Adapter == "" })
}

// Returns engines in descending order of their rendezvous weight for key.
func byWeight(key string, engines []Engine) []Engine {
	sorted := slices.Clone(engines)
	weight := func(e Engine) uint64 { return xxhash.Sum64String(key + "\x00" + e.Server.Name) }
	slices.SortFunc(sorted, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Server.Name, b.Server.Name))
	})
	return sorted
}
