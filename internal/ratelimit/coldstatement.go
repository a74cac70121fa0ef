package ratelimit

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ColdStatement is what a host knows of how long a server stays cold, as hosts report it to each other. Its times are relative
// to when it is sent.
type ColdStatement struct {
	Replica   string        `cbor:"1,keyasint"`           // ID
	Born      int64         `cbor:"2,keyasint,omitempty"` // its incarnation
	Number    uint64        `cbor:"3,keyasint,omitempty"` // identifies the statement; 0 for an assumption
	Remaining time.Duration `cbor:"4,keyasint,omitempty"` // time for which the server stays cold; 0 if it is warm
	Age       time.Duration `cbor:"5,keyasint,omitempty"` // time since it was known
}

// Statements returns what is known of all servers that are or were cold, ordered by ID.
func (t *ColdTable) Statements(now time.Time) []ColdStatement {
	statements := make([]ColdStatement, 0, len(t.rows))
	for id, r := range t.rows {
		statements = append(statements, ColdStatement{
			Replica: id, Born: r.born, Number: r.number, Remaining: max(r.end.Sub(now), 0), Age: now.Sub(r.learnt),
		})
	}
	slices.SortFunc(statements, func(a, b ColdStatement) int { return strings.Compare(a.Replica, b.Replica) })
	return statements
}

// Merge takes over what another host knows better, and returns those of its statements that say something new. The other host
// has sent them at sentAfter or later, by the clock of this one. They may have been on their way for any time since, so a later
// end counts as if they had just been sent, and an earlier one as if they had been sent at sentAfter. Statements about warm servers
// that aren't listed here are ignored, or hosts would remind each other for ever of servers that are gone.
func (t *ColdTable) Merge(now, sentAfter time.Time, statements []ColdStatement) []ColdStatement {
	var taken []ColdStatement
	for _, s := range statements {
		end := now.Add(min(max(s.Remaining, 0), MaxCold))
		r := t.rows[s.Replica]
		if _, seen := t.seen[s.Replica]; !seen && r == nil && !end.After(now) {
			continue
		}
		if r != nil && r.born == s.Born && r.assumed && s.Number == 0 {
			// Who has seen the server first knows best how old it is at least.
			if end.Before(r.end) {
				r.end = end
			}
			continue
		}
		learnt := now.Add(-max(s.Age, 0))
		if r != nil && !r.yields(now, end, learnt, sentAfter.Add(-max(s.Age, 0)), s) {
			continue
		}
		t.put(s.Replica, &coldRow{born: s.Born, number: s.Number, assumed: s.Number == 0, end: end, learnt: learnt})
		if s.Number != 0 {
			taken = append(taken, s)
		}
	}
	return taken
}

// yields reports whether a statement counts instead of r. It was learnt between learntAfter and learnt.
func (r *coldRow) yields(now, end, learnt, learntAfter time.Time, s ColdStatement) bool {
	switch {
	case r.born != s.Born:
		return r.born < s.Born
	case r.number == s.Number || s.Number == 0:
		return false
	case r.assumed:
		return true
	case !end.After(now) && !r.end.After(now):
		return s.Number > r.number // neither matters any more: all hosts keep the same one
	case end.After(r.end):
		return learnt.After(r.learnt)
	default:
		return learntAfter.After(r.learnt)
	}
}

// Digest identifies the statements apart from their times, but for whether an assumption has ended: two tables with the same
// digest know the same. It is 0 if there are none.
func (t *ColdTable) Digest(now time.Time) uint64 {
	digest := uint64(0)
	for id, r := range t.rows {
		b := binary.BigEndian.AppendUint64([]byte(id), uint64(r.born))
		b = binary.BigEndian.AppendUint64(b, r.number)
		if r.assumed && !r.end.After(now) {
			b = append(b, 1)
		}
		digest ^= xxhash.Sum64(b)
	}
	return digest
}
