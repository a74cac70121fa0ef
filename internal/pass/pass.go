package pass

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
)

// tokensPerContextUnit is the number of context tokens that catalog.Engine.StepContext is given for.
const tokensPerContextUnit = 1000

// Read is the prefill of a prompt or of a prefill part of one.
type Read struct {
	ID     string        // of the request
	Tokens int           // prompt tokens that remain to be prefilled
	Time   time.Duration // remaining prefill time if the engine does nothing else and runs at its rated speed
	Part   bool          // a prefill part for a request that decodes at another engine
}

// Outlook is the forecast for a prompt that arrives at an engine now.
type Outlook struct {
	Begin time.Time     // when the current pass ends and the next one can begin; now if no pass is in progress
	Parts time.Duration // queued prefill time of parts for requests that decode at other engines
	Own   time.Duration // queued prefill time of prompts of this engine's own requests
}

// Model predicts the state of one engine from the events that the caller reports. The times given to its methods must
// not decrease.
type Model struct {
	Engine *catalog.Engine
	Pace   float64 // slowdown: the ratio of actual to rated time; 1 is the rated speed

	decoding      map[string]int // context tokens that each decoding request adds to a decode step, by request id
	splitDecoding int            // number of decoding requests whose prompt is split over several engines
	context       int            // context tokens of all decoding requests
	partQueue     []Read         // prefill parts for requests of other engines
	ownQueue      []Read         // prompts of this engine's own requests
	passReads     []Read         // reads that the model completes in the current pass
	passBegan     time.Time      // when the current pass began
	passes        int            // number of passes begun while some request decoded
	// While some request decodes: the end of the current pass. Otherwise: the time up to which the prefill that the
	// engine has done is subtracted from the queues.
	clock time.Time
}

// NewModel returns the model of an idle engine that runs at its rated speed.
func NewModel(engine *catalog.Engine) *Model {
	return &Model{Engine: engine, Pace: 1, decoding: make(map[string]int)}
}

// ReadTime returns how long an engine at its rated speed takes to prefill its part of a prompt of the given number of
// tokens that is split evenly into the given number of parts.
func ReadTime(engine *catalog.Engine, tokens, parts int) time.Duration {
	t := float64(tokens)
	linear := t / engine.ReadRate * float64(time.Second)
	pairs := t * t / 2 / 1e6 * float64(engine.PairsTime)
	return time.Duration((linear + pairs) / float64(parts))
}

// Reads reports whether the current pass completes the prefill of the prompt, or the part, of request id. It is false
// while no request decodes.
func (m *Model) Reads(id string) bool {
	return len(m.decoding) > 0 && slices.ContainsFunc(m.passReads, func(r Read) bool { return r.ID == id })
}

// Passes returns how many passes with decoding requests the engine has begun. Each decoding request makes one event in
// each of them.
func (m *Model) Passes() int { return m.passes }

// Writers returns the number of decoding requests.
func (m *Model) Writers() int { return len(m.decoding) }

// Steps returns how long the decode steps of a pass take, without prefill, if extra more requests with context tokens
// together decode. It returns 0 if no request decodes.
func (m *Model) Steps(extra, context int) time.Duration {
	decoding := len(m.decoding) + extra
	if decoding == 0 {
		return 0
	}
	e := m.Engine
	step := e.Step + time.Duration(decoding)*e.StepWriter +
		time.Duration(float64(e.StepContext)*float64(m.context+context)/tokensPerContextUnit) +
		time.Duration(m.splitDecoding)*e.StepHop
	return m.scaled(step * time.Duration(e.PassSteps))
}

// Outlook returns the forecast for a prompt that arrives at now.
func (m *Model) Outlook(now time.Time) Outlook {
	m.Advance(now)
	o := Outlook{Begin: now, Parts: m.scaled(totalTime(m.partQueue)), Own: m.scaled(totalTime(m.ownQueue))}
	if m.clock.After(now) {
		o.Begin = m.clock
	}
	return o
}

// Join queues a read that arrives at now.
func (m *Model) Join(now time.Time, r Read) {
	m.Advance(now)
	if r.Part {
		m.partQueue = append(m.partQueue, r)
		return
	}
	m.ownQueue = append(m.ownQueue, r)
}

// Write records that request id, with the given number of context tokens, has made its first event at now and decodes
// from now on. The event shows that a pass has ended, so the model begins a new pass at now. The argument split says
// that the request's prompt is split over several engines.
func (m *Model) Write(now time.Time, id string, context int, split bool) {
	m.Advance(now)
	m.removeReads(id)
	if _, ok := m.decoding[id]; !ok {
		m.decoding[id] = context
		m.context += context
		if split {
			m.splitDecoding++
		}
	}
	m.requeue(now)
	m.beginPass(now)
}

// requeue puts back the reads that the pass that ended at now can't have completed: prompts of this engine's own
// requests, since their first events would have arrived, and parts if the pass was shorter than half their prefill
// time.
func (m *Model) requeue(now time.Time) {
	var parts, own []Read
	for _, r := range m.passReads {
		switch {
		case !r.Part:
			own = append(own, r)
		case now.Sub(m.passBegan) < m.scaled(r.Time)/2:
			parts = append(parts, r)
		}
	}
	m.passReads = nil
	m.partQueue = append(parts, m.partQueue...)
	m.ownQueue = append(own, m.ownQueue...)
}

// Leave removes request id, whether it is queued, in prefill or decoding. The argument split says that its prompt is
// split over several engines.
func (m *Model) Leave(now time.Time, id string, split bool) {
	m.Advance(now)
	m.removeReads(id)
	context, ok := m.decoding[id]
	if !ok {
		return
	}
	delete(m.decoding, id)
	m.context -= context
	if split {
		m.splitDecoding--
	}
}

// Advance moves the model forward to now, as if the engine ran exactly as predicted.
func (m *Model) Advance(now time.Time) {
	if len(m.decoding) == 0 {
		if elapsed := now.Sub(m.clock); elapsed > 0 {
			m.prefill(time.Duration(float64(elapsed) / m.Pace))
			m.clock = now
		}
		return
	}
	for !m.clock.After(now) {
		m.beginPass(m.clock)
	}
}

// beginPass starts a pass at the given time, while some request decodes, and moves as many queued prompt tokens into it
// as one pass prefills at most.
func (m *Model) beginPass(at time.Time) {
	capacity := m.Engine.PassSteps * m.Engine.ChunkTokens
	m.passReads = m.passReads[:0]
	m.passBegan = at
	m.passes++
	prefillTime := m.takeTokens(&m.partQueue, &capacity)
	prefillTime += m.takeTokens(&m.ownQueue, &capacity)
	m.clock = at.Add(max(m.Steps(0, 0)+m.scaled(prefillTime), time.Millisecond))
}

// prefill removes d of prefill time from the queues, parts first. It applies while no request decodes.
func (m *Model) prefill(d time.Duration) {
	for _, queue := range []*[]Read{&m.partQueue, &m.ownQueue} {
		for d > 0 && len(*queue) > 0 {
			r := &(*queue)[0]
			if r.Time > d {
				r.Tokens -= int(float64(r.Tokens) * float64(d) / float64(r.Time))
				r.Time -= d
				return
			}
			d -= r.Time
			*queue = (*queue)[1:]
		}
	}
}

// takeTokens removes up to capacity tokens from queue, subtracts them from capacity and returns their prefill time. It
// adds the reads that it removes entirely to passReads.
func (m *Model) takeTokens(queue *[]Read, capacity *int) time.Duration {
	var prefillTime time.Duration
	for len(*queue) > 0 && *capacity > 0 {
		r := &(*queue)[0]
		if r.Tokens > *capacity {
			part := time.Duration(float64(r.Time) * float64(*capacity) / float64(r.Tokens))
			r.Tokens -= *capacity
			r.Time -= part
			*capacity = 0
			return prefillTime + part
		}
		*capacity -= r.Tokens
		prefillTime += r.Time
		m.passReads = append(m.passReads, *r)
		*queue = (*queue)[1:]
	}
	return prefillTime
}

// removeReads removes the reads of request id from the queues and from the current pass.
func (m *Model) removeReads(id string) {
	isRequest := func(r Read) bool { return r.ID == id }
	m.partQueue = slices.DeleteFunc(m.partQueue, isRequest)
	m.passReads = slices.DeleteFunc(m.passReads, isRequest)
	m.ownQueue = slices.DeleteFunc(m.ownQueue, isRequest)
}

// scaled converts a time at the rated speed to a time at the engine's present speed.
func (m *Model) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * m.Pace) }

func totalTime(reads []Read) time.Duration {
	var sum time.Duration
	for i := range reads {
		sum += reads[i].Time
	}
	return sum
}
