package passes

import (
	"container/heap"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
)

// Request is a prompt and how long its answer is.
type Request struct {
	ID      string
	Lead    string
	Helpers []string
	Tokens  int
	Events  int
}

// Event is one event of a request's stream.
type Event struct {
	ID     string
	At     time.Time
	Number int // from 1
	Last   bool
}

// Fleet is a set of engines that are alike. Its exported fields must be set before use.
type Fleet struct {
	Figures *catalog.Engine
	// Pace returns how many times slower than rated an engine is; nil means that none is.
	Pace func(engine string) float64

	engines map[string]*engine
	ends    endHeap
	out     []Event
}

type engine struct {
	name    string
	writers []*run
	parts   []*reading
	own     []*reading
	taken   []taken // read in the pass under way
	writing []*run  // write in the pass under way
	busy    bool
}

type run struct {
	request Request
	reads   int // readings that are not done
	made    int // events
	gone    bool
	context int
}

type reading struct {
	run    *run
	tokens int
	time   time.Duration
	whole  int // readings of the prompt
	part   bool
	begun  bool
}

type taken struct {
	reading *reading
	done    bool
}

type end struct {
	at     time.Time
	engine *engine
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an end; it is for package heap.
func (h *endHeap) Push(x any) { *h = append(*h, x.(end)) }

// Pop removes the last end; it is for package heap.
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Submit gives a request to its lead at now.
func (f *Fleet) Submit(now time.Time, r Request) {
	readers := len(r.Helpers) + 1
	one := &run{request: r, reads: readers, context: r.Tokens / readers}
	lead := f.engine(r.Lead)
	lead.own = append(lead.own, f.reading(one, readers, false))
	f.begin(now, lead)
}

// Cancel ends a request, as its caller's leaving does.
func (f *Fleet) Cancel(id string) {
	for _, e := range f.engines {
		for _, w := range e.writers {
			w.gone = w.gone || w.request.ID == id
		}
		for _, r := range append(slices.Clone(e.own), e.parts...) {
			r.run.gone = r.run.gone || r.run.request.ID == id
		}
	}
}

// Next returns when something happens next, or false if nothing will.
func (f *Fleet) Next() (time.Time, bool) {
	if len(f.ends) == 0 {
		return time.Time{}, false
	}
	return f.ends[0].at, true
}

// Advance runs the fleet until now and returns the events made.
func (f *Fleet) Advance(now time.Time) []Event {
	f.out = nil
	for len(f.ends) > 0 && !f.ends[0].at.After(now) {
		e := heap.Pop(&f.ends).(end)
		f.finish(e.at, e.engine)
	}
	return f.out
}

func (f *Fleet) engine(name string) *engine {
	if f.engines == nil {
		f.engines = make(map[string]*engine)
	}
	if f.engines[name] == nil {
		f.engines[name] = &engine{name: name}
	}
	return f.engines[name]
}

func (f *Fleet) reading(r *run, readers int, part bool) *reading {
	t := float64(r.request.Tokens)
	seconds := t/f.Figures.ReadRate + t*t/2/1e6*f.Figures.PairsTime.Seconds()
	return &reading{
		run:    r,
		tokens: r.request.Tokens / readers,
		time:   time.Duration(seconds / float64(readers) * float64(time.Second)),
		whole:  readers,
		part:   part,
	}
}

// begin starts a pass if the engine is idle and has work.
func (f *Fleet) begin(now time.Time, e *engine) {
	if e.busy {
		return
	}
	e.drop()
	if len(e.writers)+len(e.parts)+len(e.own) == 0 {
		return
	}
	capacity := f.Figures.ChunkTokens
	if len(e.writers) > 0 {
		capacity *= f.Figures.PassSteps
	}
	duration := f.steps(e)
	duration += f.read(now, e, &e.parts, &capacity)
	duration += f.read(now, e, &e.own, &capacity)
	if f.Pace != nil {
		duration = time.Duration(float64(duration) * f.Pace(e.name))
	}
	e.busy = true
	e.writing = slices.Clone(e.writers)
	heap.Push(&f.ends, end{now.Add(max(duration, time.Microsecond)), e})
}

// drop removes what was canceled.
func (e *engine) drop() {
	goneReading := func(r *reading) bool { return r.run.gone }
	e.writers = slices.DeleteFunc(e.writers, func(r *run) bool { return r.gone })
	e.parts = slices.DeleteFunc(e.parts, goneReading)
	e.own = slices.DeleteFunc(e.own, goneReading)
}

// steps returns the time of the token steps of a pass.
func (f *Fleet) steps(e *engine) time.Duration {
	if len(e.writers) == 0 {
		return 0
	}
	step := f.Figures.Step + time.Duration(len(e.writers))*f.Figures.StepWriter
	for _, w := range e.writers {
		step += time.Duration(float64(f.Figures.StepContext) * float64(w.context) / 1000)
		if len(w.request.Helpers) > 0 {
			step += f.Figures.StepHop
		}
	}
	return step * time.Duration(f.Figures.PassSteps)
}

// read takes up to capacity tokens from queue into the pass.
func (f *Fleet) read(now time.Time, e *engine, queue *[]*reading, capacity *int) time.Duration {
	var sum time.Duration
	for len(*queue) > 0 && *capacity > 0 {
		r := (*queue)[0]
		f.spread(now, r)
		if r.tokens > *capacity {
			share := time.Duration(float64(r.time) * float64(*capacity) / float64(r.tokens))
			r.tokens -= *capacity
			r.time -= share
			*capacity = 0
			e.taken = append(e.taken, taken{reading: r})
			return sum + share
		}
		*capacity -= r.tokens
		sum += r.time
		*queue = (*queue)[1:]
		e.taken = append(e.taken, taken{reading: r, done: true})
	}
	return sum
}

// spread gives the helpers their parts when the lead begins.
func (f *Fleet) spread(now time.Time, r *reading) {
	if r.begun || r.part {
		return
	}
	r.begun = true
	for _, name := range r.run.request.Helpers {
		helper := f.engine(name)
		helper.parts = append(helper.parts, f.reading(r.run, r.whole, true))
		f.begin(now, helper)
	}
}

// finish ends a pass.
func (f *Fleet) finish(now time.Time, e *engine) {
	e.busy = false
	for _, w := range e.writing {
		f.write(now, w)
	}
	ended := func(r *run) bool { return r.made >= r.request.Events }
	e.writers = slices.DeleteFunc(e.writers, ended)
	done := e.taken
	e.taken = nil
	leads := []*engine{e}
	for _, t := range done {
		if !t.done || t.reading.run.gone {
			continue
		}
		r := t.reading.run
		r.reads--
		if r.reads > 0 {
			continue
		}
		f.write(now, r)
		lead := f.engine(r.request.Lead)
		if !ended(r) {
			lead.writers = append(lead.writers, r)
		}
		leads = append(leads, lead)
	}
	for _, lead := range leads {
		f.begin(now, lead)
	}
}

func (f *Fleet) write(now time.Time, r *run) {
	if r.gone {
		return
	}
	r.made++
	f.out = append(f.out, Event{ID: r.request.ID, At: now, Number: r.made, Last: r.made >= r.request.Events})
}
