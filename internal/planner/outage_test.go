package planner

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	// Time from the loss of an engine until a host that has a request there takes it for failed.
	lossNotice = 500 * time.Millisecond
	// Time from the loss of an engine until its replica is no longer listed, and from its return until it is.
	listDelay = time.Second
	// The most engines that fail one request before its caller gives up.
	maxBreaks = 2
)

// outage is a time in which engines are lost.
type outage struct {
	from, length time.Duration
	lost         func(engine int) bool
}

// laterEvent is something that happens at a time.
type laterEvent struct {
	due time.Time
	do  func(now time.Time)
}

// after does something after a time.
func (s *contest) after(now time.Time, d time.Duration, do func(now time.Time)) {
	s.later = append(s.later, laterEvent{now.Add(d), do})
}

// advanceOutages runs what is due, and begins and ends outages.
func (s *contest) advanceOutages(now time.Time) {
	due := slices.Clone(s.later)
	s.later = slices.DeleteFunc(s.later, func(e laterEvent) bool { return !e.due.After(now) })
	for _, e := range due {
		if !e.due.After(now) {
			e.do(now)
		}
	}
	for i := range s.outages {
		o := &s.outages[i]
		if o.length > 0 && !now.Before(start.Add(o.from)) {
			s.begin(now, o)
			o.length = 0
		}
	}
}

// begin begins an outage, with which all requests at its engines break off.
func (s *contest) begin(now time.Time, o *outage) {
	if s.lost == nil {
		s.lost = make(map[string]bool)
	}
	var ids []string
	for i := range s.site.engines {
		if o.lost(i) {
			s.lost[engineID(i)] = true
			ids = append(ids, engineID(i))
		}
	}
	for _, r := range s.active {
		if r.placed && s.losesEngine(r) {
			s.fleet.Cancel(r.id)
			s.fail(now, r)
		}
	}
	s.after(now, listDelay, s.list)
	s.after(now, o.length, func(now time.Time) {
		for _, id := range ids {
			delete(s.lost, id)
		}
		s.after(now, listDelay, s.list)
	})
}

// list tells the policy which replicas there are.
func (s *contest) list(now time.Time) {
	if c, ok := s.policy.(*plannerContender); ok {
		listed := slices.DeleteFunc(s.site.replicas(), func(r replica.Replica) bool { return s.lost[r.ID] })
		c.planner.SetReplicas(now, listed)
	}
}

// losesEngine reports whether an engine that runs the prompt is lost.
func (s *contest) losesEngine(r *prompt) bool {
	return slices.ContainsFunc(r.engines, func(id string) bool { return s.lost[id] })
}

// fail ends the present try of a prompt that has lost an engine, and has its host try again without that engine.
func (s *contest) fail(now time.Time, r *prompt) {
	r.placed = false
	outcome := OutcomeRefused
	if s.lost[r.engines[0]] {
		outcome = OutcomeUnreachable
	}
	for _, id := range r.engines {
		if s.lost[id] {
			r.excluded = append(r.excluded, id)
		}
	}
	s.after(now, lossNotice, func(now time.Time) {
		if r.left {
			return
		}
		s.policy.ended(now, r, outcome)
		r.breaks++
		r.submitted = now
		r.left = r.breaks > maxBreaks
	})
}
