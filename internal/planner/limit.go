package planner

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
	"github.com/turmericshunt/turmericshunt/internal/ratelimit"
)

const (
	// Callers that are refused for limits are asked to return at different times within this time.
	returnHorizon = 5 * time.Second
	// The shortest time between two such returns to a service.
	minReturnInterval = 5 * time.Millisecond
)

// Limits returns the limits that replicas have named, as far as this planner knows, and what it may still send to them.
func (p *Planner) Limits() *ratelimit.Table { return p.limits }

// withinLimits returns those of the servers that may get a request now without exceeding a limit that they have named. If there
// are such servers, it also returns cold ones for a long prompt, as helper replicas only.
func (p *Planner) withinLimits(now time.Time, long bool, servers []*server) []*server {
	exceeding := 0
	for _, s := range servers {
		s.beyondLimit = !p.limits.MayTake(now, s.replica)
		if s.beyondLimit {
			exceeding++
		}
	}
	if exceeding == 0 {
		return servers
	}
	mayHelp := long && exceeding < len(servers)
	return slices.DeleteFunc(slices.Clone(servers), func(s *server) bool {
		return s.beyondLimit && (!mayHelp || p.limits.Limited(s.replica))
	})
}

// unlimitedServers returns the servers of a service without those that limit the rate of their requests, whose slots
// say nothing about what they take. It returns all servers if all have limits.
func (p *Planner) unlimitedServers(service string) []*server {
	servers := p.sortedServers[service]
	limited := func(s *server) bool { return p.limits.Limited(s.replica) }
	if !slices.ContainsFunc(servers, limited) {
		return servers
	}
	unlimited := slices.DeleteFunc(slices.Clone(servers), limited)
	if len(unlimited) == 0 {
		return servers
	}
	return unlimited
}

// waitForLimit keeps the request w waiting, of which req is the present form, if the limit of one of the servers that it may
// use allows it in time, and refuses it otherwise. It reports whether it refused the request.
func (r *round) waitForLimit(w *waitingRequest, req *Request, q *serviceQueue, usable []*server) bool {
	rate, tokens := r.planner.limitedCapacity(r.now, usable)
	missing := float64(q.limitAhead) + 1 - tokens
	if rate > 0 && missing/rate <= r.planner.maxLimitWait(w, req).Seconds() {
		q.limitAhead++
		return false
	}
	return r.planner.refuse(r.now, req, &Refusal{Cause: CauseLimited, RetryAfter: r.planner.nextReturn(r.now, req.Service, rate)})
}

// maxLimitWait returns how long a request may wait for a replica's limit: until it would miss its target, or, if it is a
// long prompt or its response has begun, until its caller disconnects.
func (p *Planner) maxLimitWait(w *waitingRequest, req *Request) time.Duration {
	runTime := plainRequestTime
	if engine := p.engines[req.Service]; engine != nil {
		runTime = max(pass.PrefillTime(engine, req.PromptTokens, 1), minRunTime)
	}
	if w.long || req.Resumed {
		return req.firstEventTimeout() - runTime
	}
	return min(req.FirstTarget, req.firstEventTimeout()) - runTime
}

// limitedCapacity returns the requests a second that the limits of the servers allow together, and the tokens that they hold
// for these.
func (p *Planner) limitedCapacity(now time.Time, servers []*server) (rate, tokens float64) {
	for _, s := range servers {
		rate += p.limits.Rate(now, s.replica)
		tokens += p.limits.Tokens(now, s.replica)
	}
	return rate, tokens
}

// nextReturn returns the time after which a caller that is refused for limits may retry. The callers of a service return
// one after the other, at the rate at which its limits allow requests; within returnHorizon the times begin anew.
func (p *Planner) nextReturn(now time.Time, service string, rate float64) time.Duration {
	interval := noReplicaRetryAfter
	if rate > 0 {
		interval = min(time.Duration(float64(time.Second)/rate), interval)
	}
	next := p.returns[service].Add(max(interval, minReturnInterval))
	if earliest := now.Add(minRetryAfter); next.Before(earliest) {
		next = earliest
	}
	after := next.Sub(now)
	if after > returnHorizon {
		// The fraction of the interval keeps these callers apart from those that return in the first round.
		after = minRetryAfter + (after-minRetryAfter)%max(interval, minReturnInterval)
		next = now.Add(after)
	}
	p.returns[service] = next
	return after
}
