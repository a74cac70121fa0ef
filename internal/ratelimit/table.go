package ratelimit

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	// Requests a second that a server with a lower limit gets nevertheless, since only its responses show whether the
	// limit still holds.
	minRate = 0.25
	// Time for whose tokens a bucket has room, beside the one token that each bucket has room for.
	burstTime = 250 * time.Millisecond
	// Time for which a limit is kept of a server that isn't in the list of replicas.
	unlistedRetention = time.Minute
)

// Table holds the limits that backend servers have named, and a token bucket for each. It isn't safe for concurrent use;
// all times passed to its methods must come from the same clock.
type Table struct {
	// Cold holds the limits of servers that have just started, which end by themselves.
	Cold ColdTable

	rows       map[string]*row // by replica ID
	share      float64         // see SetShare
	shareUntil time.Time       // see SetShare
}

// row is what one incarnation of a server has said of its limit, and the tokens of its bucket.
type row struct {
	born      int64
	limited   bool
	perSecond float64   // limit in requests a second; only if limited
	changedAt time.Time // when the server was first known to say so
	listedAt  time.Time // when the incarnation was last in the list of replicas
	tokens    float64   // at filledAt
	filledAt  time.Time
}

// SetShare sets which share of each limit this table may spend, until the given time; after it, the share is 0. A table that
// had no share gets as much of a token for each server: one request for all tables together, which shows whether the limit
// still holds.
func (t *Table) SetShare(now time.Time, share float64, until time.Time) {
	hadNone := t.share == 0
	for _, r := range t.rows {
		t.fill(now, r)
	}
	t.share, t.shareUntil = share, until
	if !hadNone {
		return
	}
	for _, r := range t.rows {
		r.tokens = min(r.tokens+share, t.room(r))
	}
}

// Named records what a response said of its server's limit: that it is perSecond requests a second or, if limited isn't
// set, that there is none. The request was sent at sentAt. It reports whether this changes anything. Responses overtake
// each other, so one that raises or lifts a limit counts only if its request was sent after the limit was known.
func (t *Table) Named(now time.Time, server replica.Replica, sentAt time.Time, limited bool, perSecond float64) bool {
	r := t.rows[server.ID]
	same := r != nil && r.born == server.Born
	switch {
	case !same && (!limited || r != nil && r.born > server.Born),
		same && r.limited == limited && r.perSecond == perSecond:
		return false
	case same && r.limited && (!limited || perSecond > r.perSecond) && !sentAt.After(r.changedAt):
		return false
	}
	t.put(now, Statement{Replica: server.ID, Born: server.Born, Limited: limited, PerSecond: perSecond}, now)
	return true
}

// put stores a statement that holds since the given time.
func (t *Table) put(now time.Time, s Statement, since time.Time) {
	if t.rows == nil {
		t.rows = make(map[string]*row)
	}
	r := t.rows[s.Replica]
	if r == nil || r.born != s.Born || !r.limited {
		// What the server got lately isn't known, so its bucket begins empty.
		r = &row{born: s.Born, listedAt: now, filledAt: now}
		t.rows[s.Replica] = r
	}
	t.fill(now, r)
	r.limited, r.perSecond, r.changedAt = s.Limited, s.PerSecond, since
	r.tokens = min(r.tokens, t.room(r))
}

// Limited reports whether this incarnation of a server limits the rate of its requests.
func (t *Table) Limited(server replica.Replica) bool { return t.limitedRow(server) != nil }

// limitedRow returns the row of this incarnation of a server if it limits the rate of its requests, or nil.
func (t *Table) limitedRow(server replica.Replica) *row {
	if len(t.rows) == 0 {
		return nil
	}
	if r := t.rows[server.ID]; r != nil && r.born == server.Born && r.limited {
		return r
	}
	return nil
}

// rate returns the tokens a second that the bucket of r gets for this table's share.
func (t *Table) rate(r *row) float64 { return max(r.perSecond, minRate) * t.share }

// room returns the largest number of tokens in the bucket of r.
func (t *Table) room(r *row) float64 {
	return 1 + max(r.perSecond, minRate)*t.share*burstTime.Seconds()
}

// fill adds the tokens of the time since the bucket of r was filled last. The time after the end of the share adds none.
func (t *Table) fill(now time.Time, r *row) {
	end := now
	if t.shareUntil.Before(end) {
		end = t.shareUntil
	}
	if elapsed := end.Sub(r.filledAt); elapsed > 0 {
		r.tokens = min(r.tokens+t.rate(r)*elapsed.Seconds(), t.room(r))
	}
	r.filledAt = now
}

// MayTake reports whether a server may get a request now: it isn't limited, or its bucket holds a token, and the same holds
// if it is cold.
func (t *Table) MayTake(now time.Time, server replica.Replica) bool {
	if !t.Cold.mayTake(now, server) {
		return false
	}
	r := t.limitedRow(server)
	if r == nil {
		return true
	}
	t.fill(now, r)
	return r.tokens >= 1 && t.share > 0 && now.Before(t.shareUntil)
}

// Take takes a token for a request to a server and reports whether the server is limited or cold.
func (t *Table) Take(now time.Time, server replica.Replica) bool {
	cold := t.Cold.take(now, server)
	r := t.limitedRow(server)
	if r == nil {
		return cold
	}
	t.fill(now, r)
	r.tokens--
	return true
}

// Rate returns the requests a second that this table may send to a limited or cold server; 0 if the server is neither, or
// if it is limited and the share has ended.
func (t *Table) Rate(now time.Time, server replica.Replica) float64 {
	r := t.limitedRow(server)
	coldRate, _, cold := t.Cold.capacity(now, server)
	switch {
	case r == nil:
		return coldRate
	case !now.Before(t.shareUntil):
		return 0
	case cold:
		return min(t.rate(r), coldRate)
	}
	return t.rate(r)
}

// Tokens returns the tokens for a limited or cold server; 0 if the server is neither.
func (t *Table) Tokens(now time.Time, server replica.Replica) float64 {
	r := t.limitedRow(server)
	_, coldTokens, cold := t.Cold.capacity(now, server)
	if r == nil {
		return coldTokens
	}
	t.fill(now, r)
	if cold {
		return min(r.tokens, coldTokens)
	}
	return r.tokens
}

// Count returns the number of servers that limit the rate of their requests.
func (t *Table) Count() int {
	n := 0
	for _, r := range t.rows {
		if r.limited {
			n++
		}
	}
	return n
}

// Retain notes which replicas are listed, and forgets the limits of those that have not been for unlistedRetention.
func (t *Table) Retain(now time.Time, listed []replica.Replica) {
	if len(t.rows) == 0 {
		return
	}
	for _, l := range listed {
		if r := t.rows[l.ID]; r != nil && r.born == l.Born {
			r.listedAt = now
		}
	}
	for id, r := range t.rows {
		if now.Sub(r.listedAt) > unlistedRetention {
			delete(t.rows, id)
		}
	}
}
