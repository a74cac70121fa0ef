package promptsize

import (
	"math"
	"math/bits"
	"time"
)

const (
	// Time constant with which decisions are forgotten: two waves in which more comes than fits.
	timeConstant = 20 * time.Second
	// The least part of the share of its kind that a size must get engines.
	fairPart = 0.6
	// Engine time up to which prompts have the smallest size. Each further size has twice the engine time.
	smallestWork = 60 * time.Millisecond
	// Decisions of a kind that are fewer than this count as none, so that the number of kinds in a table stays bounded.
	leastDecisions = 0.01
)

// Table is what became of the prompts of a service lately, by kind and size. Its zero value is ready to use.
type Table struct {
	kinds   map[string]*kind
	updated time.Time
}

// kind is the prompts of one kind, by size.
type kind struct {
	sizes map[int]*outcomes
	all   outcomes
}

// outcomes are numbers of decisions, of which those long ago count less.
type outcomes struct {
	placed  float64
	refused float64
	waiting float64 // that are due and not placed yet
}

// decisions returns the number of all decisions.
func (o *outcomes) decisions() float64 { return o.placed + o.refused + o.waiting }

// sizeOf returns the size of a prompt with the given engine time.
func sizeOf(work time.Duration) int { return bits.Len64(uint64(work / smallestWork)) }

// Placed records that a prompt with the given engine time gets engines.
func (t *Table) Placed(now time.Time, kind string, work time.Duration) {
	t.record(now, kind, work, outcomes{placed: 1})
}

// Refused records that a prompt with the given engine time is refused.
func (t *Table) Refused(now time.Time, kind string, work time.Duration) {
	t.record(now, kind, work, outcomes{refused: 1})
}

// Lost records that a prompt has lost the engines that it got, before its response was complete.
func (t *Table) Lost(now time.Time, kind string, work time.Duration) {
	t.record(now, kind, work, outcomes{placed: -1, refused: 1})
}

// StartWaiting forgets which prompts wait. Waiting then counts those that do.
func (t *Table) StartWaiting(now time.Time) {
	t.decay(now)
	for _, k := range t.kinds {
		k.all.waiting = 0
		for _, o := range k.sizes {
			o.waiting = 0
		}
	}
}

// Waiting counts a prompt that should have engines by now and waits for them.
func (t *Table) Waiting(now time.Time, kind string, work time.Duration) {
	t.record(now, kind, work, outcomes{waiting: 1})
}

// Behind reports whether the prompts with about the given engine time get engines much less often than all of their kind.
func (t *Table) Behind(kind string, work time.Duration) bool {
	k := t.kinds[kind]
	if k == nil {
		return false
	}
	o := k.sizes[sizeOf(work)]
	if o == nil || k.all.decisions() <= 0 {
		return false
	}
	return o.placed < fairPart*o.decisions()*k.all.placed/k.all.decisions()
}

// record adds outcomes to those of a kind and a size.
func (t *Table) record(now time.Time, name string, work time.Duration, added outcomes) {
	t.decay(now)
	if t.kinds == nil {
		t.kinds = make(map[string]*kind)
	}
	k := t.kinds[name]
	if k == nil {
		k = &kind{sizes: make(map[int]*outcomes)}
		t.kinds[name] = k
	}
	size := sizeOf(work)
	if k.sizes[size] == nil {
		k.sizes[size] = &outcomes{}
	}
	k.sizes[size].add(added)
	k.all.add(added)
}

// add adds other to o. What was placed long ago counts less than one, so that a loss never takes away more than there is.
func (o *outcomes) add(other outcomes) {
	o.placed = max(o.placed+other.placed, 0)
	o.refused += other.refused
	o.waiting += other.waiting
}

// decay makes earlier decisions count less.
func (t *Table) decay(now time.Time) {
	if !now.After(t.updated) {
		return
	}
	factor := math.Exp(-float64(now.Sub(t.updated)) / float64(timeConstant))
	t.updated = now
	for name, k := range t.kinds {
		k.all.scale(factor)
		if k.all.decisions() < leastDecisions {
			delete(t.kinds, name)
			continue
		}
		for _, o := range k.sizes {
			o.scale(factor)
		}
	}
}

// scale makes the decisions count less by a factor.
func (o *outcomes) scale(factor float64) {
	o.placed *= factor
	o.refused *= factor
}
