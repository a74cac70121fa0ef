package grant

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// First bound on concurrent grants, and how it moves with the reported time between tokens.
const (
	firstRunning  = 24.0
	leastRunning  = 4.0
	mostRunning   = 512.0
	runningGrowth = 2.0
	runningCut    = 0.9
)

// headroomPercent is the part of the memory that long prompts leave to the others, unless one needs more.
const headroomPercent = 15

// Report takes in the engine's own report.
func (s *Scheduler) Report(now time.Time, load engineapi.Load) []Decision {
	s.advance(now)
	s.revision++
	if load.Epoch != s.load.Epoch {
		s.cache.clear()
	}
	s.load = load
	s.reported = now.Add(-time.Duration(load.AgeMS) * time.Millisecond)
	s.forget()
	s.memo = memo{}
	s.cache.resize(s.blockCapacity())
	s.adaptRunning()
	if load.Leaving {
		return s.refuseAll(protocol.RefusalLeaving)
	}
	return s.drain(now, nil)
}

// bytes is the memory to reserve for prompt and output of an ask.
func (s *Scheduler) bytes(ask protocol.Ask) int64 {
	if ask.Bytes > 0 {
		return ask.Bytes
	}
	per := s.load.KVBytesPerToken
	if per <= 0 {
		per = assumedKVBytes
	}
	return (ask.PromptTokens + ask.OutputTokens) * per
}

// used is the memory that counts as taken: what the grants reserve, or what the engine reported as held
// with the changes since then, whichever is more.
func (s *Scheduler) used() int64 {
	if s.memo.valid {
		return s.memo.used
	}
	reported := s.load.HeldBytes
	for _, f := range s.freed {
		reported -= f.bytes
	}
	for _, r := range s.held {
		if r.granted.After(s.reported) {
			reported += r.bytes
		}
	}
	s.memo.used, s.memo.valid = max(s.reserved, reported), true
	return s.memo.used
}

// forget drops the releases that the last report already shows.
func (s *Scheduler) forget() {
	kept := s.freed[:0]
	for _, f := range s.freed {
		if f.at.After(s.reported) {
			kept = append(kept, f)
		}
	}
	s.freed = kept
}

// mayStart reports whether memory and the bound on concurrent grants allow an ask to start.
func (s *Scheduler) mayStart(w *waiter) bool {
	if s.reported.IsZero() {
		return false
	}
	if s.noMemory {
		return true
	}
	if len(s.held) >= s.maxRunning() || s.used()+w.bytes > s.load.MemoryBytes {
		return false
	}
	return w.ask.PromptTokens <= middleStep || s.heldAbove+w.bytes <= s.load.MemoryBytes-s.headroom(w)
}

// headroom is the memory that prompts above middleStep leave to the others.
func (s *Scheduler) headroom(w *waiter) int64 {
	return min(s.load.MemoryBytes*headroomPercent/100, max(s.load.MemoryBytes-w.bytes, 0))
}

// heldBelow is the memory that prompts up to middleStep hold.
func (s *Scheduler) heldBelow() int64 { return s.reserved - s.heldAbove }

func (s *Scheduler) maxRunning() int {
	if s.MaxRunning > 0 {
		return s.MaxRunning
	}
	if s.limit == 0 {
		s.limit = firstRunning
	}
	return int(s.limit)
}

// adaptRunning moves the bound on concurrent grants towards the one that keeps the time between tokens.
func (s *Scheduler) adaptRunning() {
	gap := seconds(s.gap(s.cost("")))
	target := orDefault(s.TokenGap, DefaultTokenGap)
	running := float64(s.maxRunning())
	switch {
	case gap > target:
		s.limit = max(min(running, float64(len(s.held)))*runningCut, leastRunning)
	case gap < target*9/10 && float64(len(s.held)) > running/2:
		s.limit = min(running+runningGrowth, mostRunning)
	}
}
