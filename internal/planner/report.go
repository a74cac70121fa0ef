package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Started is called when a request's first event has arrived.
func (p *Planner) Started(now time.Time, host, id string) {
	j := p.jobs[jobKey{host, id}]
	if j == nil || j.decoding {
		return
	}
	p.learnWarmup(now, j)
	p.learnSlowdown(now, j)
	j.decoding = true
	j.firstEvent = now
	p.quarantine.Alive(now, incarnation(&j.server.replica))
	if now.After(j.firstTarget) {
		j.missesTarget = true
	}
	j.server.recordOutcome(now, false)
	j.server.recordReached(now, host)
	if j.server.model == nil {
		return
	}
	j.server.model.StartDecoding(now, j.modelID(), j.request.PromptTokens/(len(j.helpers)+1), j.split())
	j.firstPass = j.server.model.Passes()
	for _, h := range j.helpers {
		h.removeFromModel(now, j.modelID(), false)
	}
}

// ExtraWait returns the extra wait for a request from which nothing arrives: how much longer its server should be
// waited for. It returns 0 if the server seems to have failed.
func (p *Planner) ExtraWait(now time.Time, host, id string) time.Duration {
	j := p.jobs[jobKey{host, id}]
	if j == nil || j.server.model == nil {
		return 0
	}
	s := j.server
	if p.lostBy(host, &s.replica) {
		return 0
	}
	forecast := s.model.Forecast(now)
	wait := forecast.NextPass.Sub(now)
	if !j.decoding {
		wait += forecast.QueuedParts + forecast.QueuedOwn
	}
	if wait > usualPassLimit || now.Sub(s.lastAlive) < aliveWindow {
		return wait + aliveWindow
	}
	if !s.isExcluded(now, allHosts) {
		p.exclude(now, s, allHosts, host)
	}
	return 0
}

// Ended is called when a request has ended at its backend server, or when its host no longer needs a plan.
func (p *Planner) Ended(now time.Time, host, id string, outcome Outcome) {
	j := p.jobs[jobKey{host, id}]
	if j == nil {
		p.removeWaiting(host, id)
		return
	}
	p.removeJob(now, j)
	p.recordLost(now, j, outcome)
	s := j.server
	p.RecordOutcome(now, &j.request, &s.replica, j.writingTime(now), outcome)
	if p.lostBy(host, &s.replica) && (outcome == OutcomeBroken || outcome == OutcomeSilent) {
		return // the path may have failed, not the server
	}
	switch outcome {
	case OutcomeCompleted:
		s.recordOutcome(now, false)
		s.recordReached(now, host)
	case OutcomeFailed:
		s.recordOutcome(now, true)
	case OutcomeRefused:
		s.refusedUntil = now.Add(refusalBackoff)
		s.recordOutcome(now, true)
	case OutcomeUnreachable:
		p.recordUnreachable(now, s, host)
	case OutcomeSilent:
		s.recordOutcome(now, true)
		if !s.isExcluded(now, allHosts) {
			p.exclude(now, s, allHosts, host)
		}
		countHelperFailures(now, j.helpers)
	case OutcomeBroken:
		s.recordOutcome(now, true)
		countHelperFailures(now, j.helpers)
	case OutcomeCanceled:
	}
}

// Pause is called before Ended if the backend server has asked for a pause.
func (p *Planner) Pause(now time.Time, host, id string, pause Pause) {
	j := p.jobs[jobKey{host, id}]
	if j == nil {
		return
	}
	length := pause.Length
	if !pause.Common {
		length = min(length, maxCommonPause)
	}
	if until := now.Add(length); until.After(j.server.pausedUntil) {
		j.server.pausedUntil = until
	}
}

// countHelperFailures counts a failure against the helper replicas of a prompt that failed, since any of them may be
// the cause.
func countHelperFailures(now time.Time, helpers []*server) {
	for _, h := range helpers {
		h.recordOutcome(now, true)
	}
}

// removeWaiting removes a request that is still waiting.
func (p *Planner) removeWaiting(host, id string) {
	for i := range p.waiting {
		if req := &p.waiting[i].request; req.Host == host && req.ID == id {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// Restore restores a placement that another planner made. It does nothing if the replica is unknown or the request is
// already placed.
func (p *Planner) Restore(now time.Time, placement Placement) {
	key := jobKey{placement.Request.Host, placement.Request.ID}
	s := p.services[placement.Request.Service][placement.Replica]
	if s == nil || p.jobs[key] != nil {
		return
	}
	j := &job{
		key: key, request: placement.Request, server: s, firstEvent: now,
		firstTarget: now.Add(placement.Request.FirstTarget), expires: now.Add(placement.Request.Deadline + expiryGrace),
		memoryTokens: placement.Request.PromptTokens + placement.Request.OutputTokens,
	}
	for _, helper := range placement.Helpers {
		if helperServer := p.services[placement.Request.Service][helper.Replica]; helperServer != nil {
			j.helpers = append(j.helpers, helperServer)
			j.reservations = append(j.reservations, helper.ReservedTokens)
			j.memoryTokens -= helper.ReservedTokens
		}
	}
	p.addJob(j)
	p.recordCrossing(now, j)
	switch {
	case s.model == nil:
		j.decoding = placement.Decoding
	case placement.Decoding:
		j.decoding = true
		s.model.StartDecoding(now, j.modelID(), placement.Request.PromptTokens/(len(j.helpers)+1), j.split())
		j.firstPass = s.model.Passes()
	default:
		p.addPrefill(now, j, cmp.Or(placement.FirstEvent, math.MaxInt64))
		forecast := s.model.Forecast(now)
		j.firstEvent = forecast.NextPass.Add(s.model.DecodeTime(0, 0) + forecast.QueuedParts + forecast.QueuedOwn)
	}
}

// ReplaceHost replaces the requests of an entry host by its placed requests in progress. It keeps what it knows of those
// that it placed itself, and removes all others of the host, also those that wait.
func (p *Planner) ReplaceHost(now time.Time, host string, placements []Placement) {
	reported := make(map[jobKey]string, len(placements)) // replica by key
	for i := range placements {
		reported[jobKey{host, placements[i].Request.ID}] = placements[i].Replica
	}
	for key, j := range p.jobs {
		if key.host == host && reported[key] != j.server.replica.ID {
			p.removeJob(now, j)
		}
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w waitingRequest) bool { return w.request.Host == host })
	for _, placement := range placements {
		placement.Request.Host = host
		p.Restore(now, placement)
		if placement.Decoding {
			p.Started(now, host, placement.Request.ID)
		}
	}
}

// RemoveHost removes all requests of an entry host, because its connection ended.
func (p *Planner) RemoveHost(now time.Time, host string) {
	p.ReplaceHost(now, host, nil)
	p.forgetHost(host)
}

// addJob adds a job to the planner and counts it at its server and its helper replicas.
func (p *Planner) addJob(j *job) {
	j.long = p.isLong(&j.request)
	p.jobs[j.key] = j
	j.server.jobs = append(j.server.jobs, j)
	j.server.usedTokens += j.memoryTokens
	if !j.long {
		j.server.shortJobs++
	}
	for i, h := range j.helpers {
		h.helperJobs++
		if i < len(j.reservations) {
			h.usedTokens += j.reservations[i]
		}
	}
}

// removeJob undoes addJob and removes the job from the pass models.
func (p *Planner) removeJob(now time.Time, j *job) {
	delete(p.jobs, j.key)
	p.slotFreed = true
	s := j.server
	s.jobs = slices.DeleteFunc(s.jobs, func(other *job) bool { return other == j })
	s.usedTokens -= j.memoryTokens
	if !j.long {
		s.shortJobs--
	}
	s.removeFromModel(now, j.modelID(), j.split())
	for i, h := range j.helpers {
		h.helperJobs--
		if i < len(j.reservations) {
			h.usedTokens -= j.reservations[i]
		}
		h.removeFromModel(now, j.modelID(), false)
	}
}

// sweep removes requests whose end no host reported.
func (p *Planner) sweep(now time.Time) {
	const sweepInterval = time.Second
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	p.endWarmups(now)
	p.forgetSlowdowns()
	for _, j := range p.jobs {
		if now.After(j.expires) {
			p.removeJob(now, j)
		}
	}
}
