package ratelimit

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Statement is what a server has said of its limit, as hosts report it to each other.
type Statement struct {
	Replica   string        `cbor:"1,keyasint"`           // ID
	Born      int64         `cbor:"2,keyasint,omitempty"` // its incarnation
	Limited   bool          `cbor:"3,keyasint,omitempty"` // false: it no longer names a limit
	PerSecond float64       `cbor:"4,keyasint,omitempty"` // requests a second
	Age       time.Duration `cbor:"5,keyasint,omitempty"` // time since it was first known to say so
}

// Statements returns the newest statements about all servers that have ever named a limit, ordered by ID.
func (t *Table) Statements(now time.Time) []Statement {
	statements := make([]Statement, 0, len(t.rows))
	for id, r := range t.rows {
		statements = append(statements, Statement{
			Replica: id, Born: r.born, Limited: r.limited, PerSecond: r.perSecond, Age: now.Sub(r.changedAt),
		})
	}
	slices.SortFunc(statements, func(a, b Statement) int { return strings.Compare(a.Replica, b.Replica) })
	return statements
}

// Merge takes over those statements of another table that are newer than its own, and returns them.
func (t *Table) Merge(now time.Time, statements []Statement) []Statement {
	var taken []Statement
	for _, s := range statements {
		since := now.Add(-max(s.Age, 0))
		if r := t.rows[s.Replica]; r != nil {
			same := r.born == s.Born && r.limited == s.Limited && r.perSecond == s.PerSecond
			if same || r.born > s.Born || r.born == s.Born && !since.After(r.changedAt) {
				continue
			}
		}
		t.put(now, s, since)
		taken = append(taken, s)
	}
	return taken
}

// Digest identifies the statements apart from their ages: two tables with the same digest have the same. It is 0 if there
// are none.
func (t *Table) Digest() uint64 {
	digest := uint64(0)
	for id, r := range t.rows {
		b := binary.BigEndian.AppendUint64([]byte(id), uint64(r.born))
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(r.perSecond))
		if r.limited {
			b = append(b, 1)
		}
		digest ^= xxhash.Sum64(b)
	}
	return digest
}
