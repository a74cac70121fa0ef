package queue

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// ClassStep is the difference in priority between urgency classes. Aging raises a request within its class only.
const ClassStep = 100

// AgedStep is the priority of aged requests within their class; it is higher than that of any prompt length.
const AgedStep = 10

// DefaultAging is the aging period of an Item whose Aging is 0.
const DefaultAging = 5 * time.Second

type (
	// Item is one waiting grant request.
	Item struct {
		ID        protocol.AttemptID
		Workspace string
		Priority  int // higher goes first
		Enqueued  time.Time
		Aging     time.Duration // time in the queue after which the request is aged; 0 means DefaultAging
		Due       time.Time     // when the first token should come; of equal priorities the earliest Due goes first
	}

	// Queue holds waiting requests; it is not safe for concurrent use.
	Queue struct {
		Usage Usage

		items        []Item // in the order of arrival
		NoAging      bool   // for tests: turns aging off; requests of one length stay ordered by Due, and long prompts starve
		ignoreShares bool   // for tests: ignores the shares of the workspaces
	}

	// key holds the values by which requests are ordered.
	key struct {
		class     int
		overShare bool
		priority  int
		due       time.Time
	}
)

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Items returns the waiting requests in the order of their arrival; the caller must not modify the slice.
func (q *Queue) Items() []Item { return q.items }

// Push adds a request.
func (q *Queue) Push(it Item) { q.items = append(q.items, it) }

// Remove removes the request with the ID and reports whether it was in the queue.
func (q *Queue) Remove(id protocol.AttemptID) bool {
	i := slices.IndexFunc(q.items, func(it Item) bool { return it.ID == id })
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// Next returns the request that goes first among those for which allowed returns true; a nil allowed means all.
// The second result is false if there is none.
func (q *Queue) Next(now time.Time, allowed func(Item) bool) (Item, bool) {
	best := -1
	var bestKey key
	for i := range q.items {
		if allowed != nil && !allowed(q.items[i]) {
			continue
		}
		if k := q.key(now, q.items[i]); best < 0 || compareKeys(k, bestKey) < 0 {
			best, bestKey = i, k
		}
	}
	if best < 0 {
		return Item{}, false
	}
	return q.items[best], true
}

// Ordered returns the waiting requests, the one that goes first at index 0.
func (q *Queue) Ordered(now time.Time) []Item {
	type keyed struct {
		key  key
		item Item
	}
	list := make([]keyed, len(q.items))
	for i, it := range q.items {
		list[i] = keyed{key: q.key(now, it), item: it}
	}
	slices.SortStableFunc(list, func(a, b keyed) int { return compareKeys(a.key, b.key) })
	items := make([]Item, len(list))
	for i := range list {
		items[i] = list[i].item
	}
	return items
}

// EachBefore calls visit for each waiting request other than it that goes before it or has an equal key.
func (q *Queue) EachBefore(now time.Time, it Item, visit func(Item)) {
	own := q.key(now, it)
	for _, other := range q.items {
		if other.ID != it.ID && compareKeys(q.key(now, other), own) <= 0 {
			visit(other)
		}
	}
}

// Aged reports whether the request has waited for its aging period.
func (it Item) Aged(now time.Time) bool {
	aging := it.Aging
	if aging <= 0 {
		aging = DefaultAging
	}
	return now.Sub(it.Enqueued) >= aging
}

// AgedPriority returns the priority after aging: aged requests of a class go before others of any prompt length.
func (it Item) AgedPriority(now time.Time) int {
	if !it.Aged(now) {
		return it.Priority
	}
	return it.Priority/ClassStep*ClassStep + AgedStep
}

// key returns the values that order a request: by class, then by whether its workspace is over its share, then by
// priority after aging, and last by the time of arrival if it is aged, else by Due.
func (q *Queue) key(now time.Time, it Item) key {
	k := key{class: it.Priority / ClassStep, priority: it.Priority, due: it.Due}
	if !q.NoAging && it.Aged(now) {
		k.priority, k.due = it.AgedPriority(now), it.Enqueued
	}
	if !q.ignoreShares {
		k.overShare = q.Usage.OverShare(now, it.Workspace)
	}
	return k
}

// compareKeys returns a negative number if a goes before b, a positive one if b goes before a, and 0 otherwise.
func compareKeys(a, b key) int {
	if a.overShare != b.overShare && a.class == b.class {
		if b.overShare {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(b.priority, a.priority), a.due.Compare(b.due))
}
