package virtual

import (
	"container/heap"
	"time"
)

// event is one thing that happens at a virtual time.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

// Clock runs events in order of their times; those of the same time run in the order in which they were set.
type Clock struct {
	Now time.Time

	order  uint64
	events events
}

// After lets run be called once d has passed.
func (c *Clock) After(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.Now.Add(d), order: c.order, run: run})
}

// RunUntil runs all events up to the end.
func (c *Clock) RunUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.run()
	}
}

type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event for container/heap.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event for container/heap.
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
