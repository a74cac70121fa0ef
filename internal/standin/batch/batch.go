package batch

import (
	"container/heap"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Defaults of the Engine fields; DefaultMemoryTokens gives the default of MemoryBytes in tokens of KV memory.
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

const contextUnitTokens = 1000 // number of context tokens to which Engine.ContextTime refers

// Event kinds.
const (
	EventStarted    EventKind = iota // the job has its memory; its first CachedTokens prompt tokens need no prefill
	EventFirstToken                  // first output token of the job
	EventTokens                      // further output tokens; reported only if Engine.ReportTokens is set
	EventEnd                         // the last output token was sent, or a prefill-only job is ready for Engine.Export
	EventExpired                     // the expiry of an allocation has passed and its memory is free
	EventStored                      // the prefix cache has stored Block
	EventEvicted                     // the prefix cache has evicted Block
)

type (
	// EventKind says what an Event reports.
	EventKind uint8

	// Event is one change of an engine's state; a field that does not apply to Kind is zero.
	Event struct {
		Kind         EventKind
		At           time.Time
		ID           string // id of the job or of the expired allocation
		Offset       int64  // output tokens of the job before Tokens
		Tokens       int64  // output tokens that the event reports
		CachedTokens int64  // leading prompt tokens found in the prefix cache
		Block        uint64 // hash of the prefix block
	}

	// Job is one prompt to run.
	Job struct {
		ID             string
		PromptTokens   int64     // length of the prompt, in tokens
		OutputTokens   int64     // length of the output, in tokens; ignored if PrefillOnly is set
		Blocks         []uint64  // hashes of the leading prompt blocks; see the package comment
		Priority       int       // jobs of a higher priority run first
		Expiry         time.Time // time at which the job ends and its memory is freed; a zero Expiry never passes
		Reservation    string    // id of a reservation whose memory the job takes over; empty if there is none
		ImportedTokens int64     // leading prompt tokens whose KV memory is on other engines
		PrefillOnly    bool      // the job prefills its prompt, decodes nothing and keeps its KV memory for Engine.Export
	}
)

// Engine simulates one model engine. A zero field takes the package's default; MaxStepsPerEvent and ReportTokens have
// none.
type Engine struct {
	PrefillPerSecond float64       // prefill rate, in prompt tokens per second
	StepTime         time.Duration // base time of each step
	SequenceTime     time.Duration // time added to a step for each decoding sequence
	ContextTime      time.Duration // time added to a step for each 1,000 context tokens of the decoding sequences
	ChunkTokens      int64         // prompt tokens prefilled in one step at most
	BlockTokens      int64         // prompt tokens in one block of the prefix cache
	KVBytesPerToken  int64         // KV memory of one token, in bytes
	MemoryBytes      int64         // KV memory of the engine, in bytes
	MaxRunning       int           // sequences in the batch at most
	MaxQueued        int           // jobs that wait for memory at most; Submit refuses further ones
	MaxStepsPerEvent int           // decode steps that one event may cover; 0 means no limit
	ReportTokens     bool          // EventTokens is reported

	initialized    bool
	waiting        []*sequence            // without memory, by priority, then by arrival
	running        []*sequence            // in the batch, by priority, then by arrival
	allocations    map[string]*allocation // by id
	expiries       expiryHeap             // allocations that expire
	cache          cache
	heldTokens     int64   // tokens of all allocations outside the prefix cache
	arrivals       uint64  // number of jobs queued so far
	current        stepRun // zero while the engine is idle
	events         []Event // not returned by Advance yet
	returnedEvents []Event // returned by the last call of Advance; the next call reuses the memory
}

// init sets the defaults; each method that depends on them calls it first.
func (e *Engine) init() {
	if e.initialized {
		return
	}
	e.initialized = true
	e.allocations = make(map[string]*allocation)
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

// setDefault sets a field that is 0 to value.
func setDefault(field *int64, value int64) {
	if *field == 0 {
		*field = value
	}
}

// Submit queues a job. It returns an *Error with the kind of the refusal if the engine will not run the job: the job is
// invalid or its id is in use, its reservation is unknown, it needs more memory than the engine has, or the queue is
// full.
func (e *Engine) Submit(now time.Time, j Job) error {
	e.init()
	e.advance(now)
	if !j.valid() || e.allocations[j.ID] != nil {
		return &Error{Op: "submit", Kind: engineapi.RefusalInvalid}
	}
	if j.Reservation != "" && e.allocations[j.Reservation] == nil {
		return &Error{Op: "submit", Kind: engineapi.RefusalNotFound}
	}
	if j.PromptTokens-j.ImportedTokens+j.OutputTokens > e.capacityTokens() {
		return &Error{Op: "submit", Kind: engineapi.RefusalMemory}
	}
	if len(e.waiting) >= e.MaxQueued {
		return &Error{Op: "submit", Kind: engineapi.RefusalBusy}
	}
	e.arrivals++
	s := &sequence{Job: j, arrival: e.arrivals}
	a := &allocation{id: j.ID, kind: engineapi.KindSequence, expiry: j.Expiry, seq: s}
	s.alloc = a
	e.addAllocation(a)
	e.waiting = insertOrdered(e.waiting, s)
	e.interrupt(now)
	return nil
}

// valid reports whether the job has an id, its counts are consistent and something is left to prefill or to decode.
// It also sets OutputTokens of a prefill-only job to 0.
func (j *Job) valid() bool {
	if j.PrefillOnly {
		j.OutputTokens = 0
	}
	return j.ID != "" && j.OutputTokens >= 0 && j.ImportedTokens >= 0 && j.ImportedTokens <= j.PromptTokens &&
		j.PromptTokens-j.ImportedTokens+j.OutputTokens > 0
}

// Cancel ends a job and frees its memory. It returns the bytes freed, or 0 if the id is unknown.
func (e *Engine) Cancel(now time.Time, id string) int64 {
	return e.Release(now, id)
}

// Next returns the time at which the caller should call Advance next. It returns false if nothing will happen until the
// caller calls another method.
func (e *Engine) Next() (time.Time, bool) {
	if len(e.events) > 0 {
		return e.events[0].At, true
	}
	next := e.current.end
	if len(e.expiries) > 0 && (next.IsZero() || e.expiries[0].expiry.Before(next)) {
		next = e.expiries[0].expiry
	}
	return next, !next.IsZero()
}

// Advance moves the engine to the time now and returns the events up to then. The slice is valid until the next call of
// Advance.
func (e *Engine) Advance(now time.Time) []Event {
	e.init()
	e.advance(now)
	out := e.events
	e.events, e.returnedEvents = e.returnedEvents[:0], out
	return out
}

// Load returns the engine's load at the time of the last call that moved the engine; it does not advance the engine.
func (e *Engine) Load() engineapi.Load {
	e.init()
	var queued int64
	for _, s := range e.waiting {
		queued += s.PromptTokens - s.ImportedTokens
	}
	for _, s := range e.running {
		queued += s.PromptTokens - s.prefilled
	}
	pinned := e.cache.pinnedBlocks * e.BlockTokens
	return engineapi.Load{
		MemoryBytes:      e.MemoryBytes,
		HeldBytes:        (e.heldTokens + pinned) * e.KVBytesPerToken,
		CacheBytes:       (e.cache.tokens(e.BlockTokens) - pinned) * e.KVBytesPerToken,
		KVBytesPerToken:  e.KVBytesPerToken,
		Running:          len(e.running),
		QueuedTokens:     queued,
		PrefillPerSecond: e.PrefillPerSecond,
		DecodePerSecond:  float64(time.Second) / float64(e.decodeTime()),
	}
}

// WaitingJobs returns the number of jobs that wait for memory.
func (e *Engine) WaitingJobs() int { return len(e.waiting) }

// CachedTokens returns how many leading prompt tokens the prefix cache holds of a prompt with these block hashes.
func (e *Engine) CachedTokens(blocks []uint64) int64 {
	e.init()
	return int64(e.cache.match(blocks)) * e.BlockTokens
}

// advance applies the steps that end and the expiries that pass up to now, in order of time. At the same time, an
// expiry comes first.
func (e *Engine) advance(now time.Time) {
	for {
		expiryDue := len(e.expiries) > 0 && !e.expiries[0].expiry.After(now)
		stepsDue := !e.current.end.IsZero() && !e.current.end.After(now)
		switch {
		case expiryDue && (!stepsDue || !e.current.end.Before(e.expiries[0].expiry)):
			e.expire(heap.Pop(&e.expiries).(*allocation))
		case stepsDue:
			at := e.current.end
			e.finishSteps(e.current.count, at)
			e.startSteps(at)
		default:
			return
		}
	}
}
