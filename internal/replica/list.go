package replica

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/uptime"
)

const (
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
	available uptime.Interval        // of the store, by the reads of which this host knows
	failed    time.Time              // when the latest read of this host was started that failed
	gone      map[string]incarnation // replicas that have left the list
	leaving   map[string]incarnation // replicas that have announced that they leave
	// Until staleUntil, entries that were last written at staleRevision or before may be of an older copy from which the
	// store was restored.
	staleUntil    time.Time
	staleRevision int64
	restored      bool            // the store was restored and this host hasn't read it since
	digest        uint64          // of replicas
	superseded    map[string]bool // IDs of those at whose addresses replicas of the list have started later
	steps         []step          // latest changes, oldest first
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
	ChangeRenewed  ChangeKind = "renewed"  // one that was kept has an entry again
	ChangeGone     ChangeKind = "gone"
)

// NewList returns an empty list.
func NewList() *List {
	l := &List{
		replicas: make(map[string]Replica), gone: make(map[string]incarnation), leaving: make(map[string]incarnation),
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

// RecordFailure records that a read of this host failed, which was started at the given time.
func (l *List) RecordFailure(started time.Time) { l.failed = started }

// Available returns the time in which the store was available, as far as this host knows.
func (l *List) Available() uptime.Interval { return l.available }

// Update replaces the list by the set of entries that this host read from the store, in the given era, at now, and returns
// what changed. Replicas whose entries may have expired during an outage of the store are kept until the time for the renewal
// is over.
func (l *List) Update(now time.Time, era int64, read []Replica) []Change {
	available, outage := l.available.Read(now, era, l.failed)
	l.available = available
	if l.restored {
		l.restored = false
		l.staleRevision = lastWritten(read)
	}
	changes, taken := l.apply(now, read)
	for id, r := range l.replicas {
		switch {
		case taken[id]:
		case outage && !r.Unlisted:
			changes = append(changes, l.keep(r))
		case outage || r.Unlisted && now.Sub(available.Since) <= renewalTime:
		default:
			changes = append(changes, l.remove(now, r))
		}
	}
	l.record(changes)
	return changes
}

// apply takes over replicas that were read at now. It returns what changed and the IDs of those that it has taken over.
func (l *List) apply(now time.Time, read []Replica) (changes []Change, taken map[string]bool) {
	l.forget(now)
	taken = make(map[string]bool, len(read))
	for _, r := range read {
		stale := now.Before(l.staleUntil) && r.Written <= l.staleRevision
		r.Written, r.Cold = 0, Cold{}
		if stale && l.isGone(r) {
			continue
		}
		taken[r.ID] = true
		delete(l.gone, r.ID)
		if change, ok := l.put(now, r, stale); ok {
			changes = append(changes, change)
		}
	}
	return changes, taken
}

// keep keeps r, which has no entry.
func (l *List) keep(r Replica) Change {
	r.Unlisted = true
	l.replicas[r.ID] = r
	return Change{Replica: r, Kind: ChangeKept}
}

// remove removes r from the list.
func (l *List) remove(now time.Time, r Replica) Change {
	delete(l.replicas, r.ID)
	l.gone[r.ID] = incarnation{born: r.Born, since: now}
	return Change{Replica: r, Kind: ChangeGone}
}

// isGone reports whether this incarnation of r has left the list.
func (l *List) isGone(r Replica) bool {
	g, ok := l.gone[r.ID]
	return ok && g.born == r.Born
}

// HasLeft reports whether this incarnation of r takes no new requests: it drains, has announced that it leaves, has left the list,
// or a replica that has started later is listed at its address.
func (l *List) HasLeft(r Replica) bool {
	if known, ok := l.replicas[r.ID]; ok && known.Born == r.Born {
		return !known.TakesRequests() || l.superseded[r.ID]
	}
	return l.isGone(r)
}

// Join takes over when another host, which may have another set, knows the store to have been available, and returns what
// changed; see Confirm. A host that has heard nothing since the store was restored learns nothing.
func (l *List) Join(available uptime.Interval) []Change {
	if available.Era != l.available.Era {
		return nil
	}
	return l.Confirm(available)
}

// Confirm records that another host has read the same set at the end of the given time, in which it knows the store to have
// been available, and returns what changed: if the store was available all the while, replicas without an entry haven't lost
// it by an outage.
func (l *List) Confirm(available uptime.Interval) []Change {
	if !l.extend(available) {
		return nil
	}
	var changes []Change
	for _, r := range l.replicas {
		if r.Unlisted {
			changes = append(changes, l.remove(l.available.Until, r))
		}
	}
	l.record(changes)
	return changes
}

// extend takes over when another host knows the store to have been available, and reports whether an outage that this host
// had noticed was none.
func (l *List) extend(available uptime.Interval) bool {
	before := l.available
	l.available = before.Join(available)
	return l.available.Refutes(before)
}

// Replace replaces the list by the replicas of another host, which read them at the end of the given time in which it knows
// the store to have been available, and returns what changed. A replica that the other host keeps without an entry is gone
// if this host knows that it has left, or that there was no outage.
func (l *List) Replace(available uptime.Interval, all []Replica) []Change {
	l.extend(available)
	noOutage := l.available.Refutes(available)
	all = slices.DeleteFunc(slices.Clone(all), func(r Replica) bool { return r.Unlisted && (noOutage || l.isGone(r)) })
	changes, taken := l.apply(available.Until, all)
	for id, r := range l.replicas {
		if !taken[id] {
			changes = append(changes, l.remove(available.Until, r))
		}
	}
	l.record(changes)
	return changes
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
	case r.Unlisted && !old.Unlisted:
		return Change{Replica: r, Kind: ChangeKept}, true
	case r.Draining && !old.Draining, r.Leaving && !old.Leaving:
		return Change{Replica: r, Kind: ChangeDraining}, true
	case old.Unlisted && !r.Unlisted:
		return Change{Replica: r, Kind: ChangeRenewed}, true
	case r != old:
		return Change{Replica: r, Kind: ChangeUpdated}, true
	default:
		return Change{}, false
	}
}

// Get returns the replica with the given id, or false if there is none.
func (l *List) Get(id string) (Replica, bool) {
	r, ok := l.replicas[id]
	return r, ok
}

// Present returns the replicas of the list, ordered by id, but for those at whose addresses others have started later: they have
// gone, though their entries remain for some time.
func (l *List) Present() []Replica {
	return slices.DeleteFunc(l.All(), func(r Replica) bool { return l.superseded[r.ID] })
}

// findSuperseded returns the IDs of the replicas at whose addresses others of the list have started later. One whose start isn't
// known says nothing.
func (l *List) findSuperseded() map[string]bool {
	latest := make(map[netip.AddrPort]int64, len(l.replicas))
	for _, r := range l.replicas {
		latest[r.Address] = max(latest[r.Address], r.Born)
	}
	superseded := make(map[string]bool)
	for id, r := range l.replicas {
		if r.Born > 0 && r.Born < latest[r.Address] {
			superseded[id] = true
		}
	}
	return superseded
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
