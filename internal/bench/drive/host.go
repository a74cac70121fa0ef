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

// maxAttempts is the maximum number of attempts of one request.
const maxAttempts = 3

// attempt is one request at its entry host, over all its attempts, or one prefill part of a split prompt.
type attempt struct {
	req             *request
	host            *host
	arrivedAt       time.Time
	number          uint32 // of the current attempt, from 1; of a granted prefill part, the grant's priority plus 1
	candidates      []routing.Candidate
	nextCandidate   int                // index into candidates
	leastWaitEngine *engine            // the busy backend server with the shortest wait; nil if none is known
	leastWait       time.Duration      // of leastWaitEngine
	engine          *engine            // that the attempt is sent to
	id              protocol.AttemptID // of the last grant request
	firstTokenAt    time.Time          // when the first token reached the entry host; zero before
	cachedTokens    int64              // prompt tokens that the engine had in its prefix cache
	excluded        []string           // names of the engines that it must not be sent to
	ended           bool               // the request was refused
	split           *splitPrompt       // nil for a request whose prompt is not split
	partIndex       int                // index into split.members
	partTokens      int64              // prompt tokens of the prefill part
	partBytes       int64              // memory to reserve for the prefill part
	tokensBefore    int64              // prompt tokens of the prefill parts before it
	decidedAt       time.Time          // when a scheduler last decided on one of its grant requests
}

// runsOn reports whether the attempt is assigned to e.
func (a *attempt) runsOn(e *engine) bool { return a.engine == e }

// updateRow replaces the host's view by one with a new row of the backend server e. The entries are sorted by server
// name.
func (h *host) updateRow(now time.Time, e *engine, row protocol.Row) {
	v := &fleet.View{FailureDomain: h.view.FailureDomain, Aggregates: h.view.Aggregates}
	v.Entries = append(v.Entries, h.view.Entries...)
	entry := fleet.Entry{
		Server:       protocol.Server{Name: e.name, FailureDomain: domainName(e.domain)},
		Row:          row,
		Scheduler:    protocol.Host{Name: "s" + e.name},
		RowCreatedAt: now,
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

// setAggregates replaces the host's view by one with new aggregates.
func (h *host) setAggregates(rows []protocol.Aggregate) {
	v := *h.view
	v.Aggregates = rows
	h.view = &v
}

// domainView returns the view of the first host of a failure domain, which is an empty view if it has no host.
func (r *run) domainView(domain int) *fleet.View {
	for _, h := range r.hosts {
		if h.domain == domain {
			return h.view
		}
	}
	return &fleet.View{}
}

// isMeasured reports whether the request arrived after the warmup.
func (r *run) isMeasured(a *attempt) bool { return a.arrivedAt.Sub(start) >= r.Warmup }

// startRequest handles a new request at its entry host: admission, and then the first attempt or, if the prompt needs
// more memory than one engine has, the split over several engines.
func (r *run) startRequest(req *request, h *host) {
	a := &attempt{req: req, host: h, arrivedAt: r.now}
	if r.isMeasured(a) {
		r.result.Class[req.length].Arrived++
		r.workspaceClass(req).Arrived++
		r.result.SharedTokens += req.sharedTokens
		r.result.Offered += float64(req.promptTokens) / DefaultMix().meanPromptTokens() / Capacity(DefaultMix()) /
			(r.Duration - r.Warmup).Seconds()
	}
	if r.Policy == routing.PolicyLeastCost && !h.admission.Decide(r.now, h.view, r.grantRequest(a)).OK {
		r.recordRefusal(a)
		return
	}
	if req.promptTokens+maxOutputTokens > memoryTokens {
		r.startSplitPrompt(a)
		return
	}
	r.startAttempt(a)
}

// workspaceClass returns the counts of the request's workspace and creates them if necessary.
func (r *run) workspaceClass(req *request) *Class {
	c, ok := r.result.Workspace[req.workspace]
	if !ok {
		fresh := newClass()
		c = &fresh
		r.result.Workspace[req.workspace] = c
	}
	return c
}

// startAttempt starts the next attempt of a request. With PolicyScheduled it requests a grant from the candidates one
// after the other; with the other policies it submits the request to the first candidate without a grant.
func (r *run) startAttempt(a *attempt) {
	a.number++
	a.nextCandidate, a.leastWaitEngine, a.engine = 0, nil, nil
	a.candidates = a.host.router.Candidates(r.now, a.host.view, r.grantRequest(a), a.excluded)
	if len(a.candidates) == 0 {
		r.recordRefusal(a)
		return
	}
	if r.Policy != routing.PolicyLeastCost {
		g := protocol.Grant{}
		if r.Prioritize {
			g.Priority = int(Lengths - a.req.length)
		}
		r.submit(a, r.engineByName[a.candidates[0].Server], g)
		return
	}
	r.requestNextGrant(a)
}

// grantRequest returns the grant request of the current attempt. The caller adds the server and whether the request may
// wait in the scheduler's queue.
func (r *run) grantRequest(a *attempt) protocol.GrantRequest {
	return protocol.GrantRequest{
		ID:        protocol.AttemptID{Host: a.host.name, Request: strconv.Itoa(a.req.id), Attempt: a.number},
		Workspace: "w" + strconv.Itoa(a.req.workspace), Model: model,
		PromptTokens: a.req.promptTokens, OutputTokens: maxOutputTokens,
		Blocks: a.req.blocks, BlockTokens: blockTokens,
		TimeLeft: a.arrivedAt.Add(a.req.deadline).Sub(r.now),
	}
}

// requestNextGrant requests a grant from the scheduler of the next candidate. After the last one, it requests a queued
// grant from the busy candidate with the shortest wait. The request is refused if there is none or if that one refuses
// too.
func (r *run) requestNextGrant(a *attempt) {
	if a.nextCandidate < len(a.candidates) {
		e := r.engineByName[a.candidates[a.nextCandidate].Server]
		a.nextCandidate++
		r.sendGrantRequest(a, e, false)
		return
	}
	if a.leastWaitEngine == nil {
		r.recordRefusal(a)
		return
	}
	e := a.leastWaitEngine
	a.leastWaitEngine = nil
	r.sendGrantRequest(a, e, true)
}

// sendGrantRequest sends a grant request to the scheduler of e. With queue, the scheduler may let it wait.
func (r *run) sendGrantRequest(a *attempt, e *engine, queue bool) {
	grantRequest := r.grantRequest(a)
	grantRequest.MayQueue, grantRequest.Server = queue, e.name
	a.id = grantRequest.ID
	a.engine = e
	r.attemptByID[grantRequest.ID] = a
	r.result.Asks++
	r.after(r.networkDelay(a.host, e), func() { r.deliverDecisions(e, e.scheduler.Request(r.now, grantRequest)) })
}

// networkDelay returns the delay of a message between h and e.
func (r *run) networkDelay(h *host, e *engine) time.Duration {
	if h.domain == e.domain {
		return intraDomainDelay
	}
	return interDomainDelay
}

// deliverDecisions delivers the decisions of e's scheduler to the entry hosts and schedules the scheduler's next Tick.
// Callers pass it the decisions that each call of the scheduler returns.
func (r *run) deliverDecisions(e *engine, decisions []grant.Decision) {
	for _, d := range decisions {
		a := r.attemptByID[d.ID]
		a.decidedAt = r.now
		r.after(r.networkDelay(a.host, e), func() { r.handleDecision(a, e, d) })
	}
	next := e.scheduler.NextTick()
	if next.IsZero() || next.Equal(e.tickAt) || e.failed && e.scheduler.NextTick().IsZero() {
		return
	}
	e.tickAt = next
	r.at(next, func() {
		if e.tickAt.Equal(next) {
			e.tickAt = time.Time{}
			r.deliverDecisions(e, e.scheduler.Tick(r.now))
		}
	})
}

// handleDecision handles a scheduler's decision at the entry host: it submits a granted request to the engine and goes
// on with the next candidate after a refusal.
func (r *run) handleDecision(a *attempt, e *engine, d grant.Decision) {
	switch {
	case a.split != nil:
		r.handleMemberDecision(a, e, d)
	case d.Grant != nil:
		r.result.Grants++
		r.submit(a, e, *d.Grant)
	default:
		if d.Refusal.Kind == protocol.RefusalBusy && (a.leastWaitEngine == nil || d.Refusal.Wait < a.leastWait) &&
			a.nextCandidate <= len(a.candidates) {
			a.leastWaitEngine, a.leastWait = e, d.Refusal.Wait
		}
		r.requestNextGrant(a)
	}
}

// submit sends the request to the engine. If the engine has failed or refuses the job, the entry host learns of it
// after intraDomainDelay.
func (r *run) submit(a *attempt, e *engine, g protocol.Grant) {
	a.engine = e
	job := batch.Job{
		ID: strconv.Itoa(a.req.id) + "." + strconv.Itoa(int(a.number)), PromptTokens: a.req.promptTokens,
		OutputTokens: a.req.outputTokens, Blocks: a.req.blocks, Priority: g.Priority,
		Expiry: a.arrivedAt.Add(a.req.deadline),
	}
	r.after(r.networkDelay(a.host, e), func() {
		if e.failed {
			r.after(intraDomainDelay, func() { r.retryAfterLoss(a) })
			return
		}
		if err := e.simulator.Submit(r.now, job); err != nil {
			r.after(intraDomainDelay, func() { r.retryAfterLoss(a) })
			return
		}
		r.attemptByJob[job.ID] = a
		r.advanceEngine(e)
	})
}

// handleFirstToken handles the arrival of the first output token at the entry host, which notifies the scheduler.
func (r *run) handleFirstToken(a *attempt) {
	a.firstTokenAt = r.now
	if r.isMeasured(a) {
		c := &r.result.Class[a.req.length]
		recordDuration(c.firstToken, r.now.Sub(a.arrivedAt))
		r.result.PromptTokens += a.req.promptTokens
		r.result.CachedTokens += a.cachedTokens
	}
	r.notifyScheduler(a, func(s *grant.Scheduler) []grant.Decision { return s.PrefillDone(r.now, a.id) })
}

// handleEnd handles the end of a job at the entry host. After a prefill part other than the last one, the next part is
// started; otherwise the request is completed.
func (r *run) handleEnd(a *attempt) {
	if a.split != nil && a.partIndex < len(a.split.members)-1 {
		r.startNextPart(a)
		return
	}
	if since := r.now.Sub(start); since >= r.Warmup && since <= r.Duration {
		r.result.GoodTokens += a.req.promptTokens
	}
	if r.isMeasured(a) {
		c := &r.result.Class[a.req.length]
		recordDuration(c.tokenGap, r.now.Sub(a.firstTokenAt)/time.Duration(max(a.req.outputTokens-1, 1)))
		c.Completed++
		r.workspaceClass(a.req).Completed++
	}
	r.finishAttempt(a, a.req.outputTokens)
}

// handleExpiry ends a request that was admitted but not completed within its deadline.
func (r *run) handleExpiry(a *attempt) {
	if r.isMeasured(a) {
		r.result.Class[a.req.length].Late++
		r.workspaceClass(a.req).Late++
	}
	r.finishAttempt(a, 0)
}

// retryAfterLoss retries a request on another engine after its engine has refused it or failed. It counts the request
// as lost instead if the prompt is split, if there were maxAttempts attempts or if the first token has already arrived.
func (r *run) retryAfterLoss(a *attempt) {
	r.finishAttempt(a, 0)
	if a.split != nil || a.number >= maxAttempts || !a.firstTokenAt.IsZero() {
		if r.isMeasured(a) {
			r.result.Class[a.req.length].Lost++
		}
		return
	}
	r.result.Retries++
	a.excluded = append(a.excluded, a.engine.name)
	r.startAttempt(a)
}

// recordRefusal counts a refused request.
func (r *run) recordRefusal(a *attempt) {
	if !a.decidedAt.IsZero() {
		r.result.RefusalTime = max(r.result.RefusalTime, r.now.Sub(a.decidedAt))
	}
	if r.isMeasured(a) && r.hasIdleEngine(a.req) {
		r.result.Idle++
	}
	if r.isMeasured(a) {
		r.result.Class[a.req.length].Refused++
		r.workspaceClass(a.req).Refused++
	}
	a.ended = true
}

// hasIdleEngine reports whether an engine of any failure domain is idle and has enough memory for the request.
func (r *run) hasIdleEngine(req *request) bool {
	for _, e := range r.engines {
		if !e.failed && e.simulator.Load().Running == 0 && e.simulator.WaitingJobs() == 0 &&
			req.promptTokens+maxOutputTokens <= memoryTokens {
			return true
		}
	}
	return false
}

// finishAttempt gives the attempt's grant back to the scheduler, or releases all members of a split prompt.
func (r *run) finishAttempt(a *attempt, output int64) {
	if a.split != nil {
		r.releaseMembers(a)
		return
	}
	id := a.id
	r.notifyScheduler(a, func(s *grant.Scheduler) []grant.Decision {
		return s.Finish(r.now, protocol.GrantRelease{ID: id, OutputTokens: output, CachedTokens: a.cachedTokens})
	})
}

// notifyScheduler runs call on the scheduler of the attempt's engine after the network delay and delivers the resulting
// decisions. It does nothing if the policy doesn't use schedulers.
func (r *run) notifyScheduler(a *attempt, call func(*grant.Scheduler) []grant.Decision) {
	if r.Policy != routing.PolicyLeastCost {
		return
	}
	e := a.engine
	r.after(r.networkDelay(a.host, e), func() { r.deliverDecisions(e, call(e.scheduler)) })
}
