package batch

import (
	"slices"
	"time"
)

// sequence is a job with its progress.
type sequence struct {
	Job
	alloc          *allocation
	arrival        uint64 // position of the job among all jobs queued so far
	pinnedBlocks   int    // leading prompt blocks that the sequence holds in the prefix cache
	prefilled      int64  // leading prompt tokens that need no more prefill
	decoded        int64  // output tokens sent
	chunk          int64  // prompt tokens that the current step prefills
	awaitingExport bool   // the sequence is a prefill-only job that has ended and waits for Engine.Export
}

// prefilling reports whether a part of the prompt still needs prefill.
func (s *sequence) prefilling() bool { return s.prefilled < s.PromptTokens }

// before reports whether s runs before t: the higher priority first, then the earlier arrival.
func (s *sequence) before(t *sequence) bool {
	if s.Priority != t.Priority {
		return s.Priority > t.Priority
	}
	return s.arrival < t.arrival
}

// stepRun is a run of steps of equal time. Sequences join the batch, or leave it at their end, only between two runs.
type stepRun struct {
	start    time.Time
	end      time.Time     // zero while the engine is idle
	stepTime time.Duration // time of one step
	count    int64         // number of steps; 1 if the run prefills
}

// insertOrdered inserts a sequence into a list that is ordered by before.
func insertOrdered(list []*sequence, s *sequence) []*sequence {
	i, _ := slices.BinarySearchFunc(list, s, func(a, b *sequence) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return slices.Insert(list, i, s)
}

// remove removes a sequence from a list; it returns the list unchanged if the sequence is not in it.
func remove(list []*sequence, s *sequence) []*sequence {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// interrupt shortens the current run of steps: the run then ends with the step that is in progress, so that a new job
// need not wait for the remaining steps. An idle engine starts a run.
func (e *Engine) interrupt(now time.Time) {
	if e.current.end.IsZero() {
		e.startSteps(now)
		return
	}
	if e.current.count <= 1 {
		return
	}
	completed := min(int64(now.Sub(e.current.start)/e.current.stepTime), e.current.count-1)
	if completed > 0 {
		at := e.current.start.Add(time.Duration(completed) * e.current.stepTime)
		e.finishSteps(completed, at)
		e.current.start = at
	}
	e.current.count = 1
	e.current.end = e.current.start.Add(e.current.stepTime)
}

// startIfIdle starts a run of steps if the engine is idle, as freed memory may let a waiting job run.
func (e *Engine) startIfIdle(now time.Time) {
	if e.current.end.IsZero() {
		e.startSteps(now)
	}
}

// startSteps admits waiting jobs and starts the next run of steps, or leaves the engine idle if the batch is empty. A
// run that prefills has one step. Otherwise the run lasts until the first sequence has all its output or, if
// MaxStepsPerEvent is set, for at most MaxStepsPerEvent steps.
func (e *Engine) startSteps(now time.Time) {
	e.admit(now)
	e.current = stepRun{}
	budget := e.ChunkTokens
	var prefill int64
	remaining := int64(-1)
	for _, s := range e.running {
		if !s.prefilling() {
			if left := s.OutputTokens - s.decoded; remaining < 0 || left < remaining {
				remaining = left
			}
			continue
		}
		s.chunk = min(budget, s.PromptTokens-s.prefilled)
		budget -= s.chunk
		prefill += s.chunk
	}
	if len(e.running) == 0 {
		return
	}
	each := e.decodeTime() + time.Duration(float64(prefill)/e.PrefillPerSecond*float64(time.Second))
	count := int64(1)
	if prefill == 0 {
		count = max(remaining, 1)
		if e.MaxStepsPerEvent > 0 {
			count = min(count, int64(e.MaxStepsPerEvent))
		}
	}
	e.current = stepRun{start: now, end: now.Add(time.Duration(count) * each), stepTime: each, count: count}
}

// decodeTime returns the time of a step without its prefill.
func (e *Engine) decodeTime() time.Duration {
	var sequences, context int64
	for _, s := range e.running {
		if !s.prefilling() {
			sequences++
			context += s.PromptTokens + s.decoded
		}
	}
	return e.StepTime + time.Duration(sequences)*e.SequenceTime +
		time.Duration(context)*e.ContextTime/contextUnitTokens
}

// finishSteps applies count steps of the current run, the last of which ends at the given time.
func (e *Engine) finishSteps(count int64, at time.Time) {
	ended := false
	for _, s := range e.running {
		switch {
		case s.chunk > 0:
			s.prefilled += s.chunk
			s.chunk = 0
			e.storeBlocks(s, at)
			if !s.prefilling() {
				ended = e.finishPrefill(s, at) || ended
			}
		case !s.prefilling():
			ended = e.decode(s, min(count, s.OutputTokens-s.decoded), at) || ended
		}
	}
	if ended {
		e.removeEnded()
	}
}

// finishPrefill sends the first token of a sequence whose prompt is prefilled, or ends the sequence if it has no
// output. It reports whether the sequence has ended.
func (e *Engine) finishPrefill(s *sequence, at time.Time) bool {
	if s.PrefillOnly || s.OutputTokens == 0 {
		s.awaitingExport = s.PrefillOnly
		e.emit(Event{Kind: EventEnd, At: at, ID: s.ID})
		return true
	}
	return e.decode(s, 1, at)
}

// decode sends output tokens of a sequence. It reports whether the sequence has ended.
func (e *Engine) decode(s *sequence, tokens int64, at time.Time) bool {
	kind := EventTokens
	if s.decoded == 0 {
		kind = EventFirstToken
	}
	if kind == EventFirstToken || e.ReportTokens {
		e.emit(Event{Kind: kind, At: at, ID: s.ID, Offset: s.decoded, Tokens: tokens})
	}
	s.decoded += tokens
	if s.decoded < s.OutputTokens {
		return false
	}
	e.emit(Event{Kind: EventEnd, At: at, ID: s.ID, Offset: s.decoded})
	return true
}

// removeEnded removes ended sequences from the batch and frees their memory, except for those that wait for an export.
func (e *Engine) removeEnded() {
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if !s.ended() {
			return false
		}
		if !s.awaitingExport {
			e.free(s.alloc)
		}
		return true
	})
}

// admit moves waiting jobs into the batch, in order of priority and arrival, up to the first one for which there is not
// enough memory.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.MaxRunning {
		s := e.waiting[0]
		if !e.allocate(s, now) {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = insertOrdered(e.running, s)
		e.emit(Event{Kind: EventStarted, At: now, ID: s.ID, CachedTokens: int64(s.pinnedBlocks) * e.BlockTokens})
	}
}

// emit queues an event for Advance.
func (e *Engine) emit(ev Event) { e.events = append(e.events, ev) }
