package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
	"github.com/turmericshunt/turmericshunt/internal/promptsize"
)

const (
	// A long prompt that has waited for this time counts as one that gets no engines.
	patience = time.Second
	// The longest time for which other long prompts leave engines to one whose size gets them too seldom.
	maxHold = 500 * time.Millisecond
)

// prefillWork returns the engine time of a request's prompt; 0 for a service without engines.
func (p *Planner) prefillWork(req *Request) time.Duration {
	engine := p.engines[req.Service]
	if engine == nil {
		return 0
	}
	return pass.PrefillTime(engine, req.PromptTokens, 1)
}

// recordSize records what was decided on a long prompt.
func (p *Planner) recordSize(now time.Time, req *Request, record func(*promptsize.Table, time.Time, string, time.Duration)) {
	if req.Resumed || !p.isLong(req) {
		return
	}
	t := p.sizes[req.Service]
	if t == nil {
		t = &promptsize.Table{}
		p.sizes[req.Service] = t
	}
	record(t, now, req.Route, p.prefillWork(req))
}

// recordRefused records that a long prompt is refused for lack of engines.
func (p *Planner) recordRefused(now time.Time, req *Request, cause Cause) {
	if cause == CauseNoSlot || cause == CauseOutOfTime {
		p.recordSize(now, req, (*promptsize.Table).Refused)
	}
}

// recordLost records that a job has ended without a complete response, if it has.
func (p *Planner) recordLost(now time.Time, j *job, outcome Outcome) {
	if outcome == OutcomeCompleted || outcome == OutcomeCanceled && j.decoding {
		return
	}
	p.recordSize(now, &j.request, (*promptsize.Table).Lost)
}

// setBehind sets which of the waiting prompts are of a size that gets engines much less often than all of their kind.
func (p *Planner) setBehind(now time.Time) {
	for _, t := range p.sizes {
		t.StartWaiting(now)
	}
	for i := range p.waiting {
		if w := &p.waiting[i]; w.long && now.Sub(w.arrived) >= patience {
			p.recordSize(now, &w.request, (*promptsize.Table).Waiting)
		}
	}
	for i := range p.waiting {
		w := &p.waiting[i]
		t := p.sizes[w.request.Service]
		w.behind = w.long && !w.request.Resumed && !p.sizesUnequal && t != nil && t.Behind(w.request.Route, p.prefillWork(&w.request))
		if w.behind && w.holdsUntil.IsZero() {
			w.holdsUntil = now.Add(maxHold)
		}
	}
}

// putBehindFirst moves the prompts whose sizes get engines too seldom to the front and returns them.
func putBehindFirst(waiting []waitingRequest) []waitingRequest {
	behind := 0
	for i := range waiting {
		if waiting[i].behind {
			behind++
		}
	}
	if behind == 0 {
		return nil
	}
	rank := func(w *waitingRequest) int {
		if w.behind {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(waiting, func(x, y waitingRequest) int { return cmp.Compare(rank(&x), rank(&y)) })
	return waiting[:behind]
}

// hold keeps the engines that become clear for w if its size gets them too seldom. Prompts that take an engine for no longer than w
// itself go on.
func (r *round) hold(w *waitingRequest) {
	if !w.behind || !r.now.Before(w.holdsUntil) {
		return
	}
	q := r.queue(w.request.Service)
	part := r.planner.prefillWork(&w.request) / maxEnginesPerPrompt
	if q.heldAbove == 0 || part < q.heldAbove {
		q.heldAbove = part
	}
}

// mustLeaveEngines reports whether a long prompt must leave the engines to other workspaces, or to those for which they are held.
func (r *round) mustLeaveEngines(w *waitingRequest, req *Request, q *serviceQueue) bool {
	if !w.long || req.Resumed {
		return false
	}
	return w.excess && q.shareWaiting || !w.behind && q.heldAbove > 0 && r.planner.prefillWork(req) > q.heldAbove
}
