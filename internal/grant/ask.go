package grant

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/queue"
)

// agingPart is the part of its time after which an ask counts as aged.
const agingPart = 2

// Ask decides on a request for a grant. Without ask.Queue it is decided at once; otherwise the Decision
// may come out of a later call. A repeated ask has the same answer.
func (s *Scheduler) Ask(now time.Time, ask protocol.Ask) []Decision {
	s.advance(now)
	if r, ok := s.held[ask.ID]; ok && !s.noIdentity {
		g := r.grant
		return []Decision{{ID: ask.ID, Grant: &g}}
	}
	if _, ok := s.waiting[ask.ID]; ok {
		return nil
	}
	if _, ok := s.finished[ask.ID]; ok && !s.noIdentity {
		// The withdrawal has overtaken the ask; no one waits for an answer.
		return []Decision{refuse(ask.ID, protocol.RefusalBusy, tombstoneAge, 0)}
	}
	if ask.TimeLeft <= 0 {
		ask.TimeLeft = DefaultTimeLimit
	}
	s.queue.Usage.Ask(now, ask.Workspace)
	s.demand.add(now, ask.PromptTokens, s.long(ask.PromptTokens))
	if kind := s.unable(ask); kind != "" {
		return []Decision{refuse(ask.ID, kind, 0, 0)}
	}
	w := &waiter{ask: ask, bytes: s.bytes(ask), enqueued: now, deadline: now.Add(ask.TimeLeft)}
	wait := s.wait(now, w)
	if late := wait + s.service(ask) - ask.TimeLeft; late > 0 && !s.reported.IsZero() {
		return []Decision{refuse(ask.ID, protocol.RefusalDeadline, wait, late)}
	}
	limit := orDefault(s.Idle, DefaultIdle)
	if ask.Queue {
		limit = orDefault(s.Lead, DefaultLead)
	}
	// A wait is worth the prefill that the cache saves.
	limit += seconds(float64(s.cached(ask)) / s.rate(ask.Model))
	if wait <= limit && s.mayStart(w) && s.hole(now).admits(now, s, w) {
		return []Decision{s.give(now, w)}
	}
	if !ask.Queue || s.queue.Len() >= s.maxQueued() {
		return []Decision{refuse(ask.ID, protocol.RefusalBusy, wait, wait)}
	}
	s.push(w)
	return nil
}

// unable returns why the backend server can't run an ask whatever the load, or nothing.
func (s *Scheduler) unable(ask protocol.Ask) protocol.RefusalKind {
	switch {
	case s.down:
		return protocol.RefusalUnhealthy
	case s.load.Leaving:
		return protocol.RefusalLeaving
	case !s.serves(ask.Model):
		return protocol.RefusalModel
	case !s.reported.IsZero() && s.bytes(ask) > s.load.MemoryBytes && !s.noMemory:
		return protocol.RefusalMemory
	case ask.Suspect && s.holdsSuspect():
		return protocol.RefusalSuspect
	}
	return ""
}

func (s *Scheduler) serves(model string) bool {
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

func (s *Scheduler) holdsSuspect() bool {
	for _, r := range s.held {
		if r.ask.Suspect {
			return true
		}
	}
	for _, w := range s.waiting {
		if w.ask.Suspect {
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

func (s *Scheduler) push(w *waiter) {
	s.revision++
	s.waiting[w.ask.ID] = w
	s.queue.Push(s.item(w))
}

func (s *Scheduler) item(w *waiter) queue.Item {
	return queue.Item{
		ID: w.ask.ID, Workspace: w.ask.Workspace, Priority: s.basePriority(w.ask), Enqueued: w.enqueued,
		Due: s.due(w), Aging: w.ask.TimeLeft / agingPart,
	}
}

// due is the moment by which an ask is to have its first token.
// It grows with the prompt, so that a short prompt does not wait behind a long one that came a little earlier.
func (s *Scheduler) due(w *waiter) time.Time {
	service := s.prefill(w.ask)
	due := w.enqueued.Add(2 * service)
	if last := w.deadline.Add(-s.service(w.ask)); last.Before(due) {
		return last
	}
	return due
}

// give makes a grant.
func (s *Scheduler) give(now time.Time, w *waiter) Decision {
	s.revision++
	cached := s.cached(w.ask)
	r := &reservation{
		ask: w.ask, bytes: w.bytes, granted: now, expires: w.deadline,
		prefilling: true, left: float64(max(w.ask.PromptTokens-cached, 1)),
		grant: protocol.Grant{
			ID: w.ask.ID, Server: s.Server.Name, Address: s.Server.Address,
			Expiry: w.deadline.Sub(now), CachedTokens: cached, Priority: s.priority(now, w),
		},
	}
	s.hold(r)
	s.cache.learn(w.ask.BlockTokens)
	if s.basePriority(w.ask)%queue.AgedStep >= middlePriority {
		s.demand.give(now, int64(r.left))
	}
	s.queue.Usage.Charge(w.ask.Workspace, w.ask.PromptTokens+w.ask.OutputTokens)
	g := r.grant
	return Decision{ID: w.ask.ID, Grant: &g}
}

// drain gives grants to waiting asks as far as they may start, and sees that Tick is called when the next one may.
func (s *Scheduler) drain(now time.Time, decisions []Decision) []Decision {
	if s.down || s.load.Leaving {
		return decisions
	}
	lead := orDefault(s.Lead, DefaultLead)
	for s.queue.Len() > 0 {
		h := s.hole(now)
		soonest := time.Duration(-1)
		it, ok := s.queue.Next(now, func(it queue.Item) bool {
			w := s.waiting[it.ID]
			if !s.mayStart(w) || !h.admits(now, s, w) {
				return false
			}
			excess := s.ahead(s.priority(now, w)) - lead
			if excess > 0 && (soonest < 0 || excess < soonest) {
				soonest = excess
			}
			return excess <= 0
		})
		if !ok {
			s.wakeAfter(now, soonest)
			return decisions
		}
		w := s.waiting[it.ID]
		s.drop(it.ID)
		decisions = append(decisions, s.give(now, w))
	}
	return decisions
}

// wakeAfter moves the next tick forward.
func (s *Scheduler) wakeAfter(now time.Time, wait time.Duration) {
	if at := now.Add(max(wait, time.Millisecond)); wait >= 0 && at.Before(s.nextTick) {
		s.nextTick = at
	}
}

func (s *Scheduler) drop(id protocol.AttemptID) {
	s.queue.Remove(id)
	delete(s.waiting, id)
}

// refuseLate refuses the waiting asks that can't meet their time any more.
func (s *Scheduler) refuseLate(now time.Time) []Decision {
	if s.noRefusal {
		return nil
	}
	var decisions []Decision
	line := s.line(now)
	for _, it := range s.queue.Ordered(now) {
		w := s.waiting[it.ID]
		wait := line.wait(now, w)
		if late := now.Add(wait + s.service(w.ask)).Sub(w.deadline); late > 0 {
			s.drop(it.ID)
			decisions = append(decisions, refuse(it.ID, protocol.RefusalDeadline, wait, late))
			continue
		}
		line.pass(w)
	}
	if len(decisions) > 0 {
		s.revision++
	}
	return decisions
}

// refuseAll refuses everything that waits.
func (s *Scheduler) refuseAll(kind protocol.RefusalKind) []Decision {
	var decisions []Decision
	items := append([]queue.Item(nil), s.queue.Items()...)
	for _, it := range items {
		s.drop(it.ID)
		decisions = append(decisions, refuse(it.ID, kind, 0, 0))
	}
	return decisions
}

func refuse(id protocol.AttemptID, kind protocol.RefusalKind, wait, retryAfter time.Duration) Decision {
	return Decision{ID: id, Refusal: &protocol.Refusal{ID: id, Kind: kind, Wait: wait, RetryAfter: retryAfter}}
}
