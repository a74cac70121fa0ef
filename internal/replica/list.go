package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// outageGap is the time between two successful reads beyond which the store is taken to have been unavailable, so
	// that entries may have expired in the meantime.
	outageGap = 1500 * time.Millisecond
	// renewalTime is how long after the store is available again a backend server may take to renew its entry.
	renewalTime = 2 * time.Second
	// staleTime is how long after a restore of the store the entry of a backend server that has stopped may remain.
	staleTime = 5 * time.Second
	// memoryTime is how long a replica that has gone is remembered.
	memoryTime = time.Minute
)

// List is the set of active replicas.
type List struct {
	replicas  map[string]Replica
	lastRead  time.Time              // when this or another host last read the store
	outageEnd time.Time              // first read after the last outage of the store; zero if none since the last Replace
	missing   map[string]time.Time   // for each replica kept without an entry: the first read after the outage
	gone      map[string]incarnation // replicas that have left the list
	leaving   map[string]incarnation // replicas that have announced that they leave
	// Until staleUntil, entries that were last written at staleRevision or before may be of an older copy from which the
	// store was restored.
	staleUntil    time.Time
	staleRevision int64
	restored      bool   // the store was restored and this host hasn't read it since
	digest        uint64 // of replicas
	steps         []step // latest changes, oldest first
}

// incarnation is one start of a replica.
type incarnation struct {
	born  int64
	since time.Time // when it left the list or was marked as leaving
}

// Change describes what an update did to one replica.
type Change struct {
	Replica Replica
	Kind    ChangeKind
}

// ChangeKind says what happened to a replica.
type ChangeKind string

// The kinds of changes.
const (
	ChangeNew      ChangeKind = "new"
	ChangeDraining ChangeKind = "draining" // started to drain or announced that it leaves
	ChangeUpdated  ChangeKind = "moved"    // any other field changed
	ChangeKept     ChangeKind = "kept"     // it has no entry any more, which may have expired during an outage of the store
	ChangeGone     ChangeKind = "gone"
)

// NewList returns an empty list.
func NewList() *List {
	l := &List{
		replicas: make(map[string]Replica), missing: make(map[string]time.Time),
		gone: make(map[string]incarnation), leaving: make(map[string]incarnation),
	}
	l.digest = l.computeDigest()
	return l
}

// MarkLeaving marks the replica with the given id, if it started at born, as leaving, and returns the change. It returns
// false if it is marked already or not in the list in this incarnation; the mark of one that isn't listed yet is kept. The
// mark lasts until the replica starts again.
func (l *List) MarkLeaving(now time.Time, id string, born int64) (Change, bool) {
	r, ok := l.replicas[id]
	if !ok || r.Born < born {
		l.leaving[id] = incarnation{born: born, since: now}
		return Change{}, false
	}
	if r.Born != born || r.Leaving {
		return Change{}, false
	}
	r.Leaving = true
	change, ok := l.put(now, r, false)
	l.record([]Change{change})
	return change, ok
}

// Leaving returns the replicas of the list that are marked as leaving, ordered by id.
func (l *List) Leaving() []Replica {
	return slices.DeleteFunc(l.All(), func(r Replica) bool { return !r.Leaving })
}

// BeginRestore records that the store was found at now to be restored from an older copy. Replicas whose entries it has
// lost get time to renew them. For staleTime, no replica goes back to an earlier state: one that is draining or gone
// stays so unless it has started again or its entry was written since.
func (l *List) BeginRestore(now time.Time) {
	l.restored = true
	l.staleUntil = now.Add(staleTime)
}

// Update replaces the list by the set of entries that this host read from the store at now and returns what changed.
// Replicas whose entries expired during an outage of the store are kept until the time for the renewal is over.
func (l *List) Update(now time.Time, read []Replica) []Change {
	if l.restored || !l.lastRead.IsZero() && now.Sub(l.lastRead) > outageGap {
		l.outageEnd = now
	}
	if l.restored {
		l.restored = false
		l.staleRevision = lastWritten(read)
	}
	l.lastRead = now
	return l.apply(now, read)
}

// apply replaces the list by the set read and returns what changed; see Update.
func (l *List) apply(now time.Time, read []Replica) []Change {
	var changes []Change
	l.forget(now)
	seen := make(map[string]bool, len(read))
	for _, r := range read {
		stale := now.Before(l.staleUntil) && r.Written <= l.staleRevision
		r.Written, r.Cold = 0, Cold{}
		if g, ok := l.gone[r.ID]; ok && g.born == r.Born && stale {
			continue
		}
		seen[r.ID] = true
		delete(l.missing, r.ID)
		delete(l.gone, r.ID)
		if change, ok := l.put(now, r, stale); ok {
			changes = append(changes, change)
		}
	}
	for id, r := range l.replicas {
		_, kept := l.missing[id]
		if seen[id] {
			continue
		}
		if l.mayBeRenewed(now, id) {
			if !kept {
				changes = append(changes, Change{Replica: r, Kind: ChangeKept})
			}
			continue
		}
		delete(l.replicas, id)
		delete(l.missing, id)
		l.gone[id] = incarnation{born: r.Born, since: now}
		changes = append(changes, Change{Replica: r, Kind: ChangeGone})
	}
	l.record(changes)
	return changes
}

// ConfirmRead records that another host read the same set from the store at the given time, so that the time in which
// this host didn't read isn't taken for an outage.
func (l *List) ConfirmRead(read time.Time) {
	if read.After(l.lastRead) {
		l.lastRead = read
	}
}

// Replace replaces the list by the active replicas of another host, which read them at the given time, and returns what
// changed.
func (l *List) Replace(read time.Time, all []Replica) []Change {
	l.ConfirmRead(read)
	l.outageEnd = time.Time{}
	clear(l.missing)
	return l.apply(read, all)
}

// forget forgets what is remembered of replicas that aren't in the list and have left it, or announced that they leave,
// longer than memoryTime ago.
func (l *List) forget(now time.Time) {
	for _, remembered := range []map[string]incarnation{l.gone, l.leaving} {
		for id, i := range remembered {
			if _, listed := l.replicas[id]; !listed && now.Sub(i.since) > memoryTime {
				delete(remembered, id)
			}
		}
	}
}

// lastWritten returns the highest revision at which one of the entries was written.
func lastWritten(read []Replica) int64 {
	var last int64
	for _, r := range read {
		last = max(last, r.Written)
	}
	return last
}

// put stores r, which was read at now and may be stale, and returns the change, or false if nothing changed.
func (l *List) put(now time.Time, r Replica, stale bool) (Change, bool) {
	old, known := l.replicas[r.ID]
	if stale && old.Draining && old.Born == r.Born {
		r.Draining = true
	}
	switch mark, marked := l.leaving[r.ID]; {
	case marked && mark.born == r.Born:
		r.Leaving = true
	case r.Leaving:
		l.leaving[r.ID] = incarnation{born: r.Born, since: now}
	case marked:
		delete(l.leaving, r.ID)
	}
	l.replicas[r.ID] = r
	switch {
	case !known:
		return Change{Replica: r, Kind: ChangeNew}, true
	case r.Draining && !old.Draining, r.Leaving && !old.Leaving:
		return Change{Replica: r, Kind: ChangeDraining}, true
	case r != old:
		return Change{Replica: r, Kind: ChangeUpdated}, true
	default:
		return Change{}, false
	}
}

// mayBeRenewed reports whether the entry of replica id, which is missing at now, may have expired during an outage and
// may still be renewed. It records that the entry is missing.
func (l *List) mayBeRenewed(now time.Time, id string) bool {
	if l.outageEnd.IsZero() || now.Sub(l.outageEnd) > renewalTime {
		return false
	}
	if _, ok := l.missing[id]; !ok {
		if now != l.outageEnd {
			return false // the entry was there after the outage and was removed since
		}
		l.missing[id] = now
	}
	return true
}

// Get returns the replica with the given id, or false if there is none.
func (l *List) Get(id string) (Replica, bool) {
	r, ok := l.replicas[id]
	return r, ok
}

// All returns the active replicas, ordered by id.
func (l *List) All() []Replica {
	all := make([]Replica, 0, len(l.replicas))
	for _, r := range l.replicas {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Digest returns a hash of the active replicas, which is the same for lists with the same replicas.
func (l *List) Digest() uint64 { return l.digest }

func (l *List) computeDigest() uint64 {
	d := xxhash.New()
	for _, r := range l.All() {
		// A write to the hash never fails.
		_ = r.print(d)
	}
	return d.Sum64()
}
