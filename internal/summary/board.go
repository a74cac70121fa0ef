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

// briefSendsBetweenFull is the number of consecutive sends of a row in brief after which it is sent in full.
const briefSendsBetweenFull = 15

// rateTolerance is the relative difference up to which two rates count as equal.
const rateTolerance = 0.1

// retention is the age after which a row or an aggregate is deleted if no newer one has arrived.
const retention = time.Minute

// Board stores the newest row of each backend server of a failure domain, and aggregates of the others. It is not safe
// for concurrent use.
type Board struct {
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
	briefSends    int       // sends without the fields that seldom change since the last full one
}

// Post stores rows, of this host's own schedulers or from a peer. A row is dropped unless it is newer than the stored
// one of its backend server: by revision if both are of the same scheduler, and otherwise by age.
func (b *Board) Post(now time.Time, rows []protocol.Row) {
	for _, row := range rows {
		b.postRow(now, row)
	}
}

func (b *Board) postRow(now time.Time, row protocol.Row) {
	createdAt := now.Add(-row.Age)
	row.Age = 0
	i, found := b.search(row.Server)
	if !found {
		// A brief row of an unknown backend server lacks too many fields; a full one follows.
		if !row.Brief {
			b.rows = slices.Insert(b.rows, i, &rowState{row: row, createdAt: createdAt, fullSendsLeft: b.maxSends()})
			b.version++
		}
		return
	}
	s := b.rows[i]
	if s.row.Scheduler == row.Scheduler && row.Revision <= s.row.Revision {
		return
	}
	// Each scheduler numbers its own revisions, so rows of two schedulers are compared by age.
	if s.row.Scheduler != row.Scheduler && !createdAt.After(s.createdAt) {
		return
	}
	b.replace(s, row, createdAt)
}

// replace stores a newer row of a backend server. A brief row gets the missing fields from the stored one. If a full
// row changes these fields, it is sent in full again.
func (b *Board) replace(s *rowState, row protocol.Row, createdAt time.Time) {
	if row.Brief {
		row.Complete(s.row)
	} else if fullFieldsChanged(row, s.row) {
		s.fullSendsLeft = b.maxSends()
	}
	s.row, s.createdAt, s.sendCount = row, createdAt, 0
	b.version++
}

// fullFieldsChanged reports whether a field that brief rows leave out differs between a and b. Rates may differ by
// rateTolerance.
func fullFieldsChanged(a, b protocol.Row) bool {
	return a.CapacityBytes != b.CapacityBytes || a.BytesPerToken != b.BytesPerToken || !slices.Equal(a.Models, b.Models) ||
		math.Abs(a.PrefillRate-b.PrefillRate) > rateTolerance*b.PrefillRate ||
		math.Abs(a.DecodeRate-b.DecodeRate) > rateTolerance*b.DecodeRate
}

// maxSends returns how many times each version of a row is sent. It grows with the logarithm of the number of hosts.
func (b *Board) maxSends() int { return sendsPerDoubling * bits.Len(uint(b.Hosts)) }

// Version returns a number that grows with each row that is stored.
func (b *Board) Version() uint64 { return b.version }

// Pick returns at most limit rows to send to a peer and counts them as sent: fresh rows before others, and within each
// of these groups those whose last send is the longest ago.
func (b *Board) Pick(now time.Time, limit int) []protocol.Row {
	b.deleteExpired(now)
	return selectRows(now, b.due(""), limit)
}

// Answer returns the rows to send with the response to a grant request by the named host: some of the rows that its
// schedulers made, and some of all rows. It counts them as sent.
func (b *Board) Answer(now time.Time, scheduler string) []protocol.Row {
	own := selectRows(now, b.due(scheduler), maxOwnRowsPerResponse)
	return append(own, b.Pick(now, maxOtherRowsPerResponse)...)
}

// due returns the rows that have been sent fewer than maxSends times. If scheduler is not empty, it returns only those
// that the schedulers of the host of that name made.
func (b *Board) due(scheduler string) []*rowState {
	due := make([]*rowState, 0, len(b.rows))
	for _, s := range b.rows {
		if s.sendCount < b.maxSends() && (scheduler == "" || s.row.Scheduler == scheduler) {
			due = append(due, s)
		}
	}
	return due
}

// selectRows returns at most limit of the due rows, in the order that Pick documents, and counts them as sent.
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
		rows[i].Brief = s.nextIsBrief()
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

// nextIsBrief reports whether the next send of the row is brief, and counts this send. A row is sent in full the first
// times after a change, and then at intervals for hosts that have missed these sends.
func (s *rowState) nextIsBrief() bool {
	if s.fullSendsLeft > 0 || s.briefSends >= briefSendsBetweenFull {
		s.fullSendsLeft = max(s.fullSendsLeft-1, 0)
		s.briefSends = 0
		return false
	}
	s.briefSends++
	return true
}

// Rows returns all rows with their ages set, ascending by backend server. It deletes those older than retention.
func (b *Board) Rows(now time.Time) []protocol.Row {
	b.deleteExpired(now)
	rows := make([]protocol.Row, len(b.rows))
	for i, s := range b.rows {
		rows[i] = s.row
		rows[i].Age = now.Sub(s.createdAt)
	}
	return rows
}

// deleteExpired deletes the rows older than retention.
func (b *Board) deleteExpired(now time.Time) {
	b.rows = slices.DeleteFunc(b.rows, func(s *rowState) bool { return now.Sub(s.createdAt) > retention })
}

// search returns the index of the named backend server in b.rows, or where it would be inserted, and whether it is
// there.
func (b *Board) search(server string) (int, bool) {
	return slices.BinarySearchFunc(b.rows, server, func(s *rowState, name string) int {
		return strings.Compare(s.row.Server, name)
	})
}
