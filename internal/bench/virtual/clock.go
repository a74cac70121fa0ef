package virtual

import (
	"container/heap"
	"time"
)

// event is a function that is scheduled for a virtual time.
type event struct {
	at    time.Time
	order uint64 // breaks ties: events of the same time run in ascending order
	run   func()
}

// Clock is a virtual clock that runs scheduled functions in the order of their times; those of the same time run in the
// order in which they were scheduled. It is not safe for concurrent use.
type Clock struct {
	Now time.Time // the current virtual time; set it before the first call of After

	order  uint64 // of the last scheduled event
	events events // a heap, the earliest event first
}

// After schedules run for the virtual time Now + d.
func (c *Clock) After(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.Now.Add(d), order: c.order, run: run})
}

// RunUntil runs all events whose time is not after end, those that they schedule included. Now is then the time of the
// last event.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.run()
	}
}

// events is a heap of events, ordered by time and then by order.
type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event. It implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes and returns the last event. It implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
