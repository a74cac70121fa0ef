package planner

import (
	"slices"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

// place sends a placement request for the next attempt of a call, as placement.Client.Place does.
func (w *crashWorld) place(h *crashHost, c *callTry) {
	const deadline, firstTarget, timeout = 10 * time.Second, 300 * time.Millisecond, 2 * time.Second
	w.attempts++
	a := &crashAttempt{call: c, host: h, id: strconv.Itoa(w.attempts), requestedAt: w.Now}
	a.request = Request{
		ID: a.id, Host: h.name, Service: "llm", PromptTokens: c.tokens, OutputTokens: 1000, LikelyTokens: 500,
		FirstTarget: firstTarget, PauseTarget: 250 * time.Millisecond, Deadline: deadline, UntilDisconnect: timeout,
		PauseTimeout: timeout, ExcludedReplicas: slices.Clone(c.excluded), Fingerprint: c.fingerprint,
		PromptParts: c.parts, Resumed: c.resumed,
	}
	a.request.SubtractElapsed(w.Now.Sub(c.elapsedSince))
	h.pending = append(h.pending, a)
	w.submit(a)
}

// submit submits a placement request to the host's planner and, if that doesn't reply, to the host's own.
func (w *crashWorld) submit(a *crashAttempt) {
	h := a.host
	p := h.plannedBy
	id := a.id
	req := a.request
	req.ID = id
	req.SubtractElapsed(w.Now.Sub(a.requestedAt))
	w.send(h, p, func() {
		p.planner.Submit(w.Now, req)
		w.decide(p)
		w.send(p, h, func() { a.queued = true })
	})
	if p == h {
		return
	}
	w.After(crashBypassAfter, func() {
		w.atHost(h, func() {
			if !slices.Contains(h.pending, a) || a.id != id || a.queued {
				return
			}
			a.id += "~"
			a.bypassed = true
			req := a.request
			req.ID = a.id
			req.SubtractElapsed(w.Now.Sub(a.requestedAt))
			h.planner.Submit(w.Now, req)
			w.decide(h)
		})
	})
}

// decide sends the results on which a host's planner can decide now, and again later while requests wait.
func (w *crashWorld) decide(p *crashHost) {
	for _, result := range p.planner.Decide(w.Now) {
		i := slices.IndexFunc(w.hosts, func(h *crashHost) bool { return h.name == result.Host })
		h := w.hosts[i]
		w.send(p, h, func() { w.deliver(p, h, result) })
	}
	if p.planner.Waiting() == 0 || p.polling {
		return
	}
	p.polling = true
	w.After(crashPoll, func() {
		p.polling = false
		w.atHost(p, func() { w.decide(p) })
	})
}

// deliver handles a placement result at the host that asked for it.
func (w *crashWorld) deliver(p, h *crashHost, result Result) {
	i := slices.IndexFunc(h.pending, func(a *crashAttempt) bool { return a.id == result.ID })
	if i < 0 {
		if result.Plan != nil && !slices.ContainsFunc(h.placed, func(a *crashAttempt) bool { return a.id == result.ID }) {
			w.send(h, p, func() {
				p.planner.Ended(w.Now, h.name, result.ID, OutcomeCanceled)
				w.decide(p)
			})
		}
		return
	}
	a := h.pending[i]
	h.pending = slices.Delete(h.pending, i, i+1)
	if result.Refusal != nil {
		if result.Refusal.Cause == CauseCrashes {
			a.call.recordRefusal()
		}
		w.failCall(a.call, result.Refusal.RetryAfter)
		return
	}
	a.plan = result.Plan
	a.request.ID = a.id
	a.firstEvent = w.Now.Add(result.Plan.FirstEventTime)
	h.placed = append(h.placed, a)
	if a.bypassed && h.plannedBy != h {
		placement, planner := w.placementOf(a), h.plannedBy
		w.send(h, planner, func() {
			planner.planner.Restore(w.Now, placement)
			w.decide(planner)
		})
	}
	w.run(a)
}

// run sends a placed request to its replica.
func (w *crashWorld) run(a *crashAttempt) {
	const refusedAfter = 2 * time.Millisecond
	i := slices.IndexFunc(w.replicas, func(r *crashReplica) bool { return r.replica.ID == a.plan.Replica.ID })
	switch {
	case i < 0 || w.replicas[i].dead:
		w.After(refusedAfter, func() { w.endAttempt(a, OutcomeUnreachable) })
		return
	case w.replicas[i].side != a.host.side:
		w.After(300*time.Millisecond, func() { w.endAttempt(a, OutcomeUnreachable) })
		return
	}
	if bad := a.call.bad; bad != 0 {
		w.badSends[bad] = append(w.badSends[bad], badSend{at: w.Now, inTouch: w.inTouch(a.host)})
	}
	if len(w.replicas[i].attempts) >= crashReplicaLimit {
		w.After(refusedAfter, func() { w.endAttempt(a, OutcomeRefused) })
		return
	}
	a.replica = w.replicas[i]
	a.replica.attempts = append(a.replica.attempts, a)
	prefill := pass.PrefillTime(testEngine, a.request.PromptTokens, 1)
	w.After(prefill+w.jitter(prefill), func() { w.beginWriting(a) })
	if w.random.Float64() < w.scenario.brokenShare {
		w.After(w.jitter(a.call.runTime), func() { w.endAttempt(a, OutcomeBroken) })
	}
}

// beginWriting begins the response to a request. If the request has a bad part, the replica crashes soon.
func (w *crashWorld) beginWriting(a *crashAttempt) {
	if a.over {
		return
	}
	const firstEventAfter = 45 * time.Millisecond
	w.After(firstEventAfter, func() { w.startAttempt(a) })
	w.After(max(a.call.runTime, firstEventAfter), func() { w.endAttempt(a, OutcomeCompleted) })
	if bad := a.call.bad; bad != 0 {
		w.After(w.jitter(crashMaxWriting), func() {
			if !a.over && !a.replica.dead {
				w.crashes[bad] = append(w.crashes[bad], w.Now)
				w.crash(a.replica)
			}
		})
	}
}

// startAttempt passes on the first event of an attempt.
func (w *crashWorld) startAttempt(a *crashAttempt) {
	if a.over || a.host.side != a.replica.side {
		return
	}
	h := a.host
	w.atHost(h, func() {
		a.decoding, a.writingSince = true, w.Now
		a.call.resumed = true
		a.call.begun = a.call.begun || a.call.first
		w.report(a, func(p *Planner) { p.Started(w.Now, h.name, a.id) })
	})
}

// writing returns the time since the first event of an attempt, 0 before.
func (a *crashAttempt) writing(now time.Time) time.Duration {
	if !a.decoding {
		return 0
	}
	return now.Sub(a.writingSince)
}

// report reports the progress of an attempt to the host's planner, and to its own planner if that placed it.
func (w *crashWorld) report(a *crashAttempt, f func(p *Planner)) {
	h := a.host
	p := h.plannedBy
	if p == h || a.bypassed {
		f(h.planner)
		w.decide(h)
	}
	if p != h {
		w.send(h, p, func() {
			f(p.planner)
			w.decide(p)
		})
	}
}

// leaveReplica removes an attempt from its replica.
func (w *crashWorld) leaveReplica(a *crashAttempt) {
	if a.replica != nil {
		a.replica.attempts = slices.DeleteFunc(a.replica.attempts, func(other *crashAttempt) bool { return other == a })
	}
}

// endAttempt ends an attempt at its replica and, if its host can notice that, there.
func (w *crashWorld) endAttempt(a *crashAttempt, outcome Outcome) {
	if a.over || a.replica != nil && outcome != OutcomeSilent && a.host.side != a.replica.side {
		return
	}
	a.over = true
	w.leaveReplica(a)
	w.atHost(a.host, func() { w.ended(a, outcome) })
}

// ended handles the end of an attempt at its host: it reports it and tries the next attempt if there may be one.
func (w *crashWorld) ended(a *crashAttempt, outcome Outcome) {
	h, c := a.host, a.call
	h.placed = slices.DeleteFunc(h.placed, func(other *crashAttempt) bool { return other == a })
	h.planner.RecordOutcome(w.Now, &a.request, &a.plan.Replica, a.writing(w.Now), outcome)
	w.report(a, func(p *Planner) { p.Ended(w.Now, h.name, a.id, outcome) })
	c.broken = c.broken || c.first && outcome != OutcomeCompleted
	c.first = false
	c.excluded = append(c.excluded, a.plan.Replica.ID)
	switch outcome {
	case OutcomeCompleted:
		return
	case OutcomeUnreachable, OutcomeRefused:
		c.notRun++
	default:
		c.runs++
		c.breaks++
	}
	if c.runs < crashMaxRuns && c.notRun <= crashMaxNotRun {
		w.place(h, c)
		return
	}
	w.failCall(c, 0)
}
