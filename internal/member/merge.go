package member

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// newer reports whether row a replaces row b: a later start of the process, then a later refutation, then the worse
// state, so that only the host itself can contradict a suspicion.
func newer(a, b protocol.Member) bool {
	if a.Host.Incarnation != b.Host.Incarnation {
		return a.Host.Incarnation > b.Host.Incarnation
	}
	if a.Refutation != b.Refutation {
		return a.Refutation > b.Refutation
	}
	return a.State > b.State
}

// mergeAll takes in rows that a host sent; from another failure domain only rows of its own count.
func (l *List) mergeAll(now time.Time, from protocol.Host, rows []protocol.Member) {
	foreign := from.FailureDomain != l.Self.FailureDomain
	for _, row := range rows {
		if foreign && row.Host.FailureDomain != from.FailureDomain && row.Host.Name != l.Self.Name {
			continue
		}
		l.merge(now, row)
	}
}

// heard takes in that a host has just sent a message.
func (l *List) heard(now time.Time, h protocol.Host) {
	if h.Name == "" || h.Name == l.Self.Name {
		return
	}
	l.merge(now, protocol.Member{Host: h})
}

func (l *List) merge(now time.Time, row protocol.Member) {
	if row.Host.Name == "" || row.State > protocol.StateDead {
		return
	}
	if row.Host.Name == l.Self.Name {
		l.refute(now, row)
		return
	}
	e := l.find(row.Host.Name)
	if e == nil {
		l.insert(now, row)
		return
	}
	if !newer(row, e.Member) {
		return
	}
	own := l.isOwn(row.Host)
	if row.State == protocol.StateSuspect && !own {
		row.State = protocol.StateAlive
		if !newer(row, e.Member) {
			return
		}
	}
	// A host taken for dead elsewhere, as during a partition, gets the time to refute that here too.
	if row.State == protocol.StateDead && own && e.alive() && row.Host.Incarnation == e.Host.Incarnation && !l.off.suspicion {
		row.State = protocol.StateSuspect
		if !newer(row, e.Member) {
			return
		}
	}
	e.Member = row
	l.changed(now, e)
}

// refute contradicts a wrong belief about this host.
func (l *List) refute(now time.Time, row protocol.Member) {
	self := l.self()
	if row.Host.Incarnation != self.Host.Incarnation || !newer(row, self.Member) || l.off.refutation {
		return
	}
	self.Refutation = row.Refutation + 1
	l.changed(now, self)
}

func (l *List) insert(now time.Time, row protocol.Member) {
	if l.off.tombstones && row.State == protocol.StateDead {
		return
	}
	if row.State == protocol.StateSuspect && !l.isOwn(row.Host) {
		row.State = protocol.StateAlive
	}
	i, _ := l.index(row.Host.Name)
	e := &entry{Member: row}
	l.members = slices.Insert(l.members, i, e)
	l.changed(now, e)
}

// changed notes a new row and queues it for the other hosts.
func (l *List) changed(now time.Time, e *entry) {
	l.version++
	if e.State != protocol.StateSuspect {
		l.revision++
	}
	switch e.State {
	case protocol.StateSuspect:
		e.suspectAt = now.Add(l.SuspectTimeout)
	case protocol.StateDead:
		e.diedAt = now
	}
	if e.sends == 0 {
		l.unsent++
	}
	e.sends = l.copies()
	e.fresh = true
	if l.pushAt.IsZero() {
		l.pushAt = now.Add(pushDelay)
	}
}

// suspect begins a suspicion of a member of this failure domain.
func (l *List) suspect(now time.Time, name string) {
	e := l.find(name)
	if e == nil {
		return
	}
	switch e.State {
	case protocol.StateAlive:
		e.State = protocol.StateSuspect
		l.changed(now, e)
		if l.off.suspicion {
			l.kill(now, e)
		}
	case protocol.StateLeaving:
		l.kill(now, e)
	}
}

func (l *List) kill(now time.Time, e *entry) {
	e.State = protocol.StateDead
	l.changed(now, e)
}

// forgetDead drops hosts that have been dead for the retention time.
func (l *List) forgetDead(now time.Time) {
	retention := l.DeadRetention
	if l.off.tombstones {
		retention = 0
	}
	l.members = slices.DeleteFunc(l.members, func(e *entry) bool {
		if e.State != protocol.StateDead || now.Sub(e.diedAt) < retention {
			return false
		}
		if e.sends > 0 {
			l.unsent--
		}
		return true
	})
}
