package planner

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

const (
	// The time that a request needs at least once it has a place.
	shortestRun = 100 * time.Millisecond
	// An ask counts as in time if it misses its aim with no more than this probability.
	inTimeRisk = 0.3
	// Light prompts that come within this time are expected to need a place before those that are late.
	scarceWindow = time.Second
)

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
	w.tried = true
	a := w.ask
	a.Elapse(r.now.Sub(w.arrived))
	servers := r.planner.candidates(r.now, &a)
	if refusal := r.planner.unservable(&a, servers); refusal != nil {
		return r.planner.refuse(&a, refusal)
	}
	q := r.queue(a.Service)
	if q.blocked && !w.heavy {
		return !inTime && r.hold(&a, q)
	}
	c, reserves, found := r.planner.place(r.now, &a, servers)
	ok := found && c.first < a.limit()
	switch {
	case !ok && inTime:
		q.blocked = q.blocked || !found && !w.heavy && len(a.Avoid) == 0
		q.heavyWaits = q.heavyWaits || w.heavy && a.FirstAim > 0
		return false
	case inTime && lateness(c.first, a.FirstAim) > inTimeRisk:
		return false // those that can be in time go first
	case !ok, !inTime && r.yields(w, q):
		return r.hold(&a, q)
	}
	plan := r.planner.put(r.now, &a, c, reserves)
	r.planner.answers = append(r.planner.answers, Answer{ID: a.ID, Host: a.Host, Plan: plan})
	return true
}

// yields tells whether an ask that will be late leaves its place to one that can be in time.
func (r *round) yields(w *waiter, q *queue) bool {
	if w.heavy {
		return q.heavyWaits
	}
	return r.scarce(w.ask.Service, q)
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
	coming := r.planner.shortsOf(service).perSecond(r.now) * scarceWindow.Seconds()
	return float64(places+soon) < coming
}

// hold keeps an ask waiting, or refuses it if no place is free in time.
func (r *round) hold(a *Ask, q *queue) bool {
	wait := r.freeAfter(a.Service, q)
	q.ahead++
	if need := wait + r.planner.leastRun(a); need > a.limit() {
		return r.planner.refuse(a, &Refusal{Cause: CauseBusy, RetryAfter: max(wait, minRetryAfter)})
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
