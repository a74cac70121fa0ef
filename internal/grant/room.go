package grant

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// unaccountedWait is the predicted wait if a request would not fit even after all grants have ended, because the engine
// holds memory that no grant accounts for. The next load report may show that memory as free.
const unaccountedWait = time.Second

// backfillWindow is the time and memory that other requests may use until the request that has waited longest to fit can
// start. A request fits if memory and the limit on concurrent grants allow it to start, as reported by mayStart.
type backfillWindow struct {
	waitingID     protocol.AttemptID // the request that has waited longest to fit
	unlimited     bool               // no aged request waits to fit
	until         time.Time          // when the request is predicted to start
	spareBytes    int64              // bytes that are still free once it has started
	headroomBytes int64              // bytes that it leaves to prompts of at most mediumMaxTokens
}

// backfillWindow returns the window before the start of the request that has waited longest to fit. Only requests that
// have waited for their aging period limit the window.
func (s *Scheduler) backfillWindow(now time.Time) backfillWindow {
	for _, it := range s.queue.Items() {
		w := s.waiting[it.ID]
		if !it.Aged(now) || s.mayStart(w) {
			continue
		}
		wait, spare := s.timeToFit(now, w)
		return backfillWindow{waitingID: it.ID, until: now.Add(wait), spareBytes: spare, headroomBytes: s.headroomBytes(w)}
	}
	return backfillWindow{unlimited: true}
}

// admits reports whether a request may start without delaying the one that limits the window.
func (b backfillWindow) admits(now time.Time, s *Scheduler, w *waiter) bool {
	switch {
	case b.unlimited, s.unlimitedBackfill, b.waitingID == w.req.ID, w.bytes <= b.spareBytes:
		return true
	case w.req.PromptTokens <= mediumMaxTokens && s.reservedUpToMedium()+w.bytes <= b.headroomBytes:
		return true
	}
	return !now.Add(s.serviceTime(w.req)).After(b.until)
}

// predictedFitWait returns the predicted time until enough grants have ended for a request to fit. If the backfill
// window does not admit the request, the result is at least the time until the window ends.
func (s *Scheduler) predictedFitWait(now time.Time, w *waiter, b backfillWindow) time.Duration {
	wait, _ := s.timeToFit(now, w)
	if !b.admits(now, s, w) {
		return max(wait, b.until.Sub(now))
	}
	return wait
}

// timeToFit returns the predicted time until enough grants have ended for a request to fit, and the bytes that are free
// once it has started.
func (s *Scheduler) timeToFit(now time.Time, w *waiter) (wait time.Duration, spare int64) {
	if s.mayStart(w) {
		return 0, s.load.MemoryBytes - s.usedBytes() - w.bytes
	}
	aboveMedium := w.req.PromptTokens > mediumMaxTokens
	freeBytes := s.load.MemoryBytes - s.usedBytes() - w.bytes
	freeAboveMedium := s.load.MemoryBytes - s.headroomBytes(w) - s.reservedAboveMedium - w.bytes
	overRunningLimit := len(s.reservations) + 1 - s.maxRunning()
	for _, end := range s.grantEnds(now) {
		freeBytes += end.bytes
		overRunningLimit--
		if end.aboveMedium {
			freeAboveMedium += end.bytes
		}
		if freeBytes >= 0 && overRunningLimit <= 0 && (!aboveMedium || freeAboveMedium >= 0) {
			return max(end.at.Sub(now), 0), freeBytes
		}
	}
	return unaccountedWait, 0
}

// grantEnds returns the predicted ends of the grants, the earliest first.
func (s *Scheduler) grantEnds(now time.Time) []grantEnd {
	if s.memo.ends != nil && s.memo.at.Equal(now) {
		return s.memo.ends
	}
	ends := make([]grantEnd, 0, len(s.reservations))
	for _, r := range s.reservations {
		ends = append(ends, grantEnd{
			at: s.predictedEnd(now, r), bytes: r.bytes, number: r.number, aboveMedium: r.req.PromptTokens > mediumMaxTokens,
		})
	}
	slices.SortFunc(ends, func(a, b grantEnd) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number))
	})
	s.memo.at, s.memo.ends = now, ends
	return ends
}

// memo caches values computed from the grants until the grants change.
type memo struct {
	at        time.Time // time for which ends was computed
	ends      []grantEnd
	usedBytes int64
	usedValid bool // usedBytes has been computed
}

// grantEnd is the predicted end of a grant and the memory that the grant then gives back.
type grantEnd struct {
	at          time.Time
	bytes       int64
	number      uint64 // of the reservation
	aboveMedium bool   // its prompt is longer than mediumMaxTokens
}
