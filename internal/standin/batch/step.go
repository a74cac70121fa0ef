package batch

import (
	"slices"
	"time"
)

// sequence is a job with its progress.
type sequence struct {
	Job
	alloc   *allocation
	arrival uint64
	pinned  int   // leading blocks that it holds in the prefix cache
	done    int64 // prompt tokens that need no more prefill
	output  int64 // output tokens sent
	chunk   int64 // prefill tokens in the current step
	ready   bool  // a prefill-only job that waits for its export
}

func (s *sequence) prefilling() bool { return s.done < s.PromptTokens }

// before orders sequences by priority, then by arrival.
func (s *sequence) before(t *sequence) bool {
	if s.Priority != t.Priority {
		return s.Priority > t.Priority
	}
	return s.arrival < t.arrival
}

// step is the work between two points at which sequences join or leave the batch.
type step struct {
	start time.Time
	end   time.Time // zero while the engine is idle
	each  time.Duration
	count int64
}

func insert(list []*sequence, s *sequence) []*sequence {
	i, _ := slices.BinarySearchFunc(list, s, func(a, b *sequence) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return slices.Insert(list, i, s)
}

func remove(list []*sequence, s *sequence) []*sequence {
	if i := slices.Index(list, s); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// interrupt ends a run of several steps at the next whole step, so that newcomers need not wait for its end.
func (e *Engine) interrupt(now time.Time) {
	if e.step.end.IsZero() {
		e.startStep(now)
		return
	}
	if e.step.count <= 1 {
		return
	}
	whole := min(int64(now.Sub(e.step.start)/e.step.each), e.step.count-1)
	if whole > 0 {
		at := e.step.start.Add(time.Duration(whole) * e.step.each)
		e.finishSteps(whole, at)
		e.step.start = at
	}
	e.step.count = 1
	e.step.end = e.step.start.Add(e.step.each)
}

// resume starts a step when an idle engine may have got memory for a waiting job.
func (e *Engine) resume(now time.Time) {
	if e.step.end.IsZero() {
		e.startStep(now)
	}
}

// startStep admits waiting jobs and begins the next step, or leaves the engine idle.
func (e *Engine) startStep(now time.Time) {
	e.admit(now)
	e.step = step{}
	budget := e.ChunkTokens
	var prefill int64
	remaining := int64(-1)
	for _, s := range e.running {
		if !s.prefilling() {
			if left := s.OutputTokens - s.output; remaining < 0 || left < remaining {
				remaining = left
			}
			continue
		}
		s.chunk = min(budget, s.PromptTokens-s.done)
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
		if e.MaxSteps > 0 {
			count = min(count, int64(e.MaxSteps))
		}
	}
	e.step = step{start: now, end: now.Add(time.Duration(count) * each), each: each, count: count}
}

// decodeTime is the time of a step without its prefill.
func (e *Engine) decodeTime() time.Duration {
	var sequences, context int64
	for _, s := range e.running {
		if !s.prefilling() {
			sequences++
			context += s.PromptTokens + s.output
		}
	}
	return e.StepTime + time.Duration(sequences)*e.SequenceTime +
		time.Duration(context)*e.ContextTime/contextUnitTokens
}

// finishSteps applies count steps of the current batch that end at the given time.
func (e *Engine) finishSteps(count int64, at time.Time) {
	ended := false
	for _, s := range e.running {
		switch {
		case s.chunk > 0:
			s.done += s.chunk
			s.chunk = 0
			e.storeBlocks(s, at)
			if !s.prefilling() {
				ended = e.finishPrefill(s, at) || ended
			}
		case !s.prefilling():
			ended = e.decode(s, min(count, s.OutputTokens-s.output), at) || ended
		}
	}
	if ended {
		e.removeEnded()
	}
}

// finishPrefill sends the first token; it reports whether the sequence has ended.
func (e *Engine) finishPrefill(s *sequence, at time.Time) bool {
	if s.PrefillOnly || s.OutputTokens == 0 {
		s.ready = s.PrefillOnly
		e.emit(Event{Kind: EventEnd, At: at, ID: s.ID})
		return true
	}
	return e.decode(s, 1, at)
}

// decode sends tokens of a sequence; it reports whether the sequence has ended.
func (e *Engine) decode(s *sequence, tokens int64, at time.Time) bool {
	kind := EventTokens
	if s.output == 0 {
		kind = EventFirst
	}
	if kind == EventFirst || e.Progress {
		e.emit(Event{Kind: kind, At: at, ID: s.ID, Offset: s.output, Tokens: tokens})
	}
	s.output += tokens
	if s.output < s.OutputTokens {
		return false
	}
	e.emit(Event{Kind: EventEnd, At: at, ID: s.ID, Offset: s.output})
	return true
}

// removeEnded takes ended sequences out of the batch and frees all but what waits for an export.
func (e *Engine) removeEnded() {
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		if !s.ended() {
			return false
		}
		if !s.ready {
			e.drop(s.alloc)
		}
		return true
	})
}

// admit gives memory to waiting jobs in order, until the first one that does not fit.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.MaxRunning {
		s := e.waiting[0]
		if !e.assign(s, now) {
			return
		}
		e.waiting = slices.Delete(e.waiting, 0, 1)
		e.running = insert(e.running, s)
		e.emit(Event{Kind: EventStarted, At: now, ID: s.ID, Cached: int64(s.pinned) * e.BlockTokens})
	}
}

func (e *Engine) emit(ev Event) { e.events = append(e.events, ev) }
