package pass

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
)

// tokensPerContextUnit is the number of context tokens that catalog.EngineParams.StepPerContext is given for.
const tokensPerContextUnit = 1000

// Prefill is the prefill of a prompt or of a prefill part of one.
type Prefill struct {
	ID     string        // of the request
	Tokens int           // prompt tokens that remain to be prefilled
	Time   time.Duration // remaining prefill time if the engine does nothing else and runs at its rated speed
	Part   bool          // a prefill part for a request that decodes at another engine
}

// Forecast is the forecast for a prompt that arrives at an engine now.
type Forecast struct {
	NextPass    time.Time     // when the current pass ends and the next one can begin; now if no pass is in progress
	QueuedParts time.Duration // queued prefill time of parts for requests that decode at other engines
	QueuedOwn   time.Duration // queued prefill time of prompts of this engine's own requests
}

// Model predicts the state of one engine from the prefills, first events and removals reported to it. The times given
// to its methods must not decrease.
type Model struct {
	Engine   *catalog.EngineParams
	Slowdown float64 // ratio of actual to rated time; above 1 for an engine that has just started

	decoding      map[string]int // context tokens that each decoding request adds to a decode step, by request id
	splitDecoding int            // number of decoding requests whose prompt is split over several engines
	context       int            // context tokens of all decoding requests
	partQueue     []Prefill      // prefill parts for requests of other engines
	ownQueue      []Prefill      // prompts of this engine's own requests
	passPrefills  []Prefill      // prefills that the model completes in the current pass
	passBegan     time.Time      // when the current pass began
	passes        int            // number of passes begun while some request decoded
	// Time up to which the model has run the engine. While some request decodes, that is the end of the current pass.
	// Otherwise, it is the time up to which the prefill that the engine has done is subtracted from the queues.
	simulatedUntil time.Time
}

// NewModel returns the model of an idle engine that runs at its rated speed.
func NewModel(engine *catalog.EngineParams) *Model {
	return &Model{Engine: engine, Slowdown: 1, decoding: make(map[string]int)}
}

// PrefillTime returns how long an engine at its rated speed takes to prefill its part of a prompt of the given number
// of tokens that is split evenly into the given number of parts.
func PrefillTime(engine *catalog.EngineParams, tokens, parts int) time.Duration {
	t := float64(tokens)
	linear := t / engine.PrefillRate * float64(time.Second)
	attention := t * t / 2 / 1e6 * float64(engine.AttentionTime)
	return time.Duration((linear + attention) / float64(parts))
}

// PrefillsInPass reports whether the current pass completes the prefill of the prompt, or the part, of request id. It
// is false while no request decodes.
func (m *Model) PrefillsInPass(id string) bool {
	return len(m.decoding) > 0 && slices.ContainsFunc(m.passPrefills, func(p Prefill) bool { return p.ID == id })
}

// Passes returns how many passes with decoding requests the engine has begun. Each decoding request makes one event in
// each of them.
func (m *Model) Passes() int { return m.passes }

// DecodingRequests returns the number of decoding requests.
func (m *Model) DecodingRequests() int { return len(m.decoding) }

// DecodeTime returns how long the decode steps of a pass take, without prefill, if extra more requests with context
// tokens together decode. It returns 0 if no request would decode. All present callers pass 0, 0, for the requests that
// decode now.
func (m *Model) DecodeTime(extra, context int) time.Duration {
	decoding := len(m.decoding) + extra
	if decoding == 0 {
		return 0
	}
	e := m.Engine
	step := e.Step + time.Duration(decoding)*e.StepPerRequest +
		time.Duration(float64(e.StepPerContext)*float64(m.context+context)/tokensPerContextUnit) +
		time.Duration(m.splitDecoding)*e.StepPerSplit
	return m.scaled(step * time.Duration(e.PassSteps))
}

// Forecast returns the forecast for a prompt that arrives at now.
func (m *Model) Forecast(now time.Time) Forecast {
	m.Advance(now)
	f := Forecast{NextPass: now, QueuedParts: m.scaled(totalTime(m.partQueue)), QueuedOwn: m.scaled(totalTime(m.ownQueue))}
	if m.simulatedUntil.After(now) {
		f.NextPass = m.simulatedUntil
	}
	return f
}

// AddPrefill queues a prefill that arrives at now.
func (m *Model) AddPrefill(now time.Time, p Prefill) {
	m.Advance(now)
	if p.Part {
		m.partQueue = append(m.partQueue, p)
		return
	}
	m.ownQueue = append(m.ownQueue, p)
}

// StartDecoding records that request id, with the given number of context tokens, has made its first event at now and
// decodes from now on. The event shows that a pass has ended, so the model begins a new pass at now. The argument split
// says that the request's prompt is split over several engines.
func (m *Model) StartDecoding(now time.Time, id string, context int, split bool) {
	m.Advance(now)
	m.removePrefills(id)
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

// requeue puts back the prefills of the pass that ended at now that nothing confirms yet: prompts of this engine's own
// requests, each until its first event is reported, and parts if the pass was shorter than half their prefill time. The
// first events of one pass are reported one after another, so a prompt may be put back and removed right afterward.
func (m *Model) requeue(now time.Time) {
	var parts, own []Prefill
	for _, p := range m.passPrefills {
		switch {
		case !p.Part:
			own = append(own, p)
		case now.Sub(m.passBegan) < m.scaled(p.Time)/2:
			parts = append(parts, p)
		}
	}
	m.passPrefills = nil
	m.partQueue = append(parts, m.partQueue...)
	m.ownQueue = append(own, m.ownQueue...)
}

// Remove removes request id, whether it is queued, in prefill or decoding. The argument split says that its prompt is
// split over several engines.
func (m *Model) Remove(now time.Time, id string, split bool) {
	m.Advance(now)
	m.removePrefills(id)
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
		if elapsed := now.Sub(m.simulatedUntil); elapsed > 0 {
			m.prefill(time.Duration(float64(elapsed) / m.Slowdown))
			m.simulatedUntil = now
		}
		return
	}
	for !m.simulatedUntil.After(now) {
		m.beginPass(m.simulatedUntil)
	}
}

// beginPass starts a pass at the given time, while some request decodes, and moves as many queued prompt tokens into it
// as one pass prefills at most.
func (m *Model) beginPass(at time.Time) {
	capacity := m.Engine.PassSteps * m.Engine.ChunkTokens
	m.passPrefills = m.passPrefills[:0]
	m.passBegan = at
	m.passes++
	prefillTime := m.takeTokens(&m.partQueue, &capacity)
	prefillTime += m.takeTokens(&m.ownQueue, &capacity)
	m.simulatedUntil = at.Add(max(m.DecodeTime(0, 0)+m.scaled(prefillTime), time.Millisecond))
}

// prefill removes d of prefill time from the queues, parts first. It applies while no request decodes.
func (m *Model) prefill(d time.Duration) {
	for _, queue := range []*[]Prefill{&m.partQueue, &m.ownQueue} {
		for d > 0 && len(*queue) > 0 {
			p := &(*queue)[0]
			if p.Time > d {
				p.Tokens -= int(float64(p.Tokens) * float64(d) / float64(p.Time))
				p.Time -= d
				return
			}
			d -= p.Time
			*queue = (*queue)[1:]
		}
	}
}

// takeTokens removes up to capacity tokens from queue, subtracts them from capacity and returns their prefill time. It
// adds the prefills that it removes entirely to passPrefills.
func (m *Model) takeTokens(queue *[]Prefill, capacity *int) time.Duration {
	var prefillTime time.Duration
	for len(*queue) > 0 && *capacity > 0 {
		p := &(*queue)[0]
		if p.Tokens > *capacity {
			taken := time.Duration(float64(p.Time) * float64(*capacity) / float64(p.Tokens))
			p.Tokens -= *capacity
			p.Time -= taken
			*capacity = 0
			return prefillTime + taken
		}
		*capacity -= p.Tokens
		prefillTime += p.Time
		m.passPrefills = append(m.passPrefills, *p)
		*queue = (*queue)[1:]
	}
	return prefillTime
}

// removePrefills removes the prefills of request id from the queues and from the current pass.
func (m *Model) removePrefills(id string) {
	isRequest := func(p Prefill) bool { return p.ID == id }
	m.partQueue = slices.DeleteFunc(m.partQueue, isRequest)
	m.passPrefills = slices.DeleteFunc(m.passPrefills, isRequest)
	m.ownQueue = slices.DeleteFunc(m.ownQueue, isRequest)
}

// scaled converts a time at the rated speed to a time at the speed that Slowdown gives.
func (m *Model) scaled(d time.Duration) time.Duration { return time.Duration(float64(d) * m.Slowdown) }

func totalTime(prefills []Prefill) time.Duration {
	var sum time.Duration
	for i := range prefills {
		sum += prefills[i].Time
	}
	return sum
}
