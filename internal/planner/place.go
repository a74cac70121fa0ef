package planner

import (
	"math"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

// decay returns what is left of a rate after d without news.
func decay(d time.Duration) float64 { return math.Exp(-float64(d) / float64(rateMemory)) }

// candidates returns the servers of the ask's service that it may use, in the order of their ids.
func (p *Planner) candidates(now time.Time, a *Ask) []*server {
	all := p.ordered[a.Service]
	servers := make([]*server, 0, len(all))
	for _, s := range all {
		if s.usable(now) && !slices.Contains(a.Avoid, s.replica.ID) {
			servers = append(servers, s)
		}
	}
	return servers
}

// place decides on one ask: a choice with the memory to reserve at its helpers, or none if it must wait.
func (p *Planner) place(now time.Time, a *Ask, servers []*server) (choice, []int, bool) {
	switch {
	case servers[0].model == nil:
		c, ok := p.placePlain(now, servers)
		return c, nil, ok
	case p.isHeavy(a):
		return p.heavy(now, a, servers)
	default:
		c, ok := p.single(now, a, servers)
		return c, nil, ok
	}
}

// placePlain takes the server with the fewest requests.
func (p *Planner) placePlain(now time.Time, servers []*server) (choice, bool) {
	best, found := choice{loss: math.Inf(1)}, false
	for _, s := range servers {
		if len(s.jobs) >= s.slots() || now.Before(s.fullTill) {
			continue
		}
		loss := float64(len(s.jobs))/float64(s.slots()) + 2*s.failureShare(now)
		if loss < best.loss {
			best, found = choice{lead: spot{server: s}, loss: loss}, true
		}
	}
	return best, found
}

// put records a choice as a job and returns its plan.
func (p *Planner) put(now time.Time, a *Ask, c choice, reserves []int) *Plan {
	s := c.lead.server
	j := &job{
		key:      jobKey{a.Host, a.ID},
		ask:      *a,
		server:   s,
		helpers:  c.helpers,
		reserves: reserves,
		first:    now.Add(c.first),
		aim:      now.Add(a.FirstAim),
		expires:  now.Add(a.Deadline + expiryGrace),
		tokens:   a.PromptTokens + a.OutputTokens,
	}
	for _, r := range reserves {
		j.tokens -= r
	}
	j.late = c.first > a.FirstAim
	p.add(j)
	if s.model != nil {
		p.read(now, j)
	}
	plan := &Plan{Replica: s.replica, First: c.first, Pass: c.lead.pass}
	for i, h := range c.helpers {
		helper := Helper{Replica: h.replica.ID, Address: h.replica.Address}
		if reserves != nil {
			helper.Reserve = reserves[i]
		}
		plan.Helpers = append(plan.Helpers, helper)
	}
	return plan
}

// read adds the job's reading to the engines that take part.
func (p *Planner) read(now time.Time, j *job) {
	parts := len(j.helpers) + 1
	for i, s := range append([]*server{j.server}, j.helpers...) {
		r := pass.Read{
			ID:     j.name(),
			Tokens: j.ask.PromptTokens / parts,
			Time:   pass.ReadTime(s.model.Engine, j.ask.PromptTokens, parts),
			Part:   i > 0,
		}
		s.model.Join(now, r)
		if r.Part || s.model.Writers() > 0 {
			s.putOff(j, time.Duration(float64(r.Time)*s.model.Pace))
		}
		p.markLate(now, s)
	}
}

// putOff moves the predicted first events of the requests that are read in one pass with j.
func (s *server) putOff(j *job, d time.Duration) {
	for _, other := range s.jobs {
		if other != j && !other.writing && !s.model.Reads(other.name()) {
			other.first = other.first.Add(d)
		}
	}
}

// markLate notes the writers at s that the coming pass makes late.
func (p *Planner) markLate(now time.Time, s *server) {
	o := s.model.Outlook(now)
	passTime := s.model.Steps(0, 0) + o.Parts + o.Own
	for _, j := range s.jobs {
		if j.writing && j.ask.GapAim > 0 && passTime > j.ask.GapAim {
			j.late = true
		}
	}
}
