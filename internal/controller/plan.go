package controller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Kinds of commands to engines.
const (
	CommandLoadModel     = "load_model"
	CommandUnloadModel   = "unload_model"
	CommandLoadAdapter   = "load_adapter"
	CommandUnloadAdapter = "unload_adapter"
	CommandSetRole       = "set_role"
)

// Roles of engines.
const (
	RoleLong    = "long"    // for long prompts
	RoleGeneral = "general" // for all other prompts
)

// While the version of a model changes, at most one in enginesPerReplacement of its engines is without the model at a
// time, or one engine if the model has fewer engines.
const enginesPerReplacement = 4

type (
	// Engine is an engine with the state that was read last.
	Engine struct {
		Server  protocol.Server
		State   engineapi.State
		Loading []engineapi.Loaded // loads that were commanded and that State does not show yet
	}

	// Step is one command to one engine.
	Step struct {
		Server  protocol.Server
		Command engineapi.Command
	}
)

// ReadsWeights reports whether the engine reads from the weight store to carry out the command.
func (s Step) ReadsWeights() bool {
	return s.Command.Kind == CommandLoadModel || s.Command.Kind == CommandLoadAdapter
}

// Plan returns the commands that bring the engines of a failure domain closer to the configuration; none if they match.
//
// A command that must wait until another one has taken effect is not part of this plan but of a later one.
func Plan(d *document.Document, engines []Engine) []Step {
	p := &planner{document: d, engines: slices.Clone(engines), replacing: make(map[string]int)}
	slices.SortFunc(p.engines, func(a, b Engine) int { return cmp.Compare(a.Server.Name, b.Server.Name) })
	p.assign()
	for _, e := range p.engines {
		p.planRole(e)
		p.planLoads(e)
		p.planUnloads(e)
	}
	return p.steps
}

// planner holds the intermediate results of Plan.
type planner struct {
	document  *document.Document
	engines   []Engine
	assigned  map[string][]document.Model // models that each engine is to have, by engine
	ready     map[string]bool             // whether all engines chosen for a model have it loaded, by model
	replicas  map[string]int              // number of engines chosen for a model, by model
	replacing map[string]int              // number of engines that are replacing a version, by model
	long      map[string]bool             // engines for long prompts, by name
	steps     []Step
}

// assign chooses the engines of each model and the engines for long prompts.
func (p *planner) assign() {
	p.assigned, p.ready, p.replicas = make(map[string][]document.Model), make(map[string]bool), make(map[string]int)
	for _, m := range p.document.Models {
		chosen := chooseEngines(m, p.engines)
		p.ready[m.Name], p.replicas[m.Name] = true, len(chosen)
		for _, e := range chosen {
			p.assigned[e.Server.Name] = append(p.assigned[e.Server.Name], m)
			p.ready[m.Name] = p.ready[m.Name] && has(e.State.Loaded, baseModel(m))
			if hasAnyVersion(e.State.Loaded, m.Name) && has(e.Loading, baseModel(m)) {
				p.replacing[m.Name]++
			}
		}
	}
	p.long = make(map[string]bool)
	for _, e := range byRendezvousWeight("role", p.engines)[:min(p.document.Engines.LongPromptEngines, len(p.engines))] {
		p.long[e.Server.Name] = true
	}
}

// chooseEngines returns the engines of a model: all, or as many as the model has replicas. Engines that have the model
// already come first, others in the order of rendezvous hashing.
func chooseEngines(m document.Model, engines []Engine) []Engine {
	sorted := byRendezvousWeight(m.Name, engines)
	if m.Replicas == 0 || m.Replicas >= len(sorted) {
		return sorted
	}
	slices.SortStableFunc(sorted, func(a, b Engine) int { return cmp.Compare(preference(b, m), preference(a, m)) })
	return sorted[:m.Replicas]
}

// preference says how suitable an engine is for a model: 3 if the wanted version is loaded, 2 if it is being loaded,
// 1 if another version is loaded, else 0.
func preference(e Engine, m document.Model) int {
	switch {
	case has(e.State.Loaded, baseModel(m)):
		return 3
	case has(e.Loading, baseModel(m)):
		return 2
	case hasAnyVersion(e.State.Loaded, m.Name):
		return 1
	default:
		return 0
	}
}

// planRole adds the command that sets an engine's role if it differs. While the configuration asks for no engines for
// long prompts, only an engine with RoleLong changes.
func (p *planner) planRole(e Engine) {
	want := e.State.Role
	switch {
	case p.long[e.Server.Name]:
		want = RoleLong
	case p.document.Engines.LongPromptEngines > 0 || e.State.Role == RoleLong:
		want = RoleGeneral
	}
	if e.State.Role != want {
		p.addStep(e, engineapi.Command{Kind: CommandSetRole, Role: want})
	}
}

// planLoads adds the commands that load an engine's models and, where a model is loaded, its adapters.
func (p *planner) planLoads(e Engine) {
	for _, m := range p.assigned[e.Server.Name] {
		if !has(e.State.Loaded, baseModel(m)) {
			p.planModelLoad(e, m)
			continue // adapters can be loaded only after their model
		}
		for _, name := range m.Adapters {
			adapter := engineapi.Loaded{Model: m.Name, Version: m.Version, Adapter: name}
			if !has(e.State.Loaded, adapter) && !has(e.Loading, adapter) {
				p.addStep(e, engineapi.Command{Kind: CommandLoadAdapter, Model: m.Name, Version: m.Version, Adapter: name})
			}
		}
	}
}

// planModelLoad adds the command that loads a model, unless the engine is loading it. Loading replaces the old version,
// so only some engines do so at a time.
func (p *planner) planModelLoad(e Engine, m document.Model) {
	if has(e.Loading, baseModel(m)) {
		return
	}
	if hasAnyVersion(e.State.Loaded, m.Name) {
		if p.replacing[m.Name] >= max(1, p.replicas[m.Name]/enginesPerReplacement) {
			return
		}
		p.replacing[m.Name]++
	}
	p.addStep(e, engineapi.Command{Kind: CommandLoadModel, Model: m.Name, Version: m.Version})
}

// planUnloads adds the commands that unload models and adapters that the engine is not to have.
func (p *planner) planUnloads(e Engine) {
	for _, l := range e.State.Loaded {
		at := slices.IndexFunc(p.assigned[e.Server.Name], func(m document.Model) bool { return m.Name == l.Model })
		switch {
		case at < 0 && l.Adapter == "" && p.mayUnload(l.Model):
			p.addStep(e, engineapi.Command{Kind: CommandUnloadModel, Model: l.Model, Version: l.Version})
		case at < 0 && l.Adapter != "" && !hasAnyVersion(e.State.Loaded, l.Model),
			at >= 0 && l.Adapter != "" && !slices.Contains(p.assigned[e.Server.Name][at].Adapters, l.Adapter):
			p.addStep(e, engineapi.Command{Kind: CommandUnloadAdapter, Model: l.Model, Version: l.Version, Adapter: l.Adapter})
		}
	}
}

// mayUnload reports whether an engine that is not chosen for a model may unload it: once all chosen engines have it, or
// if the configuration does not have the model.
func (p *planner) mayUnload(model string) bool {
	ready, wanted := p.ready[model]
	return ready || !wanted
}

func (p *planner) addStep(e Engine, o engineapi.Command) {
	p.steps = append(p.steps, Step{Server: e.Server, Command: o})
}

// baseModel returns the entry of a model without an adapter in an engine's state.
func baseModel(m document.Model) engineapi.Loaded {
	return engineapi.Loaded{Model: m.Name, Version: m.Version}
}

func has(loaded []engineapi.Loaded, l engineapi.Loaded) bool { return slices.Contains(loaded, l) }

// hasAnyVersion reports whether any version of the model is loaded.
func hasAnyVersion(loaded []engineapi.Loaded, model string) bool {
	return slices.ContainsFunc(loaded, func(l engineapi.Loaded) bool { return l.Model == model && l.Adapter == "" })
}

// byRendezvousWeight returns the engines in descending order of their rendezvous weight for key.
func byRendezvousWeight(key string, engines []Engine) []Engine {
	sorted := slices.Clone(engines)
	weight := func(e Engine) uint64 { return xxhash.Sum64String(key + "\x00" + e.Server.Name) }
	slices.SortFunc(sorted, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Server.Name, b.Server.Name))
	})
	return sorted
}
