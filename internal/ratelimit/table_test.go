package ratelimit

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

var (
	start  = time.Unix(1000, 0)
	server = replica.Replica{ID: "i-1", Born: 7}
)

func at(d time.Duration) time.Time { return start.Add(d) }

// take takes as many tokens as there are, at short intervals for the given time, and returns the times.
func take(t *Table, from, length time.Duration) []time.Duration {
	var taken []time.Duration
	for d := from; d < from+length; d += 10 * time.Millisecond {
		t.SetShare(at(d), t.share, at(d).Add(time.Second))
		for t.MayTake(at(d), server) {
			t.Take(at(d), server)
			taken = append(taken, d)
		}
	}
	return taken
}

// named returns a table whose server has named a limit at start.
func named(perSecond, share float64) *Table {
	t := &Table{}
	t.Named(start, server, start, true, perSecond)
	t.SetShare(start, share, at(time.Second))
	return t
}

// Guards against more requests than a limit allows at the edge of two windows, and against far fewer.
func TestAnyWindowKeepsLimit(t *testing.T) {
	const window = 4 * time.Second
	for _, perSecond := range []float64{0.5, 1, 2.6, 10, 80} {
		table := named(perSecond, 1)
		idle := take(table, 0, 10*time.Second)
		// A pause in which tokens gather, and then all at once.
		taken := append(idle, take(table, 15*time.Second, 10*time.Second)...)
		for i := range taken {
			n := 0
			for _, d := range taken[i:] {
				if d-taken[i] <= window {
					n++
				}
			}
			if most := perSecond*(window+burstTime).Seconds() + 2; float64(n) > most {
				t.Errorf("limit %v: %d in %v from %v on, want %v at most", perSecond, n, window, taken[i], most)
			}
		}
		if least := perSecond*20 - 2; float64(len(taken)) < least {
			t.Errorf("limit %v: %d in 20 s, want %v at least", perSecond, len(taken), least)
		}
	}
}

// A table that may spend no share, or whose share has ended, gives no tokens: a host that was frozen, or one that is
// cut off from its planner.
func TestShareEnds(t *testing.T) {
	table := named(10, 0)
	if taken := take(table, 0, 5*time.Second); len(taken) != 0 {
		t.Errorf("%d tokens without a share", len(taken))
	}
	table = named(10, 1)
	if !table.MayTake(at(900*time.Millisecond), server) {
		t.Error("no token although the share holds")
	}
	if table.MayTake(at(5*time.Second), server) || table.Rate(at(5*time.Second), server) != 0 {
		t.Error("the share outlasts its end")
	}
}

// Responses overtake each other. Those to requests sent before a limit was known don't lift or raise it.
func TestOnlyLaterRequestsRaiseLimit(t *testing.T) {
	table := named(2, 1)
	steps := []struct {
		name      string
		at, sent  time.Duration
		limited   bool
		perSecond float64
		want      float64 // limit after the step; 0 for none
	}{
		{"earlier request, no limit", time.Second, 0, false, 0, 2},
		{"earlier request, higher", time.Second, 0, true, 5, 2},
		{"earlier request, lower", 2 * time.Second, 0, true, 1, 1},
		{"request before the lower limit, higher", 3 * time.Second, time.Second, true, 2, 1},
		{"later request, higher", 4 * time.Second, 3 * time.Second, true, 3, 3},
		{"later request, none", 6 * time.Second, 5 * time.Second, false, 0, 0},
		{"named again", 7 * time.Second, time.Second, true, 4, 4},
	}
	for _, s := range steps {
		table.Named(at(s.at), server, at(s.sent), s.limited, s.perSecond)
		got := 0.0
		if r := table.limitedRow(server); r != nil {
			got = r.perSecond
		}
		if got != s.want {
			t.Errorf("%s: limit %v, want %v", s.name, got, s.want)
		}
	}
}

// The limit belongs to one incarnation of a replica.
func TestLimitEndsWithIncarnation(t *testing.T) {
	table := named(1, 1)
	next := server
	next.Born++
	if table.Limited(next) || !table.MayTake(start, next) {
		t.Error("the next incarnation is limited")
	}
	table.Named(at(time.Second), next, at(time.Second), true, 3)
	if table.Named(at(2*time.Second), server, at(2*time.Second), true, 1) || !table.Limited(next) {
		t.Error("a late response of the earlier incarnation counts")
	}
	table.Retain(at(time.Hour), nil)
	if table.Count() != 0 || table.Digest() != 0 {
		t.Error("a replica that is gone is remembered for good")
	}
}

// Of the statements of two hosts the newer one counts at both, whichever comes first.
func TestNewestStatementCounts(t *testing.T) {
	older, newer := named(5, 1), &Table{}
	newer.Named(at(time.Second), server, at(time.Second), true, 2)
	now := at(2 * time.Second)
	fromOlder, fromNewer := older.Statements(now), newer.Statements(now)
	if len(newer.Merge(now, fromOlder)) != 0 || len(older.Merge(now, fromNewer)) != 1 {
		t.Error("the older statement was taken over, or the newer one wasn't")
	}
	if older.Digest() != newer.Digest() || older.rows["i-1"].perSecond != 2 {
		t.Errorf("limits %v and %v after the exchange", older.rows["i-1"].perSecond, newer.rows["i-1"].perSecond)
	}
	newer.Named(at(3*time.Second), server, now, false, 0)
	older.Merge(at(3*time.Second), newer.Statements(at(3*time.Second)))
	older.Merge(at(3*time.Second), fromNewer)
	if older.Limited(server) {
		t.Error("a limit that was lifted holds at the other host")
	}
}

// Several tables that get shares of a limit at the same time, or one after the other, have one token together at once: a new
// planner finds out whether the limit still holds.
func TestNewSharesHoldOneTokenTogether(t *testing.T) {
	sum := 0.0
	for _, share := range []float64{0.5, 0.3, 0.2} {
		table := &Table{}
		table.Named(start, server, start, true, 0)
		table.SetShare(at(time.Hour), share, at(2*time.Hour))
		table.SetShare(at(time.Hour), share, at(2*time.Hour))
		sum += table.Tokens(at(time.Hour), server)
	}
	if sum < 0.99 || sum > 1.01 {
		t.Errorf("%v tokens at once, want 1", sum)
	}
}
