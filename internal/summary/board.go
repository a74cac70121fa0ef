package summary

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// MaxRowsPerProbe is the maximum number of rows in one heartbeat message between hosts.
const MaxRowsPerProbe = 2

// Maximum numbers of rows in the response to a grant request: rows of the responding host and other rows.
const (
	maxOwnRowsPerResponse   = 4
	maxOtherRowsPerResponse = 6
)

// sendsPerDoubling is how many times each version of a row is sent for each doubling of the number of hosts.
const sendsPerDoubling = 3

// maxFreshAge is the age up to which a row is sent before others.
const maxFreshAge = 2 * time.Second

// partialSendsBetweenFull is the number of consecutive partial sends of a row after which it is sent in full.
const partialSendsBetweenFull = 15

// rateTolerance is the relative difference up to which two rates count as equal.
const rateTolerance = 0.1

// retention is the age after which a row or an aggregate is deleted if no newer one has arrived.
const retention = time.Minute

// Table stores the newest row of each backend server of a failure domain, and aggregates of the others. It is not safe
// for concurrent use.
type Table struct {
	Hosts int // number of entry hosts of the failure domain

	rows       []*rowState // ascending by backend server
	aggregates []aggregateState

	version uint64 // grows with each row that is stored
}

// rowState is the newest row of a backend server with the record of its sends.
type rowState struct {
	row           protocol.Row
	createdAt     time.Time // when the scheduler made the row
	sendCount     int       // sends since the row was stored
	lastSentAt    time.Time // also of earlier rows of the backend server
	fullSendsLeft int       // how many more times the row is to be sent in full
	partialSends  int       // sends without the fields that seldom change since the last full one
}

// Merge stores rows, of this host's own schedulers or from a peer. A row is dropped unless it is newer than the stored
// one of its backend server: by revision if both are of the same scheduler, and otherwise by age.
func (t *Table) Merge(now time.Time, rows []protocol.Row) {
	for _, row := range rows {
		t.postRow(now, row)
	}
}

func (t *Table) postRow(now time.Time, row protocol.Row) {
	createdAt := now.Add(-row.Age)
	row.Age = 0
	i, found := t.search(row.Server)
	if !found {
		// A partial row of an unknown backend server lacks too many fields; a full one follows.
		if !row.Partial {
			t.rows = slices.Insert(t.rows, i, &rowState{row: row, createdAt: createdAt, fullSendsLeft: t.maxSends()})
			t.version++
		}
		return
	}
	s := t.rows[i]
	if s.row.Scheduler == row.Scheduler && row.Revision <= s.row.Revision {
		return
	}
	// Each scheduler numbers its own revisions, so rows of two schedulers are compared by age.
	if s.row.Scheduler != row.Scheduler && !createdAt.After(s.createdAt) {
		return
	}
	t.replace(s, row, createdAt)
}

// replace stores a newer row of a backend server. A partial row gets the missing fields from the stored one. If a full
// row changes these fields, it is sent in full again.
func (t *Table) replace(s *rowState, row protocol.Row, createdAt time.Time) {
	if row.Partial {
		row.Complete(s.row)
	} else if fullFieldsChanged(row, s.row) {
		s.fullSendsLeft = t.maxSends()
	}
	s.row, s.createdAt, s.sendCount = row, createdAt, 0
	t.version++
}

// fullFieldsChanged reports whether a field that partial rows leave out differs between a and b. Rates may differ by
// rateTolerance.
func fullFieldsChanged(a, b protocol.Row) bool {
	return a.CapacityBytes != b.CapacityBytes || a.BytesPerToken != b.BytesPerToken || !slices.Equal(a.Models, b.Models) ||
		math.Abs(a.PrefillRate-b.PrefillRate) > rateTolerance*b.PrefillRate ||
		math.Abs(a.DecodeRate-b.DecodeRate) > rateTolerance*b.DecodeRate
}

// maxSends returns how many times each version of a row is sent. It grows with the logarithm of the number of hosts.
func (t *Table) maxSends() int { return sendsPerDoubling * bits.Len(uint(t.Hosts)) }

// Version returns a number that grows with each row that is stored.
func (t *Table) Version() uint64 { return t.version }

// NextRows returns at most limit rows to send to a peer and counts them as sent: fresh rows before others, and within
// each of these groups those whose last send is the longest ago.
func (t *Table) NextRows(now time.Time, limit int) []protocol.Row {
	t.deleteExpired(now)
	return selectRows(now, t.due(""), limit)
}

// RowsForResponse returns the rows to send with the response to a grant request by the named host: some of the rows
// that its schedulers made, and some of all rows. It counts them as sent.
func (t *Table) RowsForResponse(now time.Time, scheduler string) []protocol.Row {
	own := selectRows(now, t.due(scheduler), maxOwnRowsPerResponse)
	return append(own, t.NextRows(now, maxOtherRowsPerResponse)...)
}

// due returns the rows that have been sent fewer than maxSends times. If scheduler is not empty, it returns only those
// that the schedulers of the host of that name made.
func (t *Table) due(scheduler string) []*rowState {
	due := make([]*rowState, 0, len(t.rows))
	for _, s := range t.rows {
		if s.sendCount < t.maxSends() && (scheduler == "" || s.row.Scheduler == scheduler) {
			due = append(due, s)
		}
	}
	return due
}

// selectRows returns at most limit of the due rows, in the order that NextRows documents, and counts them as sent.
func selectRows(now time.Time, due []*rowState, limit int) []protocol.Row {
	slices.SortStableFunc(due, func(x, y *rowState) int {
		return cmp.Or(freshnessRank(now, x)-freshnessRank(now, y), x.lastSentAt.Compare(y.lastSentAt))
	})
	due = due[:min(limit, len(due))]
	rows := make([]protocol.Row, len(due))
	for i, s := range due {
		s.sendCount++
		s.lastSentAt = now
		rows[i] = s.row
		rows[i].Age = now.Sub(s.createdAt)
		rows[i].Partial = s.nextIsPartial()
	}
	return rows
}

// freshnessRank returns 0 for a fresh row and 1 for an older one.
func freshnessRank(now time.Time, s *rowState) int {
	if now.Sub(s.createdAt) <= maxFreshAge {
		return 0
	}
	return 1
}

// nextIsPartial reports whether the next send of the row is partial, and counts this send. A row is sent in full the
// first times after a change, and then at intervals for hosts that have missed these sends.
func (s *rowState) nextIsPartial() bool {
	if s.fullSendsLeft > 0 || s.partialSends >= partialSendsBetweenFull {
		s.fullSendsLeft = max(s.fullSendsLeft-1, 0)
		s.partialSends = 0
		return false
	}
	s.partialSends++
	return true
}

// Rows returns all rows with their ages set, ascending by backend server. It deletes those older than retention.
func (t *Table) Rows(now time.Time) []protocol.Row {
	t.deleteExpired(now)
	rows := make([]protocol.Row, len(t.rows))
	for i, s := range t.rows {
		rows[i] = s.row
		rows[i].Age = now.Sub(s.createdAt)
	}
	return rows
}

// deleteExpired deletes the rows older than retention.
func (t *Table) deleteExpired(now time.Time) {
	t.rows = slices.DeleteFunc(t.rows, func(s *rowState) bool { return now.Sub(s.createdAt) > retention })
}

// search returns the index of the named backend server in b.rows, or where it would be inserted, and whether it is
// there.
func (t *Table) search(server string) (int, bool) {
	return slices.BinarySearchFunc(t.rows, server, func(s *rowState, name string) int {
		return strings.Compare(s.row.Server, name)
	})
}
