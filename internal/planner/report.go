package planner

import (
	"slices"
	"time"
)

// Started takes the news that a request's first event has come.
func (p *Planner) Started(now time.Time, host, id string) {
	j := p.jobs[jobKey{host, id}]
	if j == nil || j.writing {
		return
	}
	j.writing = true
	j.first = now
	j.server.sign = now
	if now.After(j.aim) {
		j.late = true
	}
	j.server.noteUp(now)
	if j.server.model == nil {
		return
	}
	j.server.model.Write(now, j.name(), j.ask.PromptTokens/(len(j.helpers)+1), j.joint())
	j.passes = j.server.model.Passes()
	for _, h := range j.helpers {
		h.model.Leave(now, j.name(), false)
	}
}

// Patience returns how much longer it is to be expected that nothing comes for a request; 0 means that its server seems
// to be gone.
func (p *Planner) Patience(now time.Time, host, id string) time.Duration {
	j := p.jobs[jobKey{host, id}]
	if j == nil || j.server.model == nil {
		return 0
	}
	s := j.server
	o := s.model.Outlook(now)
	wait := o.Begin.Sub(now)
	if !j.writing {
		wait += o.Parts + o.Own
	}
	if wait > usualPass || now.Sub(s.sign) < signTime {
		return wait + signTime
	}
	return 0
}

// Ended takes the news of how a request ended at its backend server.
func (p *Planner) Ended(now time.Time, host, id string, outcome Outcome) {
	j := p.jobs[jobKey{host, id}]
	if j == nil {
		p.withdraw(host, id)
		return
	}
	p.remove(now, j)
	s := j.server
	switch outcome {
	case OutcomeDone:
		s.sign = now
		s.noteUp(now)
	case OutcomeFailed:
		s.noteOutcome(now, true)
	case OutcomeRefused:
		s.fullTill = now.Add(fullTime)
		s.noteOutcome(now, true)
	case OutcomeUnreachable:
		p.noteDown(now, s)
	case OutcomeSilent:
		s.noteOutcome(now, true)
		p.noteDown(now, s)
		suspect(now, j.helpers)
	case OutcomeBroken:
		s.noteOutcome(now, true)
		p.noteCrash(now, j)
		suspect(now, j.helpers)
	case OutcomeCanceled:
	}
}

// suspect notes that one of the helpers of a prompt that failed may be at fault.
func suspect(now time.Time, helpers []*server) {
	for _, h := range helpers {
		h.noteOutcome(now, true)
	}
}

// noteDown leaves a server alone for a while, and with it the others of its failure domain if that seems to be cut off.
func (p *Planner) noteDown(now time.Time, s *server) {
	s.noteDown(now)
	cut := 0
	for _, other := range p.services[s.replica.Service] {
		if other.replica.FailureDomain == s.replica.FailureDomain && other.fellSilent(now) {
			cut++
		}
	}
	if cut < domainCut {
		return
	}
	for _, other := range p.services[s.replica.Service] {
		if other.replica.FailureDomain == s.replica.FailureDomain && now.Sub(other.sign) > signTime && !now.Before(other.down) {
			other.noteDown(now)
		}
	}
}

// domainCut is how many replicas of a failure domain that can't be reached mean that it is cut off.
const domainCut = 2

// withdraw forgets an ask that still waits.
func (p *Planner) withdraw(host, id string) {
	for i := range p.waiting {
		if a := &p.waiting[i].ask; a.Host == host && a.ID == id {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

func (p *Planner) noteCrash(now time.Time, j *job) {
	if j.ask.Fingerprint == 0 {
		return
	}
	c := p.crashes[j.ask.Fingerprint]
	p.crashes[j.ask.Fingerprint] = crashes{count: c.count + 1, last: now}
}

// Adopt takes over a request that another planner placed.
func (p *Planner) Adopt(now time.Time, h Held) {
	key := jobKey{h.Ask.Host, h.Ask.ID}
	s := p.services[h.Ask.Service][h.Replica]
	if s == nil || p.jobs[key] != nil {
		return
	}
	j := &job{
		key: key, ask: h.Ask, server: s, first: now,
		aim: now.Add(h.Ask.FirstAim), expires: now.Add(h.Ask.Deadline + expiryGrace),
		tokens: h.Ask.PromptTokens + h.Ask.OutputTokens,
	}
	for _, helper := range h.Helpers {
		if hs := p.services[h.Ask.Service][helper.Replica]; hs != nil {
			j.helpers = append(j.helpers, hs)
			j.reserves = append(j.reserves, helper.Reserve)
			j.tokens -= helper.Reserve
		}
	}
	p.add(j)
	switch {
	case s.model == nil:
		j.writing = h.Writing
	case h.Writing:
		j.writing = true
		s.model.Write(now, j.name(), h.Ask.PromptTokens/(len(j.helpers)+1), j.joint())
		j.passes = s.model.Passes()
	default:
		p.read(now, j)
		o := s.model.Outlook(now)
		j.first = o.Begin.Add(s.model.Steps(0, 0) + o.Parts + o.Own)
	}
}

// HostLost forgets the requests of an entry host that is gone.
func (p *Planner) HostLost(now time.Time, host string) {
	for key, j := range p.jobs {
		if key.host == host {
			p.remove(now, j)
		}
	}
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if w.ask.Host != host {
			kept = append(kept, w)
		}
	}
	p.waiting = kept
}

func (p *Planner) add(j *job) {
	j.heavy = p.isHeavy(&j.ask)
	p.jobs[j.key] = j
	j.server.jobs = append(j.server.jobs, j)
	j.server.memory += j.tokens
	if !j.heavy {
		j.server.shorts++
	}
	for i, h := range j.helpers {
		h.helps++
		if i < len(j.reserves) {
			h.memory += j.reserves[i]
		}
	}
}

func (p *Planner) remove(now time.Time, j *job) {
	delete(p.jobs, j.key)
	p.freed = true
	s := j.server
	s.jobs = slices.DeleteFunc(s.jobs, func(other *job) bool { return other == j })
	s.memory -= j.tokens
	if !j.heavy {
		s.shorts--
	}
	if s.model != nil {
		s.model.Leave(now, j.name(), j.joint())
	}
	for i, h := range j.helpers {
		h.helps--
		if i < len(j.reserves) {
			h.memory -= j.reserves[i]
		}
		h.model.Leave(now, j.name(), false)
	}
}

// sweep forgets requests that nobody ended and crashes that are long past.
func (p *Planner) sweep(now time.Time) {
	const sweepInterval = time.Second
	if now.Sub(p.swept) < sweepInterval {
		return
	}
	p.swept = now
	for _, j := range p.jobs {
		if now.After(j.expires) {
			p.remove(now, j)
		}
	}
	for print, c := range p.crashes {
		if now.Sub(c.last) > crashMemory {
			delete(p.crashes, print)
		}
	}
}
