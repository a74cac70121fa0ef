package grant

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// unknownWait is the wait while memory is held that no grant accounts for; the next report may show it free.
const unknownWait = time.Second

// hole is the time and memory that other asks may use before the ask that has waited longest for room gets it.
type hole struct {
	id       protocol.AttemptID
	open     bool      // no ask waits for room
	until    time.Time // when the ask is predicted to start
	spare    int64     // bytes that are left over once it has started
	headroom int64     // bytes that it leaves to shorter prompts
}

// hole finds the ask that has waited longest for room, for an aging period at least, and when it can start.
func (s *Scheduler) hole(now time.Time) hole {
	for _, it := range s.queue.Items() {
		w := s.waiting[it.ID]
		if !it.Aged(now) || s.mayStart(w) {
			continue
		}
		wait, spare := s.room(now, w)
		return hole{id: it.ID, until: now.Add(wait), spare: spare, headroom: s.headroom(w)}
	}
	return hole{open: true}
}

// admits reports whether an ask may start without delaying the one that waits for room.
func (h hole) admits(now time.Time, s *Scheduler, w *waiter) bool {
	switch {
	case h.open, s.noBackfill, h.id == w.ask.ID, w.bytes <= h.spare:
		return true
	case w.ask.PromptTokens <= middleStep && s.heldBelow()+w.bytes <= h.headroom:
		return true
	}
	return !now.Add(s.service(w.ask)).After(h.until)
}

// waitRoom is the predicted time until enough grants have ended for an ask to fit.
func (s *Scheduler) waitRoom(now time.Time, w *waiter, h hole) time.Duration {
	wait, _ := s.room(now, w)
	if !h.admits(now, s, w) {
		return max(wait, h.until.Sub(now))
	}
	return wait
}

// room is the predicted time until enough grants have ended for an ask to fit, and the bytes then left over.
func (s *Scheduler) room(now time.Time, w *waiter) (wait time.Duration, spare int64) {
	if s.mayStart(w) {
		return 0, s.load.MemoryBytes - s.used() - w.bytes
	}
	above := w.ask.PromptTokens > middleStep
	free := s.load.MemoryBytes - s.used() - w.bytes
	freeAbove := s.load.MemoryBytes - s.headroom(w) - s.heldAbove - w.bytes
	excess := len(s.held) + 1 - s.maxRunning()
	for _, e := range s.endings(now) {
		free += e.bytes
		excess--
		if e.above {
			freeAbove += e.bytes
		}
		if free >= 0 && excess <= 0 && (!above || freeAbove >= 0) {
			return max(e.at.Sub(now), 0), free
		}
	}
	return unknownWait, 0
}

// endings lists the predicted ends of the grants, the first one first.
func (s *Scheduler) endings(now time.Time) []ending {
	if s.memo.endings != nil && s.memo.at.Equal(now) {
		return s.memo.endings
	}
	ends := make([]ending, 0, len(s.held))
	for _, r := range s.held {
		ends = append(ends, ending{
			at: s.end(now, r), bytes: r.bytes, number: r.number, above: r.ask.PromptTokens > middleStep,
		})
	}
	slices.SortFunc(ends, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number))
	})
	s.memo.at, s.memo.endings = now, ends
	return ends
}

// memo keeps what is worked out from the grants until they change.
type memo struct {
	at      time.Time
	endings []ending
	used    int64
	valid   bool // used holds
}

// ending is when a grant is predicted to end and what it then gives back.
type ending struct {
	at     time.Time
	bytes  int64
	number uint64
	above  bool // its prompt is above middleStep
}
