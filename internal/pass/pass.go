package pass

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
)

const tokensPerContextUnit = 1000

// Read is the reading of a prompt or of a part of one.
type Read struct {
	ID     string
	Tokens int
	Time   time.Duration // of reading it alone at the engine's rated speed
	Part   bool          // for a request that writes at another engine
}

// Outlook is what a prompt that arrives now finds at an engine.
type Outlook struct {
	Begin time.Time     // when the next pass begins
	Parts time.Duration // of reading that waits for other engines' requests
	Own   time.Duration // of reading that waits for this engine's requests
}

// Model follows one engine. Times passed to its methods must not go back.
type Model struct {
	Engine *catalog.Engine
	Pace   float64 // how many times slower than rated; 1 is as rated

	writers map[string]int // context tokens that each writer adds to a step
	hops    int            // writers whose prompt several engines hold
	context int
	parts   []Read
	own     []Read
	reading []Read // in the pass under way
	began   time.Time
	passes  int
	// While some request writes: the end of the pass under way. Else: until when reading has been reckoned.
	clock time.Time
}

// NewModel makes the model of an idle engine.
func NewModel(engine *catalog.Engine) *Model {
	return &Model{Engine: engine, Pace: 1, writers: make(map[string]int)}
}

// ReadTime returns how long an engine takes to read one of parts even parts of a prompt.
func ReadTime(engine *catalog.Engine, tokens, parts int) time.Duration {
	t := float64(tokens)
	linear := t / engine.ReadRate * float64(time.Second)
	pairs := t * t / 2 / 1e6 * float64(engine.PairsTime)
	return time.Duration((linear + pairs) / float64(parts))
}

// Reads tells whether the pass under way reads the prompt, or the part, of request id.
func (m *Model) Reads(id string) bool {
	return len(m.writers) > 0 && slices.ContainsFunc(m.reading, func(r Read) bool { return r.ID == id })
}

// Passes returns how many passes with writers the engine has begun; each writer makes an event in each.
func (m *Model) Passes() int { return m.passes }

// Writers returns how many requests write.
func (m *Model) Writers() int { return len(m.writers) }

// Steps returns how long a pass takes without reading, with extra more writers of context tokens together.
func (m *Model) Steps(extra, context int) time.Duration {
	writers := len(m.writers) + extra
	if writers == 0 {
		return 0
	}
	e := m.Engine
	step := e.Step + time.Duration(writers)*e.StepWriter +
		time.Duration(float64(e.StepContext)*float64(m.context+context)/tokensPerContextUnit) +
		time.Duration(m.hops)*e.StepHop
	return m.paced(step * time.Duration(e.PassSteps))
}

// Outlook returns what a prompt that arrives now finds.
func (m *Model) Outlook(now time.Time) Outlook {
	m.Advance(now)
	o := Outlook{Begin: now, Parts: m.paced(total(m.parts)), Own: m.paced(total(m.own))}
	if m.clock.After(now) {
		o.Begin = m.clock
	}
	return o
}

// Join adds a read that arrives now.
func (m *Model) Join(now time.Time, r Read) {
	m.Advance(now)
	if r.Part {
		m.parts = append(m.parts, r)
		return
	}
	m.own = append(m.own, r)
}

// Write notes that request id, with context tokens, has made its first event at now, and so that a pass ended.
func (m *Model) Write(now time.Time, id string, context int, joint bool) {
	m.Advance(now)
	m.drop(id)
	if _, ok := m.writers[id]; !ok {
		m.writers[id] = context
		m.context += context
		if joint {
			m.hops++
		}
	}
	m.restore(now)
	m.begin(now)
}

// restore puts back what the pass that ends at now can't have read: prompts of this engine's own, since their first
// events would have come, and parts that would have taken longer.
func (m *Model) restore(now time.Time) {
	var parts, own []Read
	for _, r := range m.reading {
		switch {
		case !r.Part:
			own = append(own, r)
		case now.Sub(m.began) < m.paced(r.Time)/2:
			parts = append(parts, r)
		}
	}
	m.reading = nil
	m.parts = append(parts, m.parts...)
	m.own = append(own, m.own...)
}

// Leave removes request id in whatever state it is.
func (m *Model) Leave(now time.Time, id string, joint bool) {
	m.Advance(now)
	m.drop(id)
	context, ok := m.writers[id]
	if !ok {
		return
	}
	delete(m.writers, id)
	m.context -= context
	if joint {
		m.hops--
	}
}

// Advance brings the model to now.
func (m *Model) Advance(now time.Time) {
	if len(m.writers) == 0 {
		if passed := now.Sub(m.clock); passed > 0 {
			m.read(time.Duration(float64(passed) / m.Pace))
			m.clock = now
		}
		return
	}
	for !m.clock.After(now) {
		m.begin(m.clock)
	}
}

// begin starts a pass with writers.
func (m *Model) begin(at time.Time) {
	capacity := m.Engine.PassSteps * m.Engine.ChunkTokens
	m.reading = m.reading[:0]
	m.began = at
	m.passes++
	reading := m.takeTokens(&m.parts, &capacity)
	reading += m.takeTokens(&m.own, &capacity)
	m.clock = at.Add(max(m.Steps(0, 0)+m.paced(reading), time.Millisecond))
}

// read takes d of reading, parts first.
func (m *Model) read(d time.Duration) {
	for _, queue := range []*[]Read{&m.parts, &m.own} {
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

// takeTokens removes up to capacity tokens of reading from queue and returns its time.
func (m *Model) takeTokens(queue *[]Read, capacity *int) time.Duration {
	var reading time.Duration
	for len(*queue) > 0 && *capacity > 0 {
		r := &(*queue)[0]
		if r.Tokens > *capacity {
			part := time.Duration(float64(r.Time) * float64(*capacity) / float64(r.Tokens))
			r.Tokens -= *capacity
			r.Time -= part
			*capacity = 0
			return reading + part
		}
		*capacity -= r.Tokens
		reading += r.Time
		m.reading = append(m.reading, *r)
		*queue = (*queue)[1:]
	}
	return reading
}

func (m *Model) drop(id string) {
	same := func(r Read) bool { return r.ID == id }
	m.parts = slices.DeleteFunc(m.parts, same)
	m.reading = slices.DeleteFunc(m.reading, same)
	m.own = slices.DeleteFunc(m.own, same)
}

func (m *Model) paced(d time.Duration) time.Duration { return time.Duration(float64(d) * m.Pace) }

func total(reads []Read) time.Duration {
	var sum time.Duration
	for i := range reads {
		sum += reads[i].Time
	}
	return sum
}
