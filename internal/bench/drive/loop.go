package drive

import (
	"container/heap"
	"time"
)

// event is a function that is scheduled for a virtual time.
type event struct {
	at    time.Time
	order uint64 // breaks ties: events of the same time run in ascending order
	call  func()
}

// events is a heap of events, ordered by time and then by order.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event. It implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event. It implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// eventLoop runs scheduled functions in the order of their virtual times; those of the same time run in the order in
// which they were scheduled.
type eventLoop struct {
	now       time.Time
	lastOrder uint64 // of the last scheduled event
	events    events // a heap, the earliest event first
}

// at schedules call for the given time, or for now if that time has passed.
func (l *eventLoop) at(at time.Time, call func()) {
	if at.Before(l.now) {
		at = l.now
	}
	l.lastOrder++
	heap.Push(&l.events, event{at: at, order: l.lastOrder, call: call})
}

// after schedules call for the time at which delay has passed.
func (l *eventLoop) after(delay time.Duration, call func()) { l.at(l.now.Add(delay), call) }

// runUntil runs all events whose time is not after end, those that they schedule included, and sets now to end.
func (l *eventLoop) runUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.call()
	}
	l.now = end
}
