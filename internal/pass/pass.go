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
	Part   bool          // for a request that writes at another engine; read ahead of others
}

// Model follows the passes of one engine. Times passed to its methods must not go back.
type Model struct {
	Engine *catalog.Engine
	Pace   float64 // how many times slower than rated; 1 is as rated

	writers map[string]int // context tokens that each writer adds to a step
	hops    int            // writers whose prompt several engines hold
	context int
	reading []Read    // in the pass under way
	waiting []Read    // for the next pass
	end     time.Time // of the pass under way; zero if there is none
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

// NextPass returns when a pass that reads what arrives now would begin, and the reading that waits for it.
func (m *Model) NextPass(now time.Time) (begin time.Time, reading time.Duration) {
	m.Advance(now)
	if m.end.IsZero() {
		return now, 0
	}
	return m.end, m.paced(total(m.waiting))
}

// Join adds a read that arrives now.
func (m *Model) Join(now time.Time, r Read) {
	m.Advance(now)
	if m.end.IsZero() {
		m.waiting = append(m.waiting, r)
		m.begin(now)
		return
	}
	m.waiting = append(m.waiting, r)
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
	m.reading = m.reading[:0]
	m.end = time.Time{}
	m.begin(now)
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
	for !m.end.IsZero() && !m.end.After(now) {
		end := m.end
		m.end = time.Time{}
		m.reading = m.reading[:0]
		m.begin(end)
	}
}

// begin starts a pass at the given time if there is work for it.
func (m *Model) begin(at time.Time) {
	if len(m.writers) == 0 && len(m.waiting) == 0 {
		return
	}
	m.takeReads()
	duration := m.Steps(0, 0) + m.paced(total(m.reading))
	m.end = at.Add(max(duration, time.Millisecond))
}

// takeReads moves what one pass can read from waiting to reading, parts for other engines first.
func (m *Model) takeReads() {
	capacity := m.Engine.PassSteps * m.Engine.ChunkTokens
	slices.SortStableFunc(m.waiting, func(a, b Read) int {
		switch {
		case a.Part == b.Part:
			return 0
		case a.Part:
			return -1
		default:
			return 1
		}
	})
	for len(m.waiting) > 0 && capacity > 0 {
		r := &m.waiting[0]
		if r.Tokens <= capacity {
			capacity -= r.Tokens
			m.reading = append(m.reading, *r)
			m.waiting = m.waiting[1:]
			continue
		}
		done := *r
		done.Tokens = capacity
		done.Time = time.Duration(float64(r.Time) * float64(capacity) / float64(r.Tokens))
		r.Tokens -= done.Tokens
		r.Time -= done.Time
		m.reading = append(m.reading, done)
		return
	}
}

func (m *Model) drop(id string) {
	same := func(r Read) bool { return r.ID == id }
	m.reading = slices.DeleteFunc(m.reading, same)
	m.waiting = slices.DeleteFunc(m.waiting, same)
}

func (m *Model) paced(d time.Duration) time.Duration { return time.Duration(float64(d) * m.Pace) }

func total(reads []Read) time.Duration {
	var sum time.Duration
	for i := range reads {
		sum += reads[i].Time
	}
	return sum
}
