package crash

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

// clock runs events in order of their times; those of the same time run in the order in which they were set.
type clock struct {
	now    time.Time
	order  uint64
	events events
}

func (c *clock) after(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now.Add(d), order: c.order, run: run})
}

// runUntil runs all events up to the end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
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
