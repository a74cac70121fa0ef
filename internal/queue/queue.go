package queue

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// AgingStep is what an aging period adds to the priority of an ask; it is more than any length step.
const AgingStep = 10

// Defaults of the exported fields of Queue.
const (
	DefaultAging         = 5 * time.Second
	DefaultQuantumTokens = 64_000
)

type (
	// Item is one waiting ask.
	Item struct {
		ID        protocol.AttemptID
		Workspace string
		Priority  int           // higher goes first
		Cost      int64         // tokens that the workspace is charged when the ask is taken
		Enqueued  time.Time     // start of aging
		Aging     time.Duration // waiting time that raises Priority by AgingStep; 0 means DefaultAging
		Due       time.Time     // the ask with the earliest Due has the least slack
	}

	// Queue holds waiting asks; it is not safe for concurrent use.
	Queue struct {
		QuantumTokens int64 // lead over the workspace with the least service that still counts as equal; 0 means DefaultQuantumTokens

		items   []Item
		shares  map[string]int
		service map[string]float64 // tokens taken over share: the finish tags of start-time fair queuing
		virtual float64            // the highest start tag taken

		noAging bool // tests turn aging off
		noShare bool // tests turn fair shares off
	}
)

// SetShare sets the weight of a workspace against the others; less than 1 counts as 1.
func (q *Queue) SetShare(workspace string, share int) {
	if q.shares == nil {
		q.shares = make(map[string]int)
	}
	q.shares[workspace] = max(share, 1)
}

// Len returns how many asks wait.
func (q *Queue) Len() int { return len(q.items) }

// Items returns the waiting asks in the order of their arrival; the caller must not change them.
func (q *Queue) Items() []Item { return q.items }

// Push adds an ask.
func (q *Queue) Push(it Item) {
	q.start(it.Workspace)
	q.items = append(q.items, it)
}

// Remove drops the ask with the id and reports whether it waited.
func (q *Queue) Remove(id protocol.AttemptID) bool {
	for i := range q.items {
		if q.items[i].ID == id {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Charge counts the tokens of an ask that was taken against its workspace.
func (q *Queue) Charge(workspace string, tokens int64) {
	start := q.start(workspace)
	q.virtual = max(q.virtual, start)
	q.service[workspace] = start + float64(tokens)/float64(max(q.shares[workspace], 1))
}

// Next returns the ask that goes first among those for which allowed is true.
func (q *Queue) Next(now time.Time, allowed func(Item) bool) (Item, bool) {
	best := -1
	least := q.leastService()
	for i := range q.items {
		if allowed != nil && !allowed(q.items[i]) {
			continue
		}
		if best < 0 || q.before(now, least, i, best) {
			best = i
		}
	}
	if best < 0 {
		return Item{}, false
	}
	return q.items[best], true
}

// Rank reports whether an ask with the properties of a would go before the waiting ask b.
func (q *Queue) Rank(now time.Time, a, b Item) bool {
	pa, pb := q.priority(now, a), q.priority(now, b)
	if pa != pb {
		return pa > pb
	}
	return a.Due.Before(b.Due)
}

func (q *Queue) before(now time.Time, least float64, i, j int) bool {
	a, b := q.items[i], q.items[j]
	pa, pb := q.priority(now, a), q.priority(now, b)
	if pa != pb {
		return pa > pb
	}
	oa, ob := q.over(a.Workspace, least), q.over(b.Workspace, least)
	if oa != ob {
		return ob
	}
	return a.Due.Before(b.Due)
}

// priority is the priority after aging.
func (q *Queue) priority(now time.Time, it Item) int {
	if q.noAging {
		return it.Priority
	}
	return it.Priority + AgingStep*it.Steps(now)
}

// Steps is the number of aging periods for which an ask has waited.
func (it Item) Steps(now time.Time) int {
	aging := it.Aging
	if aging <= 0 {
		aging = DefaultAging
	}
	return int(now.Sub(it.Enqueued) / aging)
}

// over reports whether a workspace has had more than its share.
func (q *Queue) over(workspace string, least float64) bool {
	if q.noShare {
		return false
	}
	quantum := q.QuantumTokens
	if quantum <= 0 {
		quantum = DefaultQuantumTokens
	}
	return q.service[workspace] > least+float64(quantum)
}

// start returns the service at which the next ask of a workspace begins.
// An idle workspace gets no credit for the time in which it asked for nothing.
func (q *Queue) start(workspace string) float64 {
	if q.service == nil {
		q.service = make(map[string]float64)
	}
	if !q.waits(workspace) {
		q.service[workspace] = max(q.service[workspace], q.virtual)
	}
	return q.service[workspace]
}

func (q *Queue) waits(workspace string) bool {
	for i := range q.items {
		if q.items[i].Workspace == workspace {
			return true
		}
	}
	return false
}

// leastService is the least service of the workspaces that wait.
func (q *Queue) leastService() float64 {
	if len(q.items) == 0 {
		return q.virtual
	}
	least := q.service[q.items[0].Workspace]
	for i := range q.items {
		least = min(least, q.service[q.items[i].Workspace])
	}
	return least
}
