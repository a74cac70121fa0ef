package drive

import (
	"container/heap"
	"time"
)

// event is a call that is due at a time; events of one time run in the order in which they were added.
type event struct {
	at   time.Time
	turn uint64
	call func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].turn < e[j].turn
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event for container/heap.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// loop runs events in the order of virtual time.
type loop struct {
	now    time.Time
	turn   uint64
	events events
}

func (l *loop) at(at time.Time, call func()) {
	if at.Before(l.now) {
		at = l.now
	}
	l.turn++
	heap.Push(&l.events, event{at: at, turn: l.turn, call: call})
}

func (l *loop) after(delay time.Duration, call func()) { l.at(l.now.Add(delay), call) }

// run runs all events up to end.
func (l *loop) run(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.call()
	}
	l.now = end
}
