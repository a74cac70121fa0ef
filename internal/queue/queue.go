package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// ClassStep is the difference of priority between urgency classes. Aging raises an ask within its class only.
const ClassStep = 100

// AgedStep is the priority of aged asks within their class; it is more than that of any length.
const AgedStep = 10

// DefaultAging is the aging period of an Item that names none.
const DefaultAging = 5 * time.Second

type (
	// Item is one waiting ask.
	Item struct {
		ID        protocol.AttemptID
		Workspace string
		Priority  int // higher goes first
		Enqueued  time.Time
		Aging     time.Duration // waiting time after which the ask goes before others of its class; 0 means DefaultAging
		Due       time.Time     // the ask with the earliest Due has the least slack
	}

	// Queue holds waiting asks; it is not safe for concurrent use.
	Queue struct {
		Usage Usage

		items   []Item
		NoAging bool // keeps the order of arrival within a length; starves long asks, for tests
		noShare bool // tests turn fair shares off
	}

	// key is what asks are ordered by.
	key struct {
		class    int
		over     bool
		priority int
		due      time.Time
	}
)

// Len returns how many asks wait.
func (q *Queue) Len() int { return len(q.items) }

// Items returns the waiting asks in the order of their arrival; the caller must not change them.
func (q *Queue) Items() []Item { return q.items }

// Push adds an ask.
func (q *Queue) Push(it Item) { q.items = append(q.items, it) }

// Remove drops the ask with the id and reports whether it waited.
func (q *Queue) Remove(id protocol.AttemptID) bool {
	i := slices.IndexFunc(q.items, func(it Item) bool { return it.ID == id })
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// Next returns the ask that goes first among those for which allowed is true.
func (q *Queue) Next(now time.Time, allowed func(Item) bool) (Item, bool) {
	best := -1
	var first key
	for i := range q.items {
		if allowed != nil && !allowed(q.items[i]) {
			continue
		}
		if k := q.key(now, q.items[i]); best < 0 || compare(k, first) < 0 {
			best, first = i, k
		}
	}
	if best < 0 {
		return Item{}, false
	}
	return q.items[best], true
}

// Ordered returns the waiting asks, the one that goes first in front.
func (q *Queue) Ordered(now time.Time) []Item {
	type keyed struct {
		key  key
		item Item
	}
	list := make([]keyed, len(q.items))
	for i, it := range q.items {
		list[i] = keyed{key: q.key(now, it), item: it}
	}
	slices.SortStableFunc(list, func(a, b keyed) int { return compare(a.key, b.key) })
	items := make([]Item, len(list))
	for i := range list {
		items[i] = list[i].item
	}
	return items
}

// Before calls visit for each waiting ask that goes before it.
func (q *Queue) Before(now time.Time, it Item, visit func(Item)) {
	own := q.key(now, it)
	for _, other := range q.items {
		if other.ID != it.ID && compare(q.key(now, other), own) <= 0 {
			visit(other)
		}
	}
}

// Aged reports whether an ask has waited for its aging period.
func (it Item) Aged(now time.Time) bool {
	aging := it.Aging
	if aging <= 0 {
		aging = DefaultAging
	}
	return now.Sub(it.Enqueued) >= aging
}

// Current is the priority after aging: aged asks of a class go before the others of any length.
func (it Item) Current(now time.Time) int {
	if !it.Aged(now) {
		return it.Priority
	}
	return it.Priority/ClassStep*ClassStep + AgedStep
}

// key orders by class, then by the workspaces' shares, then aged asks by their arrival and others by length and slack.
func (q *Queue) key(now time.Time, it Item) key {
	k := key{class: it.Priority / ClassStep, priority: it.Priority, due: it.Due}
	if !q.NoAging && it.Aged(now) {
		k.priority, k.due = it.Current(now), it.Enqueued
	}
	if !q.noShare {
		k.over = q.Usage.Over(now, it.Workspace)
	}
	return k
}

func compare(a, b key) int {
	if a.over != b.over && a.class == b.class {
		if b.over {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(b.priority, a.priority), a.due.Compare(b.due))
}
