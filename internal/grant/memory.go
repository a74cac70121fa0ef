package grant

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Initial value, range and steps of the adaptive limit on concurrent grants. The limit grows by runningLimitIncrease
// if the time between tokens is more than 10 % below the target, and is multiplied by runningLimitDecrease if it
// exceeds the target.
const (
	initialRunningLimit  = 24.0
	minRunningLimit      = 4.0
	maxRunningLimit      = 512.0
	runningLimitIncrease = 2.0
	runningLimitDecrease = 0.9
)

// headroomPercent is the percentage of the memory that prompts longer than mediumMaxTokens leave to the others. A
// single prompt that needs more than the rest may use part of it.
const headroomPercent = 15

// SetLoad applies a load report of the engine. If the engine takes no new work, all waiting requests are refused.
func (s *Scheduler) SetLoad(now time.Time, load engineapi.Load) []Decision {
	s.advance(now)
	s.revision++
	if load.Epoch != s.load.Epoch {
		s.cache.clear()
	}
	s.load = load
	s.reported = now.Add(-time.Duration(load.AgeMS) * time.Millisecond)
	s.pruneFreed()
	s.memo = memo{}
	s.cache.resize(s.blockCapacity())
	s.adaptRunningLimit()
	if load.Leaving {
		return s.refuseAll(protocol.RefusalLeaving)
	}
	return s.grantWaiting(now, nil)
}

// memoryNeed returns the bytes to reserve for prompt and output of a request.
func (s *Scheduler) memoryNeed(req protocol.GrantRequest) int64 {
	if req.Bytes > 0 {
		return req.Bytes
	}
	bytesPerToken := s.load.KVBytesPerToken
	if bytesPerToken <= 0 {
		bytesPerToken = assumedKVBytes
	}
	return (req.PromptTokens + req.OutputTokens) * bytesPerToken
}

// usedBytes returns the memory that counts as used: the larger of what the grants reserve and what the engine has
// reported as held, corrected by the grants made and ended since the report.
func (s *Scheduler) usedBytes() int64 {
	if s.memo.usedValid {
		return s.memo.usedBytes
	}
	reported := s.load.HeldBytes
	for _, f := range s.freed {
		reported -= f.bytes
	}
	for _, r := range s.reservations {
		if r.granted.After(s.reported) {
			reported += r.bytes
		}
	}
	s.memo.usedBytes, s.memo.usedValid = max(s.reservedBytes, reported), true
	return s.memo.usedBytes
}

// pruneFreed drops the freed memory that the last load report already reflects.
func (s *Scheduler) pruneFreed() {
	kept := s.freed[:0]
	for _, f := range s.freed {
		if f.at.After(s.reported) {
			kept = append(kept, f)
		}
	}
	s.freed = kept
}

// mayStart reports whether memory and the limit on concurrent grants allow a request to start. It is false before the
// first load report.
func (s *Scheduler) mayStart(w *waiter) bool {
	if s.reported.IsZero() {
		return false
	}
	if s.skipMemoryCheck {
		return true
	}
	if len(s.reservations) >= s.maxRunning() || s.usedBytes()+w.bytes > s.load.MemoryBytes {
		return false
	}
	return w.req.PromptTokens <= mediumMaxTokens || s.reservedAboveMedium+w.bytes <= s.load.MemoryBytes-s.headroomBytes(w)
}

// headroomBytes returns the memory that w and other prompts longer than mediumMaxTokens leave to the shorter ones.
func (s *Scheduler) headroomBytes(w *waiter) int64 {
	return min(s.load.MemoryBytes*headroomPercent/100, max(s.load.MemoryBytes-w.bytes, 0))
}

// reservedUpToMedium returns the memory reserved for prompts of at most mediumMaxTokens.
func (s *Scheduler) reservedUpToMedium() int64 { return s.reservedBytes - s.reservedAboveMedium }

// maxRunning returns the limit on concurrent grants.
func (s *Scheduler) maxRunning() int {
	if s.MaxRunning > 0 {
		return s.MaxRunning
	}
	if s.runningLimit == 0 {
		s.runningLimit = initialRunningLimit
	}
	return int(s.runningLimit)
}

// adaptRunningLimit adjusts the limit on concurrent grants so that the time between output tokens stays within
// TokenGap. It raises the limit only if more than half of it is in use.
func (s *Scheduler) adaptRunningLimit() {
	gap := seconds(s.tokenGap(s.statsOf("")))
	target := orDefault(s.TokenGap, DefaultTokenGap)
	running := float64(s.maxRunning())
	switch {
	case gap > target:
		s.runningLimit = max(min(running, float64(len(s.reservations)))*runningLimitDecrease, minRunningLimit)
	case gap < target*9/10 && float64(len(s.reservations)) > running/2:
		s.runningLimit = min(running+runningLimitIncrease, maxRunningLimit)
	}
}
