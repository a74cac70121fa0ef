package summary

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Each row is passed on this many times for each doubling of the number of hosts.
const repeatsPerDoubling = 3

// A row is forgotten when nothing was heard of it for this long.
const forgetAfter = time.Minute

// Board holds rows by backend server; it is not safe for concurrent use.
type Board struct {
	Hosts int // entry hosts of the failure domain

	notes  []*note // ascending by backend server
	remote []remote

	version uint64
}

type note struct {
	row   protocol.Row
	made  time.Time
	sends int
}

// Post takes in rows, of this host's own schedulers or from a peer; older rows of one scheduler are dropped.
func (b *Board) Post(now time.Time, rows []protocol.Row) {
	for _, row := range rows {
		b.post(now, row)
	}
}

func (b *Board) post(now time.Time, row protocol.Row) {
	made := now.Add(-row.Age)
	row.Age = 0
	i, found := b.search(row.Server)
	if !found {
		b.notes = slices.Insert(b.notes, i, &note{row: row, made: made})
		b.version++
		return
	}
	n := b.notes[i]
	if n.row.Scheduler == row.Scheduler && row.Revision <= n.row.Revision {
		return
	}
	// Rows of another scheduler have revisions of their own, so that their age decides.
	if n.row.Scheduler != row.Scheduler && !made.After(n.made) {
		return
	}
	*n = note{row: row, made: made}
	b.version++
}

// Version grows with each row that is taken in.
func (b *Board) Version() uint64 { return b.version }

// Pick returns at most limit rows to pass on, the least often sent first.
func (b *Board) Pick(now time.Time, limit int) []protocol.Row {
	b.forget(now)
	repeats := repeatsPerDoubling * bits.Len(uint(b.Hosts))
	due := make([]*note, 0, len(b.notes))
	for _, n := range b.notes {
		if n.sends < repeats {
			due = append(due, n)
		}
	}
	slices.SortStableFunc(due, func(x, y *note) int { return x.sends - y.sends })
	due = due[:min(limit, len(due))]
	rows := make([]protocol.Row, len(due))
	for i, n := range due {
		n.sends++
		rows[i] = n.row
		rows[i].Age = now.Sub(n.made)
	}
	return rows
}

// Rows returns all rows with their age set, ascending by backend server.
func (b *Board) Rows(now time.Time) []protocol.Row {
	b.forget(now)
	rows := make([]protocol.Row, len(b.notes))
	for i, n := range b.notes {
		rows[i] = n.row
		rows[i].Age = now.Sub(n.made)
	}
	return rows
}

func (b *Board) forget(now time.Time) {
	b.notes = slices.DeleteFunc(b.notes, func(n *note) bool { return now.Sub(n.made) > forgetAfter })
}

func (b *Board) search(server string) (int, bool) {
	return slices.BinarySearchFunc(b.notes, server, func(n *note, name string) int {
		return strings.Compare(n.row.Server, name)
	})
}
