package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Usual duration of a request at a service without an engine.
	plainRequestTime = 60 * time.Millisecond
	// Time after which a caller may retry if the service has no replica, or none that can be used sooner.
	noReplicaRetryAfter = time.Second
)

// Decide decides on waiting requests and returns the results. It must be called after each call of another method, and
// at short intervals while requests wait.
func (p *Planner) Decide(now time.Time) []Result {
	p.sweep(now)
	if len(p.waiting) == 0 {
		return nil
	}
	p.setExcess(now)
	tryDue := now.Sub(p.lastTry) >= tryInterval
	if tryDue {
		p.lastTry = now
		p.setBehind(now)
	}
	slices.SortStableFunc(p.waiting, func(x, y waitingRequest) int { return compareWaiting(now, &x, &y) })
	p.results = nil
	waiting := p.waiting
	p.waiting = nil
	r := round{
		planner: p, now: now, tryDue: tryDue,
		queues: make(map[string]*serviceQueue),
	}
	freed := p.slotFreed
	p.slotFreed = false
	longInterval := longTryInterval(waiting)
	p.setLongAhead(waiting)
	behind := putBehindFirst(waiting)
	p.setLongAhead(behind)
	behindInterval := longTryInterval(behind)
	var notOnTime []waitingRequest
	for i := range waiting {
		w := &waiting[i]
		tryAgain := r.tryDue || freed
		if w.long {
			interval := longInterval
			if w.behind {
				interval = behindInterval
			}
			tryAgain = r.tryDue && now.Sub(w.lastTry) >= interval
		}
		switch {
		case w.tried && !tryAgain:
			r.hold(w)
			p.waiting = append(p.waiting, *w)
		case !r.decide(w, true):
			notOnTime = append(notOnTime, *w)
		}
	}
	for i := range notOnTime {
		if !r.decide(&notOnTime[i], false) {
			p.waiting = append(p.waiting, notOnTime[i])
		}
	}
	return p.results
}

// setLongAhead sets the work of the long prompts that are ahead of each waiting request, which must be in order.
func (p *Planner) setLongAhead(waiting []waitingRequest) {
	ahead := make(map[string]time.Duration) // by service
	for i := range waiting {
		w := &waiting[i]
		w.longAhead = ahead[w.request.Service]
		if w.long {
			ahead[w.request.Service] += p.prefillWork(&w.request)
		}
	}
}

// longTryInterval returns the interval at which each long prompt is tried again. It grows with their number, so that the
// time that a call of Decide takes does not.
func longTryInterval(waiting []waitingRequest) time.Duration {
	long := 0
	for i := range waiting {
		if waiting[i].long {
			long++
		}
	}
	return tryInterval * time.Duration(long/longTriesPerInterval)
}

// compareWaiting orders requests by priority, then puts those first whose target hasn't passed, then those of workspaces
// that haven't used more than all others together, then orders by the time of the first-event target.
func compareWaiting(now time.Time, x, y *waitingRequest) int {
	if c := cmp.Compare(x.request.Priority, y.request.Priority); c != 0 {
		return c
	}
	xTarget, yTarget := x.arrived.Add(x.request.FirstTarget), y.arrived.Add(y.request.FirstTarget)
	xOverdue, yOverdue := xTarget.Before(now), yTarget.Before(now)
	switch {
	case xOverdue == yOverdue && x.excess != y.excess:
		if x.excess {
			return 1
		}
		return -1
	case xOverdue == yOverdue:
		return xTarget.Compare(yTarget)
	case xOverdue:
		return 1
	default:
		return -1
	}
}

// immediateRefusal returns the refusal of a request that is not kept waiting, or nil.
func (p *Planner) immediateRefusal(now time.Time, req *Request, servers []*server) *Refusal {
	switch {
	case req.Deadline <= 0:
		return &Refusal{Cause: CauseOutOfTime, RetryAfter: minRetryAfter}
	case len(servers) == 0:
		return p.noServerRefusal(now, req)
	case tooLarge(req, servers):
		return p.tooLargeRefusal(now, req)
	}
	if retryAfter, refused := p.quarantine.Refuses(now, req.content(), p.mayProbe); refused {
		return &Refusal{Cause: CauseCrashes, RetryAfter: retryAfter}
	}
	return nil
}

// usableAfter returns the time until the first excluded or paused replica may be used again for a request, at least
// minRetryAfter and at most noReplicaRetryAfter.
func (p *Planner) usableAfter(now time.Time, req *Request) time.Duration {
	after := noReplicaRetryAfter
	for _, s := range p.services[req.Service] {
		until := s.excludedUntil(req.Host)
		if s.pausedUntil.After(until) {
			until = s.pausedUntil
		}
		if wait := until.Sub(now); wait > 0 && s.replica.TakesRequests() && !s.evacuated && p.inAllowedRegion(req, s) {
			after = min(after, wait)
		}
	}
	return max(after, minRetryAfter)
}

// tooLargeRefusal returns the refusal of a request that the servers it may use now can't hold. If the others could, it is worth a
// retry when one of them may be used again.
func (p *Planner) tooLargeRefusal(now time.Time, req *Request) *Refusal {
	var all []*server
	for _, s := range p.sortedServers[req.Service] {
		if s.replica.TakesRequests() && !s.evacuated && p.inAllowedRegion(req, s) {
			all = append(all, s)
		}
	}
	if tooLarge(req, all) {
		return &Refusal{Cause: CauseTooLarge, RetryAfter: tooLargeRetryAfter}
	}
	return &Refusal{Cause: CauseTooLarge, RetryAfter: p.usableAfter(now, req)}
}

// tooLarge reports whether the request needs more memory than the largest allowed set of servers has.
func tooLarge(req *Request, servers []*server) bool {
	if servers[0].model == nil {
		return false
	}
	capacity := 0
	for _, s := range servers[:min(len(servers), maxEnginesPerPrompt)] {
		capacity += s.memory()
	}
	return req.PromptTokens+req.OutputTokens > capacity
}

// predictedEnd returns the time at which a job is expected to end.
func predictedEnd(j *job) time.Time {
	if j.server.model == nil {
		return j.firstEvent.Add(plainRequestTime)
	}
	return j.firstEvent.Add(time.Duration(j.likelyEvents()) * j.server.model.DecodeTime(0, 0))
}

// refuse adds a refusal to the results. It always returns true, the value by which decide reports a result.
func (p *Planner) refuse(now time.Time, req *Request, refusal *Refusal) bool {
	p.recordRefused(now, req, refusal.Cause)
	p.results = append(p.results, Result{ID: req.ID, Host: req.Host, Refusal: refusal})
	return true
}
