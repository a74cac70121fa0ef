package drive

import (
	"sort"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/grant"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
)

const mostAttempts = 3

// attempt is one request at its entry host, or one part of a request that is spread over several engines.
type attempt struct {
	req        *request
	host       *host
	arrived    time.Time
	number     uint32
	candidates []routing.Candidate
	next       int
	best       *engine // the busy backend server with the least wait
	wait       time.Duration
	engine     *engine
	id         protocol.AttemptID
	firstAt    time.Time
	cached     int64
	excluded   []string
	over       bool
	spread     *spread
	part       int
	tokens     int64 // of the part
	bytes      int64
	before     int64     // tokens of the parts before it
	decidedAt  time.Time // by the last scheduler that answered
}

func (a *attempt) runsOn(e *engine) bool { return a.engine == e }

// update puts a row into the host's view.
func (h *host) update(now time.Time, e *engine, row protocol.Row) {
	v := &fleet.View{FailureDomain: h.view.FailureDomain, Aggregates: h.view.Aggregates}
	v.Entries = append(v.Entries, h.view.Entries...)
	entry := fleet.Entry{
		Server:    protocol.Server{Name: e.name, FailureDomain: domainName(e.domain)},
		Row:       row,
		Scheduler: protocol.Host{Name: "s" + e.name},
		Updated:   now,
	}
	i := sort.Search(len(v.Entries), func(i int) bool { return v.Entries[i].Server.Name >= e.name })
	if i < len(v.Entries) && v.Entries[i].Server.Name == e.name {
		v.Entries[i] = entry
	} else {
		v.Entries = append(v.Entries, fleet.Entry{})
		copy(v.Entries[i+1:], v.Entries[i:])
		v.Entries[i] = entry
	}
	h.view = v
}

func (h *host) setAggregates(rows []protocol.Aggregate) {
	v := *h.view
	v.Aggregates = rows
	h.view = &v
}

func (r *run) domainView(domain int) *fleet.View {
	for _, h := range r.hosts {
		if h.domain == domain {
			return h.view
		}
	}
	return &fleet.View{}
}

func (r *run) measured(a *attempt) bool { return a.arrived.Sub(start) >= r.Warmup }

func (r *run) begin(req *request, h *host) {
	a := &attempt{req: req, host: h, arrived: r.now}
	if r.measured(a) {
		r.result.Class[req.length].Arrived++
		r.workspace(req).Arrived++
		r.result.SharedTokens += req.shared
		r.result.Offered += float64(req.prompt) / DefaultMix().meanTokens() / Capacity(DefaultMix()) / (r.Duration - r.Warmup).Seconds()
	}
	if r.Policy == routing.PolicyScheduled && !h.admission.Decide(r.now, h.view, r.ask(a)).OK {
		r.refused(a)
		return
	}
	if req.prompt+maxOutputTokens > memoryTokens {
		r.beginSpread(a)
		return
	}
	r.try(a)
}

func (r *run) workspace(req *request) *Class {
	c, ok := r.result.Workspace[req.workspace]
	if !ok {
		fresh := newClass()
		c = &fresh
		r.result.Workspace[req.workspace] = c
	}
	return c
}

// try starts the next attempt of a request.
func (r *run) try(a *attempt) {
	a.number++
	a.next, a.best, a.engine = 0, nil, nil
	a.candidates = a.host.router.Candidates(r.now, a.host.view, r.ask(a), a.excluded)
	if len(a.candidates) == 0 {
		r.refused(a)
		return
	}
	if r.Policy != routing.PolicyScheduled {
		g := protocol.Grant{}
		if r.Prioritize {
			g.Priority = int(Lengths - a.req.length)
		}
		r.submit(a, r.byName[a.candidates[0].Server], g)
		return
	}
	r.askNext(a)
}

func (r *run) ask(a *attempt) protocol.Ask {
	return protocol.Ask{
		ID:        protocol.AttemptID{Host: a.host.name, Request: strconv.Itoa(a.req.id), Attempt: a.number},
		Workspace: "w" + strconv.Itoa(a.req.workspace), Model: model,
		PromptTokens: a.req.prompt, OutputTokens: maxOutputTokens,
		Blocks: a.req.blocks, BlockTokens: blockTokens,
		TimeLeft: a.arrived.Add(a.req.deadline).Sub(r.now),
	}
}

// askNext asks the next candidate, and in the end the one with the least wait to let the request queue.
func (r *run) askNext(a *attempt) {
	if a.next < len(a.candidates) {
		e := r.byName[a.candidates[a.next].Server]
		a.next++
		r.sendAsk(a, e, false)
		return
	}
	if a.best == nil {
		r.refused(a)
		return
	}
	e := a.best
	a.best = nil
	r.sendAsk(a, e, true)
}

func (r *run) sendAsk(a *attempt, e *engine, queue bool) {
	ask := r.ask(a)
	ask.Queue, ask.Server = queue, e.name
	a.id = ask.ID
	a.engine = e
	r.attempts[ask.ID] = a
	r.result.Asks++
	r.after(r.delay(a.host, e), func() { r.decide(e, e.scheduler.Ask(r.now, ask)) })
}

func (r *run) delay(h *host, e *engine) time.Duration {
	if h.domain == e.domain {
		return insideDelay
	}
	return betweenDelay
}

// decide delivers a scheduler's decisions and sees that its Tick is called in time.
func (r *run) decide(e *engine, decisions []grant.Decision) {
	for _, d := range decisions {
		a := r.attempts[d.ID]
		a.decidedAt = r.now
		r.after(r.delay(a.host, e), func() { r.decided(a, e, d) })
	}
	next := e.scheduler.Next()
	if next.IsZero() || next.Equal(e.tick) || e.dead && e.scheduler.Next().IsZero() {
		return
	}
	e.tick = next
	r.at(next, func() {
		if e.tick.Equal(next) {
			e.tick = time.Time{}
			r.decide(e, e.scheduler.Tick(r.now))
		}
	})
}

func (r *run) decided(a *attempt, e *engine, d grant.Decision) {
	switch {
	case a.spread != nil:
		r.memberDecided(a, e, d)
	case d.Grant != nil:
		r.result.Grants++
		r.submit(a, e, *d.Grant)
	default:
		if d.Refusal.Kind == protocol.RefusalBusy && (a.best == nil || d.Refusal.Wait < a.wait) && a.next <= len(a.candidates) {
			a.best, a.wait = e, d.Refusal.Wait
		}
		r.askNext(a)
	}
}

// submit sends the request to the engine.
func (r *run) submit(a *attempt, e *engine, g protocol.Grant) {
	a.engine = e
	job := batch.Job{
		ID: strconv.Itoa(a.req.id) + "." + strconv.Itoa(int(a.number)), PromptTokens: a.req.prompt,
		OutputTokens: a.req.output, Blocks: a.req.blocks, Priority: g.Priority,
		Expiry: a.arrived.Add(a.req.deadline),
	}
	r.after(r.delay(a.host, e), func() {
		if e.dead {
			r.after(insideDelay, func() { r.lost(a) })
			return
		}
		if err := e.batch.Submit(r.now, job); err != nil {
			r.after(insideDelay, func() { r.lost(a) })
			return
		}
		r.jobs[job.ID] = a
		r.touch(e)
	})
}

// first is the arrival of the first token at the entry host.
func (r *run) first(a *attempt) {
	a.firstAt = r.now
	if r.measured(a) {
		c := &r.result.Class[a.req.length]
		record(c.first, r.now.Sub(a.arrived))
		r.result.PromptTokens += a.req.prompt
		r.result.CachedTokens += a.cached
	}
	r.toScheduler(a, func(s *grant.Scheduler) []grant.Decision { return s.Prefilled(r.now, a.id) })
}

func (r *run) end(a *attempt) {
	if a.spread != nil && a.part < len(a.spread.members)-1 {
		r.nextPart(a)
		return
	}
	if since := r.now.Sub(start); since >= r.Warmup && since <= r.Duration {
		r.result.GoodTokens += a.req.prompt
	}
	if r.measured(a) {
		c := &r.result.Class[a.req.length]
		record(c.gap, r.now.Sub(a.firstAt)/time.Duration(max(a.req.output-1, 1)))
		c.Completed++
		r.workspace(a.req).Completed++
	}
	r.finish(a, a.req.output)
}

func (r *run) expire(a *attempt) {
	if r.measured(a) {
		r.result.Class[a.req.length].Late++
		r.workspace(a.req).Late++
	}
	r.finish(a, 0)
}

// lost retries an attempt whose engine refused it or died.
func (r *run) lost(a *attempt) {
	r.finish(a, 0)
	if a.spread != nil || a.number >= mostAttempts || !a.firstAt.IsZero() {
		if r.measured(a) {
			r.result.Class[a.req.length].Lost++
		}
		return
	}
	r.result.Retries++
	a.excluded = append(a.excluded, a.engine.name)
	r.try(a)
}

func (r *run) refused(a *attempt) {
	if !a.decidedAt.IsZero() {
		r.result.RefusalTime = max(r.result.RefusalTime, r.now.Sub(a.decidedAt))
	}
	if r.measured(a) && r.idle(a.req) {
		r.result.Idle++
	}
	if r.measured(a) {
		r.result.Class[a.req.length].Refused++
		r.workspace(a.req).Refused++
	}
	a.over = true
}

// idle reports whether an engine anywhere runs nothing and could run a request.
func (r *run) idle(req *request) bool {
	for _, e := range r.engines {
		if !e.dead && e.batch.Load().Running == 0 && e.batch.Waiting() == 0 && req.prompt+maxOutputTokens <= memoryTokens {
			return true
		}
	}
	return false
}

func (r *run) finish(a *attempt, output int64) {
	if a.spread != nil {
		r.finishSpread(a)
		return
	}
	id := a.id
	r.toScheduler(a, func(s *grant.Scheduler) []grant.Decision {
		return s.Finish(r.now, protocol.Finish{ID: id, OutputTokens: output, CachedTokens: a.cached})
	})
}

func (r *run) toScheduler(a *attempt, call func(*grant.Scheduler) []grant.Decision) {
	if r.Policy != routing.PolicyScheduled {
		return
	}
	e := a.engine
	r.after(r.delay(a.host, e), func() { r.decide(e, call(e.scheduler)) })
}
