package member

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// supersedes reports whether row a replaces row b of the same host. The later incarnation wins, then the later
// refutation, then the worse state, so that only the host itself can refute a suspicion.
func supersedes(a, b protocol.Member) bool {
	if a.Host.Incarnation != b.Host.Incarnation {
		return a.Host.Incarnation > b.Host.Incarnation
	}
	if a.Refutation != b.Refutation {
		return a.Refutation > b.Refutation
	}
	return a.State > b.State
}

// mergeRows merges the rows that a host sent. From a host of another failure domain it accepts only rows of the
// sender's failure domain and of this host itself.
func (l *List) mergeRows(now time.Time, from protocol.Host, rows []protocol.Member) {
	foreign := from.FailureDomain != l.Self.FailureDomain
	for _, row := range rows {
		if foreign && row.Host.FailureDomain != from.FailureDomain && row.Host.Name != l.Self.Name {
			continue
		}
		l.mergeRow(now, row)
	}
}

// mergeSender merges the sender of a message as an alive member.
func (l *List) mergeSender(now time.Time, h protocol.Host) {
	if h.Name == "" || h.Name == l.Self.Name {
		return
	}
	l.mergeRow(now, protocol.Member{Host: h})
}

// mergeRow applies a row if it supersedes the known one. A row that contradicts this host's own state is refuted.
// A suspected host of another failure domain counts as alive.
func (l *List) mergeRow(now time.Time, row protocol.Member) {
	if row.Host.Name == "" || row.State > protocol.StateDead {
		return
	}
	if row.Host.Name == l.Self.Name {
		l.refute(now, row)
		return
	}
	r := l.find(row.Host.Name)
	if r == nil {
		l.insert(now, row)
		return
	}
	if !supersedes(row, r.Member) {
		return
	}
	own := l.isLocalPeer(row.Host)
	if row.State == protocol.StateSuspect && !own {
		row.State = protocol.StateAlive
		if !supersedes(row, r.Member) {
			return
		}
	}
	// Another host may have declared the member dead wrongly, for instance during a partition. The member is only
	// suspected here, so that it has time to refute that.
	if row.State == protocol.StateDead && own && r.alive() && row.Host.Incarnation == r.Host.Incarnation &&
		!l.disabled.suspicion {
		row.State = protocol.StateSuspect
		if !supersedes(row, r.Member) {
			return
		}
	}
	r.Member = row
	l.rowChanged(now, r)
}

// refute increases this host's refutation number above the row's if the row claims a worse state of this incarnation.
func (l *List) refute(now time.Time, row protocol.Member) {
	self := l.self()
	if row.Host.Incarnation != self.Host.Incarnation || !supersedes(row, self.Member) || l.disabled.refutation {
		return
	}
	self.Refutation = row.Refutation + 1
	l.rowChanged(now, self)
}

func (l *List) insert(now time.Time, row protocol.Member) {
	if l.disabled.tombstones && row.State == protocol.StateDead {
		return
	}
	if row.State == protocol.StateSuspect && !l.isLocalPeer(row.Host) {
		row.State = protocol.StateAlive
	}
	i, _ := l.index(row.Host.Name)
	r := &record{Member: row}
	l.members = slices.Insert(l.members, i, r)
	l.rowChanged(now, r)
}

// rowChanged updates the versions, timers and send counters after a member's row has changed, and schedules a push.
func (l *List) rowChanged(now time.Time, r *record) {
	l.version++
	if r.State != protocol.StateSuspect {
		l.revision++
	}
	switch r.State {
	case protocol.StateSuspect:
		r.suspicionEndsAt = now.Add(l.SuspectTimeout)
	case protocol.StateDead:
		r.deadAt = now
	}
	if r.sendsLeft == 0 {
		l.rowsToSend++
	}
	r.sendsLeft = l.sendCount()
	r.unpushed = true
	if l.pushAt.IsZero() {
		l.pushAt = now.Add(pushDelay)
	}
}

// suspect handles that a member of this failure domain did not answer: an alive member becomes suspected, a leaving
// one is declared dead, and any other stays as it is.
func (l *List) suspect(now time.Time, name string) {
	r := l.find(name)
	if r == nil {
		return
	}
	switch r.State {
	case protocol.StateAlive:
		r.State = protocol.StateSuspect
		l.rowChanged(now, r)
		if l.disabled.suspicion {
			l.markDead(now, r)
		}
	case protocol.StateLeaving:
		l.markDead(now, r)
	}
}

func (l *List) markDead(now time.Time, r *record) {
	r.State = protocol.StateDead
	l.rowChanged(now, r)
}

// removeExpiredDead removes the members that have been dead for at least DeadRetention.
func (l *List) removeExpiredDead(now time.Time) {
	retention := l.DeadRetention
	if l.disabled.tombstones {
		retention = 0
	}
	l.members = slices.DeleteFunc(l.members, func(r *record) bool {
		if r.State != protocol.StateDead || now.Sub(r.deadAt) < retention {
			return false
		}
		if r.sendsLeft > 0 {
			l.rowsToSend--
		}
		return true
	})
}
