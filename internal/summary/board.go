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

// MaxRowsPerProbe bounds the rows in one message between hosts.
const MaxRowsPerProbe = 2

// Rows that an answer to an ask carries at most.
const (
	ownRowsPerAnswer   = 4
	otherRowsPerAnswer = 6
)

// Each row is passed on this many times for each doubling of the number of hosts.
const repeatsPerDoubling = 3

// Rows up to this age are passed on before others.
const freshAge = 2 * time.Second

// So many brief rows go out before a full one.
const briefBetweenFull = 15

// Rates that differ by less than this share count as equal.
const rateTolerance = 0.1

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
	row    protocol.Row
	made   time.Time
	sends  int
	picked time.Time
	full   int // times that the row is still to be sent in full
	brief  int // times that it was sent without what seldom changes
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
		// A brief row of an unknown backend server says too little; a full one follows.
		if !row.Brief {
			b.notes = slices.Insert(b.notes, i, &note{row: row, made: made, full: b.repeats()})
			b.version++
		}
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
	b.replace(n, row, made)
}

func (b *Board) replace(n *note, row protocol.Row, made time.Time) {
	if row.Brief {
		row.Complete(n.row)
	} else if changed(row, n.row) {
		n.full = b.repeats()
	}
	n.row, n.made, n.sends = row, made, 0
	b.version++
}

// Reports whether what brief rows leave out has changed.
func changed(a, b protocol.Row) bool {
	return a.CapacityBytes != b.CapacityBytes || a.BytesPerToken != b.BytesPerToken || !slices.Equal(a.Models, b.Models) ||
		math.Abs(a.PrefillRate-b.PrefillRate) > rateTolerance*b.PrefillRate ||
		math.Abs(a.DecodeRate-b.DecodeRate) > rateTolerance*b.DecodeRate
}

func (b *Board) repeats() int { return repeatsPerDoubling * bits.Len(uint(b.Hosts)) }

// Version grows with each row that is taken in.
func (b *Board) Version() uint64 { return b.version }

// Pick returns at most limit rows to pass on: fresh ones first, and of those the ones that were passed on longest ago.
func (b *Board) Pick(now time.Time, limit int) []protocol.Row {
	b.forget(now)
	return pick(now, b.due(""), limit)
}

// Answer returns the rows that go with an answer of the named scheduler's host: its own, and a few fresh ones.
func (b *Board) Answer(now time.Time, scheduler string) []protocol.Row {
	own := pick(now, b.due(scheduler), ownRowsPerAnswer)
	return append(own, b.Pick(now, otherRowsPerAnswer)...)
}

// Returns the notes that are to be passed on, only those of one scheduler if it is given.
func (b *Board) due(scheduler string) []*note {
	due := make([]*note, 0, len(b.notes))
	for _, n := range b.notes {
		if n.sends < b.repeats() && (scheduler == "" || n.row.Scheduler == scheduler) {
			due = append(due, n)
		}
	}
	return due
}

func pick(now time.Time, due []*note, limit int) []protocol.Row {
	slices.SortStableFunc(due, func(x, y *note) int {
		return cmp.Or(freshness(now, x)-freshness(now, y), x.picked.Compare(y.picked))
	})
	due = due[:min(limit, len(due))]
	rows := make([]protocol.Row, len(due))
	for i, n := range due {
		n.sends++
		n.picked = now
		rows[i] = n.row
		rows[i].Age = now.Sub(n.made)
		rows[i].Brief = n.sendBrief()
	}
	return rows
}

func freshness(now time.Time, n *note) int {
	if now.Sub(n.made) <= freshAge {
		return 0
	}
	return 1
}

// A full row goes out while it is news, and now and then for hosts that have missed it.
func (n *note) sendBrief() bool {
	if n.full > 0 || n.brief >= briefBetweenFull {
		n.full = max(n.full-1, 0)
		n.brief = 0
		return false
	}
	n.brief++
	return true
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
