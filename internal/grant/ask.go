package grant

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/queue"
)

// A waiting request counts as aged after 1/agingDivisor of the time that it had left on arrival.
const agingDivisor = 2

// Request decides on a grant request. If req.MayQueue is false, Request returns the Decision; otherwise the request
// may wait, and a later call on the Scheduler returns the Decision. A request that is repeated while its grant is in
// use gets the same grant again.
func (s *Scheduler) Request(now time.Time, req protocol.GrantRequest) []Decision {
	s.advance(now)
	if r, ok := s.reservations[req.ID]; ok && !s.skipDuplicateCheck {
		g := r.grant
		return []Decision{{ID: req.ID, Grant: &g}}
	}
	if _, ok := s.waiting[req.ID]; ok {
		return nil
	}
	if _, ok := s.finished[req.ID]; ok && !s.skipDuplicateCheck {
		// The Finish arrived before the request, so nobody waits for the decision.
		return []Decision{refuse(req.ID, protocol.RefusalBusy, tombstoneAge, 0)}
	}
	if req.TimeLeft <= 0 {
		req.TimeLeft = DefaultTimeLimit
	}
	s.queue.Usage.RecordRequest(now, req.Workspace)
	s.demand.addRequested(now, req.PromptTokens, s.isLong(req.PromptTokens))
	if kind := s.ineligibility(req); kind != "" {
		return []Decision{refuse(req.ID, kind, 0, 0)}
	}
	w := &waiter{req: req, bytes: s.memoryNeed(req), enqueued: now, deadline: now.Add(req.TimeLeft)}
	wait := s.predictedWait(now, w)
	if overrun := wait + s.serviceTime(req) - req.TimeLeft; overrun > 0 && !s.reported.IsZero() {
		return []Decision{refuse(req.ID, protocol.RefusalDeadline, wait, overrun)}
	}
	limit := orDefault(s.MaxWaitUnqueued, DefaultMaxWaitUnqueued)
	if req.MayQueue {
		limit = orDefault(s.PrefillBacklog, DefaultPrefillBacklog)
	}
	// A cached prefix allows a longer wait, up to the prefill time that it saves.
	limit += seconds(float64(s.cachedTokens(req)) / s.prefillRate(req.Model))
	if wait <= limit && s.mayStart(w) && s.backfillWindow(now).admits(now, s, w) {
		return []Decision{s.makeGrant(now, w)}
	}
	if !req.MayQueue || s.queue.Len() >= s.maxQueued() {
		return []Decision{refuse(req.ID, protocol.RefusalBusy, wait, wait)}
	}
	s.enqueue(w)
	return nil
}

// ineligibility returns why the backend server can't take a request however long it waits, or "" if it can.
func (s *Scheduler) ineligibility(req protocol.GrantRequest) protocol.RefusalKind {
	switch {
	case s.down:
		return protocol.RefusalUnhealthy
	case s.load.Leaving:
		return protocol.RefusalLeaving
	case !s.servesModel(req.Model):
		return protocol.RefusalModel
	case !s.reported.IsZero() && s.memoryNeed(req) > s.load.MemoryBytes && !s.skipMemoryCheck:
		return protocol.RefusalMemory
	case req.Suspect && s.hasSuspect():
		return protocol.RefusalSuspect
	}
	return ""
}

// servesModel reports whether the engine has loaded the model. It is true before the first load report and for the
// empty name.
func (s *Scheduler) servesModel(model string) bool {
	if s.reported.IsZero() || model == "" {
		return true
	}
	for _, m := range s.load.Models {
		if m == model {
			return true
		}
	}
	return false
}

// hasSuspect reports whether a suspect request holds a grant or waits.
func (s *Scheduler) hasSuspect() bool {
	for _, r := range s.reservations {
		if r.req.Suspect {
			return true
		}
	}
	for _, w := range s.waiting {
		if w.req.Suspect {
			return true
		}
	}
	return false
}

func (s *Scheduler) maxQueued() int {
	if s.MaxQueued > 0 {
		return s.MaxQueued
	}
	return DefaultMaxQueued
}

func (s *Scheduler) enqueue(w *waiter) {
	s.revision++
	s.waiting[w.req.ID] = w
	s.queue.Push(s.queueItem(w))
}

func (s *Scheduler) queueItem(w *waiter) queue.Item {
	return queue.Item{
		ID: w.req.ID, Workspace: w.req.Workspace, Priority: s.basePriority(w.req), Enqueued: w.enqueued,
		Due: s.due(w), Aging: w.req.TimeLeft / agingDivisor,
	}
}

// due returns the time by which a request should get its first token: twice its prefill time after it was enqueued,
// but no later than the latest start that meets its deadline. It grows with the length of the prompt, so that a short
// prompt does not wait behind a long one that arrived shortly before.
func (s *Scheduler) due(w *waiter) time.Time {
	prefill := s.prefillTime(w.req)
	due := w.enqueued.Add(2 * prefill)
	if latestStart := w.deadline.Add(-s.serviceTime(w.req)); latestStart.Before(due) {
		return latestStart
	}
	return due
}

// makeGrant grants a request, reserves its memory and charges its workspace.
func (s *Scheduler) makeGrant(now time.Time, w *waiter) Decision {
	s.revision++
	cached := s.cachedTokens(w.req)
	r := &reservation{
		req: w.req, bytes: w.bytes, granted: now, expires: w.deadline,
		prefilling: true, prefillLeft: float64(max(w.req.PromptTokens-cached, 1)),
		grant: protocol.Grant{
			ID: w.req.ID, Server: s.Server.Name, Address: s.Server.Address,
			Expiry: w.deadline.Sub(now), CachedTokens: cached, Priority: s.priority(now, w),
		},
	}
	s.reserve(r)
	s.cache.setBlockTokens(w.req.BlockTokens)
	if s.basePriority(w.req)%queue.AgedStep >= mediumPriority {
		s.demand.addGranted(now, int64(r.prefillLeft))
	}
	s.queue.Usage.Charge(w.req.Workspace, w.req.PromptTokens+w.req.OutputTokens)
	g := r.grant
	return Decision{ID: w.req.ID, Grant: &g}
}

// grantWaiting grants all waiting requests that may start, appends the decisions, and schedules the next Tick for the
// time at which the prefill backlog is predicted to let the next one start.
func (s *Scheduler) grantWaiting(now time.Time, decisions []Decision) []Decision {
	if s.down || s.load.Leaving {
		return decisions
	}
	allowedBacklog := orDefault(s.PrefillBacklog, DefaultPrefillBacklog)
	for s.queue.Len() > 0 {
		window := s.backfillWindow(now)
		minExcess := time.Duration(-1)
		it, ok := s.queue.Next(now, func(it queue.Item) bool {
			w := s.waiting[it.ID]
			if !s.mayStart(w) || !window.admits(now, s, w) {
				return false
			}
			excess := s.prefillAhead(s.priority(now, w)) - allowedBacklog
			if excess > 0 && (minExcess < 0 || excess < minExcess) {
				minExcess = excess
			}
			return excess <= 0
		})
		if !ok {
			s.wakeAfter(now, minExcess)
			return decisions
		}
		w := s.waiting[it.ID]
		s.dequeue(it.ID)
		decisions = append(decisions, s.makeGrant(now, w))
	}
	return decisions
}

// wakeAfter schedules the next Tick to wait from now, at least 1 ms, unless it is due earlier. A negative wait changes
// nothing.
func (s *Scheduler) wakeAfter(now time.Time, wait time.Duration) {
	if at := now.Add(max(wait, time.Millisecond)); wait >= 0 && at.Before(s.nextTick) {
		s.nextTick = at
	}
}

func (s *Scheduler) dequeue(id protocol.AttemptID) {
	s.queue.Remove(id)
	delete(s.waiting, id)
}

// refuseUnmeetable refuses the waiting requests that can no longer meet their deadline.
func (s *Scheduler) refuseUnmeetable(now time.Time) []Decision {
	if s.skipQueueRefusal {
		return nil
	}
	var decisions []Decision
	estimate := s.waitEstimate(now)
	for _, it := range s.queue.Ordered(now) {
		w := s.waiting[it.ID]
		wait := estimate.wait(now, w)
		if overrun := now.Add(wait + s.serviceTime(w.req)).Sub(w.deadline); overrun > 0 {
			s.dequeue(it.ID)
			decisions = append(decisions, refuse(it.ID, protocol.RefusalDeadline, wait, overrun))
			continue
		}
		estimate.add(w)
	}
	if len(decisions) > 0 {
		s.revision++
	}
	return decisions
}

// refuseAll refuses all waiting requests.
func (s *Scheduler) refuseAll(kind protocol.RefusalKind) []Decision {
	var decisions []Decision
	items := append([]queue.Item(nil), s.queue.Items()...)
	for _, it := range items {
		s.dequeue(it.ID)
		decisions = append(decisions, refuse(it.ID, kind, 0, 0))
	}
	return decisions
}

func refuse(id protocol.AttemptID, kind protocol.RefusalKind, wait, retryAfter time.Duration) Decision {
	return Decision{ID: id, Refusal: &protocol.Refusal{ID: id, Kind: kind, Wait: wait, RetryAfter: retryAfter}}
}
