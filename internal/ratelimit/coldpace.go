package ratelimit

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// All hosts together keep the bound of a cold server although some of them can't talk to each other. Tokens that hosts keep would
// add up: 100 hosts with one unused token each could send 100 requests at once. So tokens aren't kept. They come at regular
// times, from a random one on that differs between hosts, and each can be used for a short window only. Over all hosts no more
// requests are sent in a second than tokens come in a second and a window.
const (
	// A planner of at least this share of the hosts, of which there are at most as many as such shares, spends its share in
	// full.
	largeShare    = 0.25
	largePlanners = 4
	// Other hosts use the part smallShare of their share, since nothing keeps their tokens from coming at the same time: from 89
	// hosts with half of their even share of 15 requests a second, 27 come within a second and a window less often than once
	// in a million.
	smallShare = 0.5
	// Hosts without a share use this part of the even share of one host. They may count in the share of a planner that doesn't
	// reply at the moment, so what they send together comes on top of what planners spend. With one planner that spends all and
	// 89 hosts that send all they may, a second has more than the bound of 27 requests less often than once in 10,000.
	aloneShare = 1.0 / 8
	// Time for which a token can be used. A host that gets few of them needs longer until a request comes.
	largeWindow = 100 * time.Millisecond
	smallWindow = 400 * time.Millisecond
	// The smallest part of the rate that is aimed at, however narrow the bound is.
	minAim = 1.0 / 8
)

// pace is the times at which tokens for one server come.
type pace struct {
	rate float64   // tokens a second; 0 before the first call of advance
	next time.Time // when the earliest token that wasn't used came or comes
}

// advance moves the pace to now, at a new rate. Tokens whose window is over are lost; the times of the others stay. The first
// token comes within the time of one, at the part first of it.
func (p *pace) advance(now time.Time, rate float64, window time.Duration, first float64) {
	if rate <= 0 {
		return
	}
	interval := time.Duration(float64(time.Second) / rate)
	switch {
	case p.rate == 0:
		p.next = now.Add(time.Duration(first * float64(interval)))
	case p.rate != rate && p.next.After(now):
		p.next = now.Add(time.Duration(float64(p.next.Sub(now)) * p.rate / rate))
	}
	p.rate = rate
	if lost := now.Add(-window).Sub(p.next); lost > 0 {
		p.next = p.next.Add(lost - lost%interval + interval)
	}
}

// tokens returns the number of tokens that can be used at now, the time of the last call of advance.
func (p *pace) tokens(now time.Time) int {
	if p.rate == 0 || p.next.After(now) {
		return 0
	}
	return 1 + int(now.Sub(p.next).Seconds()*p.rate)
}

// take uses the earliest token.
func (p *pace) take() {
	if p.rate > 0 {
		p.next = p.next.Add(time.Duration(float64(time.Second) / p.rate))
	}
}

// SetShare sets which share of the rate of each cold server this table may spend, until the given time, and the number of all
// hosts. After it, or with share 0, the table spends what is left to one host alone; nothing if the number isn't known.
func (t *ColdTable) SetShare(share float64, hosts int, until time.Time) {
	t.share, t.hosts, t.shareUntil = share, hosts, until
}

// aim returns the requests a second that all hosts together aim at for a cold server that takes perSecond, so that the bound holds
// in any second: the tokens of large planners, one more for each of them, and those of hosts that send alone meanwhile.
func (t *ColdTable) aim(perSecond float64) float64 {
	bound := perSecond*t.over + t.slack - largePlanners
	most := bound / (1 + largeWindow.Seconds() + aloneShare*(1+smallWindow.Seconds()))
	return max(min(perSecond, most), perSecond*minAim)
}

// rate returns the tokens a second that this table gets for a cold server, and for how long each can be used.
func (t *ColdTable) rate(now time.Time, perSecond float64) (float64, time.Duration) {
	aim := t.aim(perSecond)
	switch {
	case t.hosts <= 0:
		return 0, smallWindow
	case t.share <= 0 || !now.Before(t.shareUntil):
		return aim * aloneShare / float64(t.hosts), smallWindow
	case t.share < largeShare:
		return aim * smallShare * t.share, smallWindow
	default:
		return aim * t.share, largeWindow
	}
}

// advance moves the pace of a cold server to now and returns it.
func (t *ColdTable) advance(now time.Time, server replica.Replica, r *coldRow) *pace {
	rate, window := t.rate(now, t.services[server.Service].PerSecond)
	r.pace.advance(now, rate, window, t.firstToken(server))
	return &r.pace
}

// firstToken returns a number of at least 0 and less than 1 that differs between hosts and servers.
func (t *ColdTable) firstToken(server replica.Replica) float64 {
	b := binary.BigEndian.AppendUint64([]byte(server.ID), t.Seed)
	return float64(xxhash.Sum64(b)>>1) / math.MaxInt64
}

// mayTake reports whether a server isn't cold or may get a request now nevertheless.
func (t *ColdTable) mayTake(now time.Time, server replica.Replica) bool {
	r := t.coldRow(now, server)
	return r == nil || t.advance(now, server, r).tokens(now) > 0
}

// take uses a token for a request to a server and reports whether the server is cold.
func (t *ColdTable) take(now time.Time, server replica.Replica) bool {
	r := t.coldRow(now, server)
	if r == nil {
		return false
	}
	t.advance(now, server, r).take()
	return true
}

// Rate returns the requests a second that this table may send to a cold server; 0 if the server isn't cold.
func (t *ColdTable) Rate(now time.Time, server replica.Replica) float64 {
	rate, _, _ := t.capacity(now, server)
	return rate
}

// capacity returns the tokens a second and those that can be used now for a cold server. It reports false if the server isn't
// cold.
func (t *ColdTable) capacity(now time.Time, server replica.Replica) (rate, tokens float64, cold bool) {
	r := t.coldRow(now, server)
	if r == nil {
		return 0, 0, false
	}
	p := t.advance(now, server, r)
	return p.rate, float64(p.tokens(now)), true
}
