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
	Primary string
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
	Params *catalog.Engine
	// Pace returns how many times slower than rated an engine is; nil means that none is.
	Pace func(engine string) float64

	engines map[string]*engine
	ends    endHeap
	out     []Event
}

type engine struct {
	name           string
	decoding       []*run
	parts          []*prefill
	own            []*prefill
	taken          []taken // prefilled in the pass under way
	decodingInPass []*run  // decode in the pass under way
	busy           bool
}

type run struct {
	request      Request
	prefillsLeft int // prefills that are not done
	made         int // events
	gone         bool
	context      int
}

type prefill struct {
	run    *run
	tokens int
	time   time.Duration
	parts  int // parts of the prompt
	part   bool
	begun  bool
}

type taken struct {
	prefill *prefill
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

// Submit gives a request to its primary engine at now.
func (f *Fleet) Submit(now time.Time, r Request) {
	parts := len(r.Helpers) + 1
	one := &run{request: r, prefillsLeft: parts, context: r.Tokens / parts}
	primary := f.engine(r.Primary)
	primary.own = append(primary.own, f.newPrefill(one, parts, false))
	f.begin(now, primary)
}

// Cancel ends a request, as its caller's leaving does.
func (f *Fleet) Cancel(id string) {
	for _, e := range f.engines {
		for _, w := range e.decoding {
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

func (f *Fleet) newPrefill(r *run, parts int, part bool) *prefill {
	t := float64(r.request.Tokens)
	seconds := t/f.Params.PrefillRate + t*t/2/1e6*f.Params.AttentionTime.Seconds()
	return &prefill{
		run:    r,
		tokens: r.request.Tokens / parts,
		time:   time.Duration(seconds / float64(parts) * float64(time.Second)),
		parts:  parts,
		part:   part,
	}
}

// begin starts a pass if the engine is idle and has work.
func (f *Fleet) begin(now time.Time, e *engine) {
	if e.busy {
		return
	}
	e.drop()
	if len(e.decoding)+len(e.parts)+len(e.own) == 0 {
		return
	}
	capacity := f.Params.ChunkTokens
	if len(e.decoding) > 0 {
		capacity *= f.Params.PassSteps
	}
	duration := f.decodeTime(e)
	duration += f.takeTokens(now, e, &e.parts, &capacity)
	duration += f.takeTokens(now, e, &e.own, &capacity)
	if f.Pace != nil {
		duration = time.Duration(float64(duration) * f.Pace(e.name))
	}
	e.busy = true
	e.decodingInPass = slices.Clone(e.decoding)
	heap.Push(&f.ends, end{now.Add(max(duration, time.Microsecond)), e})
}

// drop removes what was canceled.
func (e *engine) drop() {
	isGone := func(r *prefill) bool { return r.run.gone }
	e.decoding = slices.DeleteFunc(e.decoding, func(r *run) bool { return r.gone })
	e.parts = slices.DeleteFunc(e.parts, isGone)
	e.own = slices.DeleteFunc(e.own, isGone)
}

// decodeTime returns the time of the token steps of a pass.
func (f *Fleet) decodeTime(e *engine) time.Duration {
	if len(e.decoding) == 0 {
		return 0
	}
	step := f.Params.Step + time.Duration(len(e.decoding))*f.Params.StepPerRequest
	for _, w := range e.decoding {
		step += time.Duration(float64(f.Params.StepPerContext) * float64(w.context) / 1000)
		if len(w.request.Helpers) > 0 {
			step += f.Params.StepPerSplit
		}
	}
	return step * time.Duration(f.Params.PassSteps)
}

// takeTokens takes up to capacity tokens from queue into the pass.
func (f *Fleet) takeTokens(now time.Time, e *engine, queue *[]*prefill, capacity *int) time.Duration {
	var sum time.Duration
	for len(*queue) > 0 && *capacity > 0 {
		r := (*queue)[0]
		f.spread(now, r)
		if r.tokens > *capacity {
			share := time.Duration(float64(r.time) * float64(*capacity) / float64(r.tokens))
			r.tokens -= *capacity
			r.time -= share
			*capacity = 0
			e.taken = append(e.taken, taken{prefill: r})
			return sum + share
		}
		*capacity -= r.tokens
		sum += r.time
		*queue = (*queue)[1:]
		e.taken = append(e.taken, taken{prefill: r, done: true})
	}
	return sum
}

// spread gives the helpers their parts when the primary engine begins.
func (f *Fleet) spread(now time.Time, r *prefill) {
	if r.begun || r.part {
		return
	}
	r.begun = true
	for _, name := range r.run.request.Helpers {
		helper := f.engine(name)
		helper.parts = append(helper.parts, f.newPrefill(r.run, r.parts, true))
		f.begin(now, helper)
	}
}

// finish ends a pass.
func (f *Fleet) finish(now time.Time, e *engine) {
	e.busy = false
	for _, w := range e.decodingInPass {
		f.addEvent(now, w)
	}
	ended := func(r *run) bool { return r.made >= r.request.Events }
	e.decoding = slices.DeleteFunc(e.decoding, ended)
	done := e.taken
	e.taken = nil
	primaries := []*engine{e}
	for _, t := range done {
		if !t.done || t.prefill.run.gone {
			continue
		}
		r := t.prefill.run
		r.prefillsLeft--
		if r.prefillsLeft > 0 {
			continue
		}
		f.addEvent(now, r)
		primary := f.engine(r.request.Primary)
		if !ended(r) {
			primary.decoding = append(primary.decoding, r)
		}
		primaries = append(primaries, primary)
	}
	for _, primary := range primaries {
		f.begin(now, primary)
	}
}

func (f *Fleet) addEvent(now time.Time, r *run) {
	if r.gone {
		return
	}
	r.made++
	f.out = append(f.out, Event{ID: r.request.ID, At: now, Number: r.made, Last: r.made >= r.request.Events})
}
