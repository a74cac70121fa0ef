package planner

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
	"github.com/turmericshunt/turmericshunt/internal/promptsize"
)

const (
	// Shortest time until the first event of a request that has a slot.
	minRunTime = 100 * time.Millisecond
	// A request counts as on time if the probability that it misses its first-event target is at most this.
	maxMissRisk = 0.3
	// In a wave of short prompts, one in minLongDivisor engines still counts as prefilling long ones.
	minLongDivisor = 4
	// Short prompts that are expected within this time get a slot before requests that miss their targets.
	scarcityWindow = time.Second
)

// round is one attempt to place the waiting requests.
type round struct {
	planner *Planner
	now     time.Time
	tryDue  bool                     // tryInterval has elapsed since the last try
	queues  map[string]*serviceQueue // by service
}

// serviceQueue is the state of one service in a round.
type serviceQueue struct {
	ahead          int             // requests of this round that got no server, refused ones included
	shortNotPlaced bool            // a short prompt that excludes no replica found no server in this round
	limitAhead     int             // requests of this round that wait for the limits of replicas
	longWaiting    bool            // a long prompt that can still meet its target found no engines
	shareWaiting   bool            // such a prompt is not of the workspace that has used more than all others
	endTimes       []time.Duration // times from now until its jobs are expected to end, ascending; nil until computed
	longQueue      *longQueue      // nil until computed
	// Engine time above which a long prompt leaves the engines to those that hold them; 0 if none does.
	heldAbove time.Duration
}

// longQueue is the prefill that is queued at engines, and the engines that do it.
type longQueue struct {
	work    time.Duration // prefill time on one engine
	engines int           // engines that prefill long prompts while short ones come at the present rate
}

// decide tries to place one waiting request or refuses it, and reports whether it has a result now. If onTime is set,
// it places the request only if its first event is expected to meet its target.
func (r *round) decide(w *waitingRequest, onTime bool) bool {
	w.tried = true
	w.lastTry = r.now
	req := w.request
	req.SubtractElapsed(r.now.Sub(w.arrived))
	servers := r.planner.usableServers(r.now, &req)
	if refusal := r.planner.immediateRefusal(r.now, &req, servers); refusal != nil {
		return r.planner.refuse(r.now, &req, refusal)
	}
	q := r.queue(req.Service)
	usable := servers
	servers = r.planner.withinLimits(r.now, w.long, usable)
	if len(servers) == 0 {
		return !onTime && r.waitForLimit(w, &req, q, usable)
	}
	if q.shortNotPlaced && !w.long {
		return !onTime && r.waitOrRefuse(w, &req, q)
	}
	if r.mustLeaveEngines(w, &req, q) {
		return !onTime && r.waitOrRefuse(w, &req, q)
	}
	if r.planner.partialView && w.long {
		servers = r.planner.fewServers(&req, servers)
	}
	c, reservations, found := r.planner.place(r.now, &req, servers, w.behind)
	ok := found && r.planner.endsInTime(&req, &c)
	if !ok {
		r.hold(w)
	}
	switch {
	case !ok && onTime:
		q.recordNotPlaced(w, &req, found)
		return false
	case onTime && missProbability(c.firstEvent, req.FirstTarget) > maxMissRisk:
		return false // requests that can meet their targets go first
	case !ok, !onTime && r.shouldYield(w, q):
		return r.waitOrRefuse(w, &req, q)
	}
	r.planner.recordUse(r.now, &req)
	r.planner.recordSize(r.now, &req, (*promptsize.Table).Placed)
	plan := r.planner.recordPlacement(r.now, &req, c, reservations)
	r.planner.results = append(r.planner.results, Result{ID: req.ID, Host: req.Host, Plan: plan})
	return true
}

// recordNotPlaced records that a request was not placed, for those behind it. The argument found says that a server could take it.
func (q *serviceQueue) recordNotPlaced(w *waitingRequest, req *Request, found bool) {
	if len(req.AllowedRegions) > 0 {
		return
	}
	q.shortNotPlaced = q.shortNotPlaced || !found && !w.long && len(req.ExcludedReplicas) == 0
	q.longWaiting = q.longWaiting || w.long && req.FirstTarget > 0
	q.shareWaiting = q.shareWaiting || w.long && req.FirstTarget > 0 && !w.excess
}

// shouldYield reports whether a request that will miss its target should leave its slot to one that can meet its own.
func (r *round) shouldYield(w *waitingRequest, q *serviceQueue) bool {
	if w.behind {
		return false // it would yield to those that get engines more often
	}
	if w.long {
		return q.longWaiting
	}
	return r.slotsScarce(w.request.Service, q)
}

// queue returns the state of a service, which it creates if there is none.
func (r *round) queue(service string) *serviceQueue {
	q := r.queues[service]
	if q == nil {
		q = &serviceQueue{}
		r.queues[service] = q
	}
	return q
}

// slotsScarce reports whether the slots that are free, or will be within scarcityWindow, are fewer than the short
// prompts expected in that time.
func (r *round) slotsScarce(service string, q *serviceQueue) bool {
	freeSlots := 0
	for _, s := range r.planner.unlimitedServers(service) {
		if s.usable(r.now, allHosts) {
			freeSlots += s.slots() - len(s.jobs)
		}
	}
	freedSoon, _ := slices.BinarySearch(r.endTimes(service, q), scarcityWindow)
	expected := r.planner.shortRateOf(service).perSecond(r.now) * scarcityWindow.Seconds()
	return float64(freeSlots+freedSoon) < expected
}

// waitOrRefuse keeps the request w waiting, of which req is the present form, or refuses it if no slot will be free in
// time or if it is a long prompt for which no engines will be clear in time, decoding included. A refusal breaks off a
// response that has begun, so a resumed request waits for engines until its caller disconnects. It reports whether it refused the request.
func (r *round) waitOrRefuse(w *waitingRequest, req *Request, q *serviceQueue) bool {
	wait := r.slotFreeAfter(req.Service, q)
	if len(req.AllowedRegions) > 0 {
		wait = max(wait, r.allowedSlotFreeAfter(req))
	}
	runTime, decode := minRunTime, time.Duration(0)
	if w.long && !req.Resumed {
		longWait, longRunTime := r.longTimes(req, q, w.longAhead)
		wait, runTime = max(wait, longWait), max(runTime, longRunTime)
		if !r.planner.asBefore {
			decode = r.planner.leastDecodeTime(req)
		}
	}
	q.ahead++
	if wait+runTime > req.firstEventTimeout() || wait+runTime+decode > req.Deadline {
		return r.planner.refuse(r.now, req, &Refusal{
			Cause: CauseNoSlot, RetryAfter: r.returnAfter(w, req, q, wait),
		})
	}
	return false
}

// longTimes estimates how long a long prompt must wait until the engines that short prompts leave to long ones have
// prefilled what is ahead of it, and how long its own prefill takes then. The argument ahead is the prefill time on one
// engine of the long prompts that wait ahead of it.
func (r *round) longTimes(req *Request, q *serviceQueue, ahead time.Duration) (wait, runTime time.Duration) {
	if q.longQueue == nil {
		q.longQueue = r.newLongQueue(req.Service)
	}
	wait = (q.longQueue.work + ahead) / time.Duration(q.longQueue.engines)
	engines := min(maxEnginesPerPrompt, q.longQueue.engines)
	return wait, pass.PrefillTime(r.planner.engines[req.Service], req.PromptTokens, engines)
}

// newLongQueue returns the prefill that is queued at the engines of a service.
func (r *round) newLongQueue(service string) *longQueue {
	usable := 0
	l := &longQueue{}
	for _, s := range r.planner.unlimitedServers(service) {
		if !s.usable(r.now, allHosts) {
			continue
		}
		usable++
		forecast := s.model.Forecast(r.now)
		l.work += forecast.QueuedParts + forecast.QueuedOwn
	}
	spare := r.planner.shortLoadOf(r.now, service, usable, 0).spare
	l.engines = max(min(spare, maxLongPromptEngines(usable)), usable/minLongDivisor, 1)
	return l
}

// slotFreeAfter estimates the time until a slot is free after those that requests ahead in the queue take.
func (r *round) slotFreeAfter(service string, q *serviceQueue) time.Duration {
	endTimes := r.endTimes(service, q)
	if len(endTimes) == 0 {
		return 0
	}
	return endTimes[min(q.ahead, len(endTimes)-1)]
}

// endTimes returns the times from now until the service's jobs are expected to end, ascending.
func (r *round) endTimes(service string, q *serviceQueue) []time.Duration {
	if q.endTimes != nil {
		return q.endTimes
	}
	q.endTimes = []time.Duration{}
	for _, s := range r.planner.unlimitedServers(service) {
		if s.evacuated {
			continue // its slots aren't used again
		}
		for _, j := range s.jobs {
			q.endTimes = append(q.endTimes, max(0, predictedEnd(j).Sub(r.now)))
		}
	}
	slices.Sort(q.endTimes)
	return q.endTimes
}
