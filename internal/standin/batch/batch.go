package batch

import (
	"container/heap"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Defaults of the fields of Engine.
const (
	DefaultPrefillPerSecond = 40_000.0
	DefaultStepTime         = 12 * time.Millisecond
	DefaultSequenceTime     = 100 * time.Microsecond
	DefaultContextTime      = 40 * time.Microsecond
	DefaultChunkTokens      = 2048
	DefaultBlockTokens      = 1024
	DefaultKVBytesPerToken  = 128 << 10
	DefaultMemoryTokens     = 400_000
	DefaultMaxRunning       = 256
	DefaultMaxQueued        = 1024
)

const contextUnitTokens = 1000

// The kinds of events.
const (
	EventStarted EventKind = iota // memory is assigned and Cached tokens need no prefill
	EventFirst                    // the first output token
	EventTokens                   // further output tokens, only with Engine.Progress
	EventEnd                      // the last token was sent, or a prefill-only job is ready for export
	EventExpired                  // the allocation's expiry passed and its memory is free
	EventStored                   // the prefix cache holds Block
	EventEvicted                  // the prefix cache lost Block
)

type (
	// EventKind tells what an Event reports.
	EventKind uint8

	// Event is one change of an engine; Offset counts the output tokens before Tokens.
	Event struct {
		Kind   EventKind
		At     time.Time
		ID     string
		Offset int64
		Tokens int64
		Cached int64
		Block  uint64
	}

	// Job is one prompt to run; a zero Expiry never passes.
	Job struct {
		ID           string
		PromptTokens int64
		OutputTokens int64
		Blocks       []uint64
		Priority     int // higher runs first
		Expiry       time.Time
		Reservation  string // id of a reservation that the job's memory replaces
		Imported     int64  // leading prompt tokens whose KV memory is on other engines
		PrefillOnly  bool
	}
)

// Engine simulates one model engine; zero fields take the package's defaults.
type Engine struct {
	PrefillPerSecond float64
	StepTime         time.Duration // of each batch step
	SequenceTime     time.Duration // added to a step for each decoding sequence
	ContextTime      time.Duration // added to a step for each 1,000 tokens of context of decoding sequences
	ChunkTokens      int64         // prefill tokens in one step
	BlockTokens      int64         // prompt tokens in one block of the prefix cache
	KVBytesPerToken  int64
	MemoryBytes      int64
	MaxRunning       int
	MaxQueued        int
	MaxSteps         int  // decode steps that one event may sum up; 0 sets no bound
	Progress         bool // report EventTokens

	ready    bool
	waiting  []*sequence
	running  []*sequence
	owned    map[string]*allocation
	expiries expiryHeap
	cache    cache
	held     int64 // tokens of all allocations outside the prefix cache
	arrivals uint64
	step     step
	events   []Event
	returned []Event
}

func (e *Engine) init() {
	if e.ready {
		return
	}
	e.ready = true
	e.owned = make(map[string]*allocation)
	e.cache.init()
	setDefault(&e.ChunkTokens, DefaultChunkTokens)
	setDefault(&e.BlockTokens, DefaultBlockTokens)
	setDefault(&e.KVBytesPerToken, DefaultKVBytesPerToken)
	setDefault(&e.MemoryBytes, DefaultMemoryTokens*e.KVBytesPerToken)
	if e.PrefillPerSecond == 0 {
		e.PrefillPerSecond = DefaultPrefillPerSecond
	}
	if e.StepTime == 0 {
		e.StepTime = DefaultStepTime
	}
	if e.SequenceTime == 0 {
		e.SequenceTime = DefaultSequenceTime
	}
	if e.ContextTime == 0 {
		e.ContextTime = DefaultContextTime
	}
	if e.MaxRunning == 0 {
		e.MaxRunning = DefaultMaxRunning
	}
	if e.MaxQueued == 0 {
		e.MaxQueued = DefaultMaxQueued
	}
}

func setDefault(field *int64, value int64) {
	if *field == 0 {
		*field = value
	}
}

// Submit queues a job, or returns an *Error with the refusal's kind when it will not run.
func (e *Engine) Submit(now time.Time, j Job) error {
	e.init()
	e.advance(now)
	if !j.valid() || e.owned[j.ID] != nil {
		return &Error{Op: "submit", Kind: engineapi.RefusalInvalid}
	}
	if j.Reservation != "" && e.owned[j.Reservation] == nil {
		return &Error{Op: "submit", Kind: engineapi.RefusalNotFound}
	}
	if j.PromptTokens-j.Imported+j.OutputTokens > e.capacityTokens() {
		return &Error{Op: "submit", Kind: engineapi.RefusalMemory}
	}
	if len(e.waiting) >= e.MaxQueued {
		return &Error{Op: "submit", Kind: engineapi.RefusalBusy}
	}
	e.arrivals++
	s := &sequence{Job: j, arrival: e.arrivals}
	a := &allocation{id: j.ID, kind: engineapi.KindSequence, expiry: j.Expiry, seq: s}
	s.alloc = a
	e.add(a)
	e.waiting = insert(e.waiting, s)
	e.interrupt(now)
	return nil
}

// valid requires something to prefill or to decode.
func (j *Job) valid() bool {
	if j.PrefillOnly {
		j.OutputTokens = 0
	}
	return j.ID != "" && j.OutputTokens >= 0 && j.Imported >= 0 && j.Imported <= j.PromptTokens &&
		j.PromptTokens-j.Imported+j.OutputTokens > 0
}

// Cancel ends a job and frees its memory; it returns the bytes freed, 0 for an unknown id.
func (e *Engine) Cancel(now time.Time, id string) int64 {
	return e.Release(now, id)
}

// Next returns when the next event is due; false means that nothing will happen without another call.
func (e *Engine) Next() (time.Time, bool) {
	if len(e.events) > 0 {
		return e.events[0].At, true
	}
	next := e.step.end
	if len(e.expiries) > 0 && (next.IsZero() || e.expiries[0].expiry.Before(next)) {
		next = e.expiries[0].expiry
	}
	return next, !next.IsZero()
}

// Advance moves the engine to now and returns the events up to then, which stay valid until the next call.
func (e *Engine) Advance(now time.Time) []Event {
	e.init()
	e.advance(now)
	out := e.events
	e.events, e.returned = e.returned[:0], out
	return out
}

// Load reports the engine's load as of the last call.
func (e *Engine) Load() engineapi.Load {
	e.init()
	var queued int64
	for _, s := range e.waiting {
		queued += s.PromptTokens - s.Imported
	}
	for _, s := range e.running {
		queued += s.PromptTokens - s.done
	}
	pinned := e.cache.pinned * e.BlockTokens
	return engineapi.Load{
		MemoryBytes:      e.MemoryBytes,
		HeldBytes:        (e.held + pinned) * e.KVBytesPerToken,
		CacheBytes:       (e.cache.tokens(e.BlockTokens) - pinned) * e.KVBytesPerToken,
		KVBytesPerToken:  e.KVBytesPerToken,
		Running:          len(e.running),
		QueuedTokens:     queued,
		PrefillPerSecond: e.PrefillPerSecond,
		DecodePerSecond:  float64(time.Second) / float64(e.decodeTime()),
	}
}

// Waiting returns the number of jobs that have no memory assigned yet.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Cached returns how many leading prompt tokens of blocks the prefix cache holds.
func (e *Engine) Cached(blocks []uint64) int64 {
	e.init()
	return int64(e.cache.match(blocks)) * e.BlockTokens
}

// advance runs the steps that end and the expiries that pass until now, in order of time.
func (e *Engine) advance(now time.Time) {
	for {
		expires := len(e.expiries) > 0 && !e.expiries[0].expiry.After(now)
		steps := !e.step.end.IsZero() && !e.step.end.After(now)
		switch {
		case expires && (!steps || !e.step.end.Before(e.expiries[0].expiry)):
			e.expire(heap.Pop(&e.expiries).(*allocation))
		case steps:
			at := e.step.end
			e.finishSteps(e.step.count, at)
			e.startStep(at)
		default:
			return
		}
	}
}
