package grant

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/queue"
)

// Upper bounds in tokens of the length steps; a shorter prompt has a higher priority.
const (
	shortStep  = 4_000
	middleStep = 32_000
)

const (
	shortPriority  = 3
	middlePriority = 2
	commonPriority = 1
	longPriority   = 0
)

// progress moves the predicted prefill of the held prompts to now, the highest priority first.
func (s *Scheduler) progress(now time.Time) {
	elapsed := now.Sub(s.clock).Seconds()
	if elapsed <= 0 {
		return
	}
	at := s.clock
	s.clock = now
	for _, r := range s.prefilling() {
		rate := s.rate(r.ask.Model)
		need := r.left / rate
		if need > elapsed {
			r.left -= elapsed * rate
			return
		}
		r.left = 0
		elapsed -= need
		at = at.Add(seconds(need))
		r.expected = at
	}
}

// prefilling returns the prompts that the engine still has to prefill in the order in which it takes them.
func (s *Scheduler) prefilling() []*reservation {
	var list []*reservation
	for _, r := range s.held {
		if r.prefilling && r.left > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *reservation) int {
		return cmp.Or(cmp.Compare(b.grant.Priority, a.grant.Priority), cmp.Compare(a.number, b.number))
	})
	return list
}

// priority is what the engine orders prefills by; it rises with each aging period.
func (s *Scheduler) priority(now time.Time, w *waiter) int {
	return s.basePriority(w.ask) + queue.AgingStep*s.item(w).Steps(now)
}

// basePriority puts the class first, then the shorter prompt.
func (s *Scheduler) basePriority(ask protocol.Ask) int {
	p := (int(protocol.ClassBatch) - int(min(ask.Class, protocol.ClassBatch))) * queue.AgingStep
	switch tokens := ask.PromptTokens; {
	case tokens <= shortStep:
		return p + shortPriority
	case tokens <= middleStep:
		return p + middlePriority
	case !s.long(tokens):
		return p + commonPriority
	default:
		return p + longPriority
	}
}

func (s *Scheduler) long(tokens int64) bool {
	if s.LongTokens > 0 {
		return tokens > s.LongTokens
	}
	return tokens > s.Weight.LongTokens()
}

// ahead is the predicted time that the engine spends on held prompts before one of the given priority.
// A prompt of lower priority that would miss its own time goes before it as well.
func (s *Scheduler) ahead(now time.Time, priority int) time.Duration {
	var wait time.Duration
	for _, r := range s.held {
		if !r.prefilling || r.left <= 0 {
			continue
		}
		need := seconds(r.left / s.rate(r.ask.Model))
		if r.grant.Priority >= priority || r.expires.Sub(now) < 2*need {
			wait += need
		}
	}
	return wait
}

// wait is the predicted time until a new ask could start.
func (s *Scheduler) wait(now time.Time, w *waiter) time.Duration {
	if s.reported.IsZero() {
		return max(s.started.Add(orDefault(s.Rebuild, DefaultRebuild)).Sub(now), 0)
	}
	return s.waitQueued(now, w, s.item(w))
}

// waitQueued is the predicted time until an ask could start whose place in the queue is that of it.
func (s *Scheduler) waitQueued(now time.Time, w *waiter, it queue.Item) time.Duration {
	wait := s.ahead(now, s.priority(now, w))
	for _, other := range s.queue.Items() {
		if other.ID != it.ID && !s.queue.Rank(now, it, other) {
			wait += s.prefill(s.waiting[other.ID].ask)
		}
	}
	return max(wait, s.waitRoom(now, w))
}

// end is the predicted end of a grant.
func (s *Scheduler) end(now time.Time, r *reservation) time.Time {
	first := now
	if r.prefilling {
		first = now.Add(seconds(r.left / s.rate(r.ask.Model)))
	} else if r.expected.After(r.granted) {
		first = r.expected
	}
	end := first.Add(s.decode(r.ask))
	if end.After(r.expires) {
		return r.expires
	}
	return end
}

// prefill is the predicted time that the engine spends on the prompt.
func (s *Scheduler) prefill(ask protocol.Ask) time.Duration {
	return seconds(float64(max(ask.PromptTokens-s.cached(ask), 0)) / s.rate(ask.Model))
}

// decode is the predicted time from the first token to the last.
func (s *Scheduler) decode(ask protocol.Ask) time.Duration {
	rate := s.load.DecodePerSecond
	if rate <= 0 {
		rate = assumedDecode
	}
	return seconds(float64(ask.OutputTokens) * s.cost(ask.Model).output / rate)
}

// service is the predicted time from start to the last token.
func (s *Scheduler) service(ask protocol.Ask) time.Duration {
	return s.prefill(ask) + s.decode(ask)
}

// rate is the predicted prefill rate in tokens per second.
func (s *Scheduler) rate(model string) float64 {
	rate := s.load.PrefillPerSecond
	if rate <= 0 {
		rate = assumedPrefill
	}
	return rate * s.cost(model).speed
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
