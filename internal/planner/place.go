package planner

import (
	"math"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

// usableServers returns the servers of the request's service that it may use, in the planner's order. If there is none, it
// returns those that are excluded without a try.
func (p *Planner) usableServers(now time.Time, req *Request) []*server {
	all := p.sortedServers[req.Service]
	servers := make([]*server, 0, len(all))
	var untried []*server
	for _, s := range all {
		switch {
		case slices.Contains(req.ExcludedReplicas, s.replica.ID) || !p.inAllowedRegion(req, s):
		case s.usable(now, req.Host):
			servers = append(servers, s)
		case s.untried(now, req.Host):
			untried = append(untried, s)
		}
	}
	if len(servers) == 0 {
		return untried
	}
	return servers
}

// place chooses servers for one request. It also returns the tokens of memory to reserve at each helper replica. It
// reports false if the request must wait. The argument behind says that prompts of its size get engines too seldom.
func (p *Planner) place(now time.Time, req *Request, servers []*server, behind bool) (choice, []int, bool) {
	servers = p.withinRamp(now, req, servers)
	switch {
	case servers[0].model == nil:
		c, ok := p.placePlain(now, req, servers)
		return c, nil, ok
	case p.isLong(req):
		return p.placeLong(now, req, servers, behind)
	default:
		c, ok := p.placeShort(now, req, servers)
		return c, nil, ok
	}
}

// placePlain returns the least loaded server of a service without an engine, avoiding those with failures. It reports
// false if none has a free slot.
func (p *Planner) placePlain(now time.Time, req *Request, servers []*server) (choice, bool) {
	x := p.crossingOf(now, req)
	best, found := choice{loss: math.Inf(1)}, false
	for _, s := range servers {
		if len(s.jobs) >= s.slots() || now.Before(s.refusedUntil) {
			continue
		}
		loss := float64(len(s.jobs))/float64(s.slots()) + 2*s.failureRate(now)
		if x.crosses(s) {
			loss += plainCrossingLoss + x.cost(s)
		}
		if loss < best.loss {
			best, found = choice{primary: candidate{server: s}, loss: loss}, true
		}
	}
	return best, found
}

// recordPlacement records a choice as a job and returns its plan.
func (p *Planner) recordPlacement(now time.Time, req *Request, c choice, reservations []int) *Plan {
	p.quarantine.LetThrough(now, req.content())
	s := c.primary.server
	limited := p.limits.Take(now, s.replica)
	j := &job{
		key:          jobKey{req.Host, req.ID},
		request:      *req,
		server:       s,
		helpers:      c.helpers,
		reservations: reservations,
		firstEvent:   now.Add(c.firstEvent),
		placedAt:     now,
		firstTarget:  now.Add(req.FirstTarget),
		expires:      now.Add(req.Deadline + expiryGrace),
		memoryTokens: req.PromptTokens + req.OutputTokens,
	}
	for _, tokens := range reservations {
		j.memoryTokens -= tokens
	}
	j.missesTarget = c.firstEvent > req.FirstTarget
	p.addJob(j)
	p.recordCrossing(now, j)
	if s.model != nil {
		j.slowdown = s.model.Slowdown
		p.addPrefill(now, j, math.MaxInt64)
	}
	plan := &Plan{
		Replica: s.replica, FirstEventTime: c.firstEvent, PassTime: c.primary.passTime, RateLimited: limited,
		Cold: p.limits.Cold.Remaining(now, s.replica) > 0,
	}
	for i, h := range c.helpers {
		helper := Helper{Replica: h.replica.ID, Address: h.replica.Address}
		if reservations != nil {
			helper.ReservedTokens = reservations[i]
		}
		plan.Helpers = append(plan.Helpers, helper)
	}
	return plan
}

// addPrefill adds the prefill of the job's prompt to the pass models of all engines that take part. Each of them has at
// most the time left of its prefill still to do.
func (p *Planner) addPrefill(now time.Time, j *job, left time.Duration) {
	parts := len(j.helpers) + 1
	for i, s := range append([]*server{j.server}, j.helpers...) {
		whole := pass.PrefillTime(s.model.Engine, j.request.PromptTokens, parts)
		prefill := pass.Prefill{
			ID:     j.modelID(),
			Tokens: j.request.PromptTokens / parts,
			Time:   min(whole, left),
			Part:   i > 0,
		}
		if left < whole {
			prefill.Tokens = int(float64(prefill.Tokens) * float64(left) / float64(whole))
		}
		s.model.AddPrefill(now, prefill)
		if prefill.Part || s.model.DecodingRequests() > 0 {
			s.delayFirstEvents(j, time.Duration(float64(prefill.Time)*s.model.Slowdown))
		}
		p.markTargetMisses(now, s)
	}
}

// delayFirstEvents adds d to the predicted first events of the requests that share a pass with the prefill of j: those
// that don't decode yet and aren't prefilled in the pass in progress.
func (s *server) delayFirstEvents(j *job, d time.Duration) {
	for _, other := range s.jobs {
		if other != j && !other.decoding && !s.model.PrefillsInPass(other.modelID()) {
			other.firstEvent = other.firstEvent.Add(d)
		}
	}
}

// markTargetMisses marks the decoding requests at s whose pause target is shorter than the next pass.
func (p *Planner) markTargetMisses(now time.Time, s *server) {
	forecast := s.model.Forecast(now)
	passTime := s.model.DecodeTime(0, 0) + forecast.QueuedParts + forecast.QueuedOwn
	for _, j := range s.jobs {
		if j.decoding && j.request.PauseTarget > 0 && passTime > j.request.PauseTarget {
			j.missesTarget = true
		}
	}
}
