package planner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// What a request at a plain service usually takes.
	plainTime = 60 * time.Millisecond
	// When a caller may come back whose service has no replica.
	noReplicaRetryAfter = time.Second
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

// unservable returns why no server can serve the ask, however long it waits, or nil.
func (p *Planner) unservable(a *Ask, servers []*server) *Refusal {
	switch {
	case a.Deadline <= 0:
		return &Refusal{Cause: CauseOutOfTime, RetryAfter: minRetryAfter}
	case a.Fingerprint != 0 && p.crashes[a.Fingerprint].count >= maxCrashes:
		return &Refusal{Cause: CauseCrashes, RetryAfter: crashMemory}
	case len(servers) == 0:
		return &Refusal{Cause: CauseNoReplica, RetryAfter: noReplicaRetryAfter}
	case tooLarge(a, servers):
		return &Refusal{Cause: CauseTooLarge, RetryAfter: crashMemory}
	}
	return nil
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
	return j.first.Add(time.Duration(j.likelyEvents()) * j.server.model.Steps(0, 0))
}

func (p *Planner) refuse(a *Ask, refusal *Refusal) bool {
	p.answers = append(p.answers, Answer{ID: a.ID, Host: a.Host, Refusal: refusal})
	return true
}
