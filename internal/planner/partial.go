package planner

import "github.com/turmericshunt/turmericshunt/internal/pass"

// SetPartialView sets whether this planner knows of the placements of a part of the hosts only, because it has just started
// or few hosts follow it.
func (p *Planner) SetPartialView(partial bool) { p.partialView = partial }

// PartialView reports what SetPartialView has set last.
func (p *Planner) PartialView() bool { return p.partialView }

// fewServers returns the servers that a long prompt may use while the planner doesn't know what other planners have placed:
// as few as prefill it in time and have memory for it, and the reserve for short prompts, those with the least to do. Prompts
// that are split over all engines which seem idle would meet those of other planners there, and the short prompts of all.
func (p *Planner) fewServers(req *Request, servers []*server) []*server {
	if servers[0].model == nil {
		return servers
	}
	few := 1
	for few < min(maxEnginesPerPrompt, len(servers)) && !p.enginesSuffice(req, servers[0], few) {
		few++
	}
	few += few - maxLongPromptEngines(few)
	if few >= len(servers) {
		return servers
	}
	return sortByLongWork(servers)[:few]
}

// enginesSuffice reports whether that many idle engines like that of s prefill a prompt in time and have memory for it.
func (p *Planner) enginesSuffice(req *Request, s *server, engines int) bool {
	prefill := pass.PrefillTime(s.model.Engine, req.PromptTokens, engines) + mergeTime
	return missProbability(prefill, req.FirstTarget) <= maxMissRisk &&
		req.PromptTokens+req.OutputTokens <= engines*s.memory()
}
