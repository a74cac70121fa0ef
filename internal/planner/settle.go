package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

const (
	// The time that a request needs at least once it has a place.
	shortestRun = 100 * time.Millisecond
	// What a request at a plain service usually takes.
	plainTime = 60 * time.Millisecond
	// An ask counts as in time if it misses its aim with no more than this probability.
	inTimeRisk = 0.3
	// Light prompts that come within this time are expected to need a place before those that are late.
	scarceWindow = time.Second
)

// Settle returns the answers that can be given now. It must be called after each other method, and at short
// intervals while asks wait.
func (p *Planner) Settle(now time.Time) []Answer {
	p.sweep(now)
	if len(p.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(p.waiting, func(x, y waiter) int { return compareWaiters(now, &x, &y) })
	p.answers = nil
	waiting := p.waiting
	p.waiting = nil
	r := round{planner: p, now: now, due: now.Sub(p.tried) >= retryInterval, queues: make(map[string]*queue)}
	if r.due || p.freed {
		p.tried = now
	}
	freed := p.freed
	p.freed = false
	var late []waiter
	for i := range waiting {
		w := &waiting[i]
		again := r.due || freed && !w.heavy
		switch {
		case w.tried && !again:
			p.waiting = append(p.waiting, *w)
		case !r.settle(w, true):
			late = append(late, *w)
		}
	}
	for i := range late {
		if !r.settle(&late[i], false) {
			p.waiting = append(p.waiting, late[i])
		}
	}
	return p.answers
}

// compareWaiters orders asks by rank, then those that can still be in time, then by when their first event is due.
func compareWaiters(now time.Time, x, y *waiter) int {
	if c := cmp.Compare(x.ask.Rank, y.ask.Rank); c != 0 {
		return c
	}
	xAim, yAim := x.arrived.Add(x.ask.FirstAim), y.arrived.Add(y.ask.FirstAim)
	xLate, yLate := xAim.Before(now), yAim.Before(now)
	switch {
	case xLate == yLate:
		return xAim.Compare(yAim)
	case xLate:
		return 1
	default:
		return -1
	}
}

// round is one pass over the asks that wait.
type round struct {
	planner *Planner
	now     time.Time
	due     bool
	queues  map[string]*queue // by service
}

// queue is what a round has learnt of a service.
type queue struct {
	ahead      int             // asks that found no place
	blocked    bool            // no place is left for light prompts
	heavyWaits bool            // a heavy prompt that can be in time found no place
	ends       []time.Duration // when its requests end, the first first; nil until it is needed
}

// settle answers one ask if it can; with inTime only if its first event will not be late.
func (r *round) settle(w *waiter, inTime bool) bool {
	p := r.planner
	w.tried = true
	a := w.ask
	a.Elapse(r.now.Sub(w.arrived))
	switch {
	case a.Deadline <= 0:
		return p.refuse(&a, CauseOutOfTime, minRetryAfter)
	case a.Fingerprint != 0 && p.crashes[a.Fingerprint].count >= maxCrashes:
		return p.refuse(&a, CauseCrashes, crashMemory)
	}
	servers := p.candidates(r.now, &a)
	if len(servers) == 0 {
		return p.refuse(&a, CauseNoReplica, time.Second)
	}
	if tooLarge(&a, servers) {
		return p.refuse(&a, CauseTooLarge, crashMemory)
	}
	q := r.queue(a.Service)
	if !w.heavy && q.blocked {
		return !inTime && r.hold(&a, q)
	}
	c, reserves, ok := p.place(r.now, &a, servers)
	ok = ok && c.first < a.limit()
	switch {
	case !ok && inTime:
		q.blocked = q.blocked || !w.heavy && len(a.Avoid) == 0
		q.heavyWaits = q.heavyWaits || w.heavy && a.FirstAim > 0
		return false
	case !ok:
		return r.hold(&a, q)
	case inTime && lateness(c.first, a.FirstAim) > inTimeRisk:
		return false // those that can be in time go first
	case !inTime && w.heavy && q.heavyWaits:
		return r.hold(&a, q) // the engines that will be clear are for one that can be in time
	case !inTime && !w.heavy && r.scarce(a.Service, q):
		return r.hold(&a, q) // its place is worth more to one that comes in time
	}
	p.answers = append(p.answers, Answer{ID: a.ID, Host: a.Host, Plan: p.put(r.now, &a, c, reserves)})
	return true
}

func (r *round) queue(service string) *queue {
	q := r.queues[service]
	if q == nil {
		q = &queue{}
		r.queues[service] = q
	}
	return q
}

// scarce tells whether the places that are free, or will be soon, only do for the light prompts that are to come.
func (r *round) scarce(service string, q *queue) bool {
	places := 0
	for _, s := range r.planner.ordered[service] {
		if s.usable(r.now) {
			places += s.slots() - len(s.jobs)
		}
	}
	soon, _ := slices.BinarySearch(r.ends(service, q), scarceWindow)
	coming := r.planner.shorts.perSecond(r.now) * scarceWindow.Seconds()
	return float64(places+soon) < coming
}

// hold keeps an ask waiting, or refuses it if no place is free in time.
func (r *round) hold(a *Ask, q *queue) bool {
	wait := r.freeAfter(a.Service, q)
	q.ahead++
	if need := wait + r.planner.leastRun(a); need > a.limit() {
		return r.planner.refuse(a, CauseBusy, max(wait, minRetryAfter))
	}
	return false
}

// leastRun returns the time to an ask's first event if all engines were clear.
func (p *Planner) leastRun(a *Ask) time.Duration {
	if !p.isHeavy(a) {
		return shortestRun
	}
	readers := min(maxReaders, mostReaders(len(p.ordered[a.Service])))
	return max(shortestRun, pass.ReadTime(p.engines[a.Service], a.PromptTokens, readers))
}

// freeAfter estimates when the servers will have taken the asks ahead and one more.
func (r *round) freeAfter(service string, q *queue) time.Duration {
	ends := r.ends(service, q)
	if len(ends) == 0 {
		return 0
	}
	return ends[min(q.ahead, len(ends)-1)]
}

// ends returns when the service's requests are expected to end, the first first.
func (r *round) ends(service string, q *queue) []time.Duration {
	if q.ends != nil {
		return q.ends
	}
	q.ends = []time.Duration{}
	for _, s := range r.planner.ordered[service] {
		for _, j := range s.jobs {
			q.ends = append(q.ends, max(0, endOf(j).Sub(r.now)))
		}
	}
	slices.Sort(q.ends)
	return q.ends
}

// tooLarge tells whether all servers together lack the memory for the ask.
func tooLarge(a *Ask, servers []*server) bool {
	if servers[0].model == nil {
		return false
	}
	most := 0
	for _, s := range servers[:min(len(servers), maxReaders)] {
		most += s.model.Engine.MemoryTokens
	}
	return a.PromptTokens+a.OutputTokens > most
}

// endOf predicts when a job ends.
func endOf(j *job) time.Time {
	if j.server.model == nil {
		return j.first.Add(plainTime)
	}
	events := j.ask.LikelyTokens/j.server.model.Engine.EventTokens + 1
	return j.first.Add(time.Duration(events) * j.server.model.Steps(0, 0))
}

func (p *Planner) refuse(a *Ask, cause Cause, after time.Duration) bool {
	p.answers = append(p.answers, Answer{ID: a.ID, Host: a.Host, Refusal: &Refusal{Cause: cause, RetryAfter: after}})
	return true
}
