package passes

import (
	"container/heap"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
)

// Request is a prompt for the fleet and the length of its response.
type Request struct {
	ID           string
	Primary      string   // name of the engine that decodes the request and prefills one part of its prompt
	Helpers      []string // names of the engines that prefill the other parts; empty if the prompt is not split
	PromptTokens int      // prompt tokens
	EventCount   int      // events of the response
}

// Event is one event of a request's stream.
type Event struct {
	ID     string // of the request
	At     time.Time
	Number int // from 1
	Last   bool
}

// Fleet is a set of engines with the same parameters, which are created when a request first names them. Its exported
// fields must be set before use. A Fleet has no clock: the caller passes the time to its methods. It is not safe for
// concurrent use.
type Fleet struct {
	Params *catalog.EngineParams
	// Slowdown returns the slowdown of an engine, the ratio of its actual to its rated pass time. If it is nil, all
	// engines run at their rated speed.
	Slowdown func(engine string) float64

	engines map[string]*engine // by name
	ends    endHeap            // one for each engine that is running a pass
	events  []Event            // made since the start of the current call of Advance
}

type engine struct {
	name           string
	decoding       []*run
	parts          []*prefill // queued for other engines' requests; they go before own
	own            []*prefill // queued for requests of which this engine is the primary
	taken          []taken    // prefills from which the current pass takes tokens
	decodingInPass []*run     // requests that decode in the current pass
	busy           bool       // a pass is running
}

// run is a request in progress.
type run struct {
	request      Request
	prefillsLeft int // prefills that are not complete, on the primary and the helpers
	eventCount   int // events made so far
	canceled     bool
	context      int // prompt tokens that lengthen the decode steps of the primary: its own part of the prompt
}

// prefill is the work of one engine on a prompt: the whole prompt, or one of several equal parts.
type prefill struct {
	run      *run
	tokens   int           // that are not yet in a pass
	time     time.Duration // rated time for these tokens
	parts    int           // parts of the prompt; 1 if it is not split
	onHelper bool
	begun    bool // the helpers have received their parts; set on the primary only
}

// taken is a prefill from which the current pass takes tokens.
type taken struct {
	prefill *prefill
	done    bool // the prefill is complete at the end of the pass
}

// end is the time at which the current pass of an engine ends.
type end struct {
	at     time.Time
	engine *engine
}

// endHeap is a container/heap with the earliest end first.
type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends x; only package heap calls it.
func (h *endHeap) Push(x any) { *h = append(*h, x.(end)) }

// Pop removes and returns the last element; only package heap calls it.
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Submit queues a request on its primary engine at now. The helpers receive their parts of the prompt when the primary
// starts its own.
func (f *Fleet) Submit(now time.Time, r Request) {
	parts := len(r.Helpers) + 1
	newRun := &run{request: r, prefillsLeft: parts, context: r.PromptTokens / parts}
	primary := f.engine(r.Primary)
	primary.own = append(primary.own, f.newPrefill(newRun, parts, false))
	f.begin(now, primary)
}

// Cancel ends the request with the given ID, as when its caller disconnects. It has no effect on a request that is
// neither decoding nor queued for prefill, for example because the current pass completes its prefill.
func (f *Fleet) Cancel(id string) {
	for _, e := range f.engines {
		for _, r := range e.decoding {
			r.canceled = r.canceled || r.request.ID == id
		}
		for _, p := range append(slices.Clone(e.own), e.parts...) {
			p.run.canceled = p.run.canceled || p.run.request.ID == id
		}
	}
}

// Next returns the earliest time at which a pass ends. It returns false if no engine is running a pass.
func (f *Fleet) Next() (time.Time, bool) {
	if len(f.ends) == 0 {
		return time.Time{}, false
	}
	return f.ends[0].at, true
}

// Advance runs the fleet until now and returns the events made since the last call, in order of time. Events are made
// at the end of a pass.
func (f *Fleet) Advance(now time.Time) []Event {
	f.events = nil
	for len(f.ends) > 0 && !f.ends[0].at.After(now) {
		e := heap.Pop(&f.ends).(end)
		f.finish(e.at, e.engine)
	}
	return f.events
}

// engine returns the engine with the given name, which it creates if it does not exist.
func (f *Fleet) engine(name string) *engine {
	if f.engines == nil {
		f.engines = make(map[string]*engine)
	}
	if f.engines[name] == nil {
		f.engines[name] = &engine{name: name}
	}
	return f.engines[name]
}

// newPrefill returns the prefill of one part of a prompt that is split into the given number of equal parts. The time
// to prefill the whole prompt is the sum of a term linear in its length and the attention time for all pairs of tokens,
// half of the length squared. Each part takes an equal share of it.
func (f *Fleet) newPrefill(r *run, parts int, onHelper bool) *prefill {
	t := float64(r.request.PromptTokens)
	seconds := t/f.Params.PrefillRate + t*t/2/1e6*f.Params.AttentionTime.Seconds()
	return &prefill{
		run:      r,
		tokens:   r.request.PromptTokens / parts,
		time:     time.Duration(seconds / float64(parts) * float64(time.Second)),
		parts:    parts,
		onHelper: onHelper,
	}
}

// begin starts a pass at now if the engine is idle and has work. The pass prefills at most ChunkTokens tokens, or
// ChunkTokens for each of its PassSteps decode steps if some request decodes. A pass takes at least a microsecond.
func (f *Fleet) begin(now time.Time, e *engine) {
	if e.busy {
		return
	}
	e.dropCanceled()
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
	if f.Slowdown != nil {
		duration = time.Duration(float64(duration) * f.Slowdown(e.name))
	}
	e.busy = true
	e.decodingInPass = slices.Clone(e.decoding)
	heap.Push(&f.ends, end{now.Add(max(duration, time.Microsecond)), e})
}

// dropCanceled removes the canceled requests and their prefills from the queues of the engine.
func (e *engine) dropCanceled() {
	isCanceled := func(r *prefill) bool { return r.run.canceled }
	e.decoding = slices.DeleteFunc(e.decoding, func(r *run) bool { return r.canceled })
	e.parts = slices.DeleteFunc(e.parts, isCanceled)
	e.own = slices.DeleteFunc(e.own, isCanceled)
}

// decodeTime returns the rated time of the decode steps of a pass; it is 0 if no request decodes.
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

// takeTokens moves up to capacity tokens from the head of queue into the pass that starts on e at now. It reduces
// capacity by their number and returns the rated time to prefill them. A prefill that exceeds the capacity is divided:
// its other tokens stay at the head of the queue for a later pass.
func (f *Fleet) takeTokens(now time.Time, e *engine, queue *[]*prefill, capacity *int) time.Duration {
	var sum time.Duration
	for len(*queue) > 0 && *capacity > 0 {
		r := (*queue)[0]
		f.startHelpers(now, r)
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

// startHelpers queues the other parts of a split prompt on the helpers when the primary starts to prefill its own part.
// It does nothing on later calls, and for prefills on helpers.
func (f *Fleet) startHelpers(now time.Time, r *prefill) {
	if r.begun || r.onHelper {
		return
	}
	r.begun = true
	for _, name := range r.run.request.Helpers {
		helper := f.engine(name)
		helper.parts = append(helper.parts, f.newPrefill(r.run, r.parts, true))
		f.begin(now, helper)
	}
}

// finish ends the pass of an engine at now. Each request that decoded in the pass makes an event. A request whose
// last pending prefill has completed makes its first event and starts to decode on its primary. Then the engine and the
// primaries of these requests start their next passes.
func (f *Fleet) finish(now time.Time, e *engine) {
	e.busy = false
	for _, r := range e.decodingInPass {
		f.addEvent(now, r)
	}
	ended := func(r *run) bool { return r.eventCount >= r.request.EventCount }
	e.decoding = slices.DeleteFunc(e.decoding, ended)
	done := e.taken
	e.taken = nil
	withWork := []*engine{e}
	for _, t := range done {
		if !t.done || t.prefill.run.canceled {
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
		withWork = append(withWork, primary)
	}
	for _, next := range withWork {
		f.begin(now, next)
	}
}

// addEvent makes the next event of a request at now, unless the request is canceled.
func (f *Fleet) addEvent(now time.Time, r *run) {
	if r.canceled {
		return
	}
	r.eventCount++
	f.events = append(f.events, Event{
		ID: r.request.ID, At: now, Number: r.eventCount, Last: r.eventCount >= r.request.EventCount,
	})
}
