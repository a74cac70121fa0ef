package replica

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Replica is one backend server as it last described itself.
type Replica struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	Draining      bool
	Born          int64 // Unix milliseconds of its start; tells incarnations under one id apart
}

const (
	// A gap between good reads beyond this means that entries may have lapsed while the store was away.
	outageGap = 1500 * time.Millisecond
	// How long an entry may take to come back after the store has returned.
	returnTime = 2 * time.Second
)

// List is the set of replicas in force and the changes it went through.
type List struct {
	replicas map[string]Replica
	lastRead time.Time
	returned time.Time            // when the store last came back
	missing  map[string]time.Time // since when an entry has been missing after an outage
}

// Change tells what an update did to one replica.
type Change struct {
	Replica Replica
	Kind    ChangeKind
}

// ChangeKind names what happened to a replica.
type ChangeKind string

// The kinds of changes.
const (
	ChangeNew      ChangeKind = "new"
	ChangeDraining ChangeKind = "draining"
	ChangeMoved    ChangeKind = "moved"
	ChangeGone     ChangeKind = "gone"
)

// NewList makes an empty list.
func NewList() *List {
	return &List{replicas: make(map[string]Replica), missing: make(map[string]time.Time)}
}

// Update takes the full set that was read at now and returns what changed. Entries that lapsed in an outage of the
// store are kept for the time in which they may come back.
func (l *List) Update(now time.Time, read []Replica) []Change {
	if !l.lastRead.IsZero() && now.Sub(l.lastRead) > outageGap {
		l.returned = now
	}
	l.lastRead = now
	return l.apply(now, read)
}

func (l *List) apply(now time.Time, read []Replica) []Change {
	var changes []Change
	seen := make(map[string]bool, len(read))
	for _, r := range read {
		seen[r.ID] = true
		delete(l.missing, r.ID)
		if change, ok := l.take(r); ok {
			changes = append(changes, change)
		}
	}
	for id, r := range l.replicas {
		if seen[id] || l.mayReturn(now, id) {
			continue
		}
		delete(l.replicas, id)
		delete(l.missing, id)
		changes = append(changes, Change{Replica: r, Kind: ChangeGone})
	}
	return changes
}

// Confirm notes that another host read the same set at the given time.
func (l *List) Confirm(read time.Time) {
	if read.After(l.lastRead) {
		l.lastRead = read
	}
}

// Replace takes the set that another host has in force, which it read at the given time, and returns what changed.
func (l *List) Replace(read time.Time, all []Replica) []Change {
	l.Confirm(read)
	l.returned = time.Time{}
	clear(l.missing)
	return l.apply(read, all)
}

func (l *List) take(r Replica) (Change, bool) {
	old, known := l.replicas[r.ID]
	l.replicas[r.ID] = r
	switch {
	case !known:
		return Change{Replica: r, Kind: ChangeNew}, true
	case r.Draining && !old.Draining:
		return Change{Replica: r, Kind: ChangeDraining}, true
	case r != old:
		return Change{Replica: r, Kind: ChangeMoved}, true
	default:
		return Change{}, false
	}
}

func (l *List) mayReturn(now time.Time, id string) bool {
	if l.returned.IsZero() || now.Sub(l.returned) > returnTime {
		return false
	}
	if _, ok := l.missing[id]; !ok {
		if now != l.returned {
			return false // it left after the store had returned
		}
		l.missing[id] = now
	}
	return true
}

// All returns the replicas in force in the order of their ids.
func (l *List) All() []Replica {
	all := make([]Replica, 0, len(l.replicas))
	for _, r := range l.replicas {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Digest is the same for lists with the same replicas in force.
func (l *List) Digest() uint64 {
	d := xxhash.New()
	for _, r := range l.All() {
		// The digest's writes can't fail.
		_, _ = fmt.Fprintf(d, "%+v\n", r)
	}
	return d.Sum64()
}
