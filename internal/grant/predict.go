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

// priority is what the engine orders prefills by.
func (s *Scheduler) priority(now time.Time, w *waiter) int {
	return s.item(w).Current(now)
}

// basePriority puts the class first, then the shorter prompt.
func (s *Scheduler) basePriority(ask protocol.Ask) int {
	p := (int(protocol.ClassBatch) - int(min(ask.Class, protocol.ClassBatch))) * queue.ClassStep
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
func (s *Scheduler) ahead(priority int) time.Duration {
	var wait time.Duration
	for _, r := range s.held {
		if r.prefilling && r.left > 0 && r.grant.Priority >= priority {
			wait += seconds(r.left / s.rate(r.ask.Model))
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
	line := s.line(now)
	s.queue.Before(now, it, func(other queue.Item) { line.pass(s.waiting[other.ID]) })
	return line.wait(now, w)
}

// line works out the waits of asks that start one after the other.
type line struct {
	s     *Scheduler
	hole  hole
	free  int64         // bytes
	fit   time.Duration // prefill of the asks before that have room
	whole time.Duration // prefill of all asks before
}

func (s *Scheduler) line(now time.Time) *line {
	return &line{s: s, hole: s.hole(now), free: s.load.MemoryBytes - s.used()}
}

// pass puts an ask before those that follow.
func (l *line) pass(w *waiter) {
	need := l.s.prefill(w.ask)
	l.whole += need
	if w.bytes <= l.free {
		l.free -= w.bytes
		l.fit += need
	}
}

// wait is the predicted time until an ask behind those that have passed could start.
// Asks that wait for room don't keep the engine from one that has it.
func (l *line) wait(now time.Time, w *waiter) time.Duration {
	if l.s.reported.IsZero() {
		return 0
	}
	before := l.fit
	if w.bytes > l.free {
		before = l.whole
	}
	ahead := l.s.ahead(l.s.priority(now, w)) + before
	return max(l.s.stretch(w.ask, ahead), l.s.waitRoom(now, w, l.hole))
}

// stretch adds to a long wait what prompts of higher priority that are still to come will take of it.
func (s *Scheduler) stretch(ask protocol.Ask, wait time.Duration) time.Duration {
	if s.basePriority(ask)%queue.AgedStep >= middlePriority {
		return wait
	}
	return seconds(wait.Seconds() / (1 - min(s.demand.urgent/s.rate(ask.Model), mostUrgent)))
}

// mostUrgent bounds the part of the engine that prompts of higher priority are expected to take.
const mostUrgent = 0.8

// end is the predicted end of a grant. One that has outlived the prediction is expected to go on for a while.
func (s *Scheduler) end(now time.Time, r *reservation) time.Time {
	first := now
	switch {
	case r.ask.Bytes > 0:
		// The other members of a spread prompt do their parts before or after this one.
		first = r.granted.Add(spreadParts * s.prefill(r.ask))
	case r.prefilling:
		first = now.Add(seconds(r.left / s.rate(r.ask.Model)))
	case r.expected.After(r.granted):
		first = r.expected
	}
	end := first.Add(s.decode(r.ask))
	if end.Before(now) {
		end = now.Add(now.Sub(r.granted) / 4)
	}
	if end.After(r.expires) {
		return r.expires
	}
	return end
}

// spreadParts is the number of parts of a spread prompt that a member is expected to hold memory for.
const spreadParts = 3

// prefill is the predicted time that the engine spends on the prompt.
func (s *Scheduler) prefill(ask protocol.Ask) time.Duration {
	return seconds(float64(max(ask.PromptTokens-s.cached(ask), 0)) / s.rate(ask.Model))
}

// decode is the predicted time from the first token to the last.
func (s *Scheduler) decode(ask protocol.Ask) time.Duration {
	c := s.cost(ask.Model)
	return seconds(float64(ask.OutputTokens) * c.output * s.gap(c))
}

// gap is the expected time in seconds between output tokens.
func (s *Scheduler) gap(c *cost) float64 {
	switch {
	case c.gap > 0:
		return c.gap
	case s.load.DecodePerSecond > 0:
		return 1 / s.load.DecodePerSecond
	}
	return 1 / assumedDecode
}

// service is the time from start to the last token that nearly all asks of this kind keep.
// It is 0 before the engine's first report, so that nothing is refused by a guess.
func (s *Scheduler) service(ask protocol.Ask) time.Duration {
	if s.reported.IsZero() {
		return 0
	}
	c := s.cost(ask.Model)
	return s.prefill(ask) + seconds(float64(ask.OutputTokens)*c.tail*s.gap(c))
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
