package member

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

const copiesPerDoubling = 3

// digests caches the digests of a version of the members.
type digests struct {
	version uint64
	all     uint64
	own     uint64
}

// syncState tells when members are fetched from a host of this failure domain that believes other things.
type syncState struct {
	mismatches int
	at         time.Time
}

// copies is how often a changed row is sent: enough to reach all hosts of the failure domain at random.
func (l *List) copies() int {
	n := 0
	for _, e := range l.members {
		if e.Host.FailureDomain == l.Self.FailureDomain {
			n++
		}
	}
	return copiesPerDoubling * bits.Len(uint(n))
}

func (l *List) message(to protocol.Host) protocol.Probe {
	return protocol.Probe{
		From:    l.Self,
		Members: l.rowsFor(to, maxMembers),
		Digest:  l.digestFor(to.FailureDomain),
	}
}

// rowsFor returns the news for a host, the least often sent first, with what is believed about the host itself.
func (l *List) rowsFor(to protocol.Host, limit int) []protocol.Member {
	own := to.FailureDomain == l.Self.FailureDomain
	var list []*entry
	members := l.members
	if l.unsent == 0 {
		members = nil
	}
	for _, e := range members {
		if e.sends > 0 && e.Host.Name != to.Name && (own || l.isForeignNews(e)) {
			list = append(list, e)
		}
	}
	slices.SortStableFunc(list, func(a, b *entry) int { return b.sends - a.sends })
	var rows []protocol.Member
	if e := l.find(to.Name); e != nil && e.State != protocol.StateAlive {
		rows = append(rows, e.Member)
	}
	for _, e := range list[:min(limit, len(list))] {
		if own {
			e.sends--
		}
		if e.sends == 0 {
			l.unsent--
		}
		rows = append(rows, e.Member)
	}
	return rows
}

// isForeignNews reports whether a row is for other failure domains: only rows of the own one and no suspicions.
func (l *List) isForeignNews(e *entry) bool {
	return e.Host.FailureDomain == l.Self.FailureDomain && e.State != protocol.StateSuspect
}

// all returns the rows for a host that asked for all members.
func (l *List) all(domain string) []protocol.Member {
	var rows []protocol.Member
	for _, e := range l.members {
		row := e.Member
		if domain == l.Self.FailureDomain {
			rows = append(rows, row)
			continue
		}
		if row.State == protocol.StateSuspect {
			row.State = protocol.StateAlive
		}
		if row.Host.FailureDomain == l.Self.FailureDomain {
			rows = append(rows, row)
		}
	}
	return rows
}

// push sends news at once to some hosts, which do the same.
func (l *List) push() []Action {
	own, foreign := false, false
	for _, e := range l.members {
		own = own || e.fresh
		foreign = foreign || e.fresh && l.isForeignNews(e)
		e.fresh = false
	}
	var actions []Action
	if own {
		for _, h := range l.pick(pushes, "") {
			actions = append(actions, l.action(h, l.IndirectTimeout))
		}
		actions = append(actions, l.tellSuspects()...)
	}
	if !foreign || !l.isEdge() {
		return actions
	}
	for _, domain := range l.domains() {
		for _, h := range l.Edges(domain) {
			actions = append(actions, l.action(h, l.IndirectTimeout))
		}
	}
	return actions
}

// tellSuspects gives suspected hosts the chance to refute the suspicion at once.
func (l *List) tellSuspects() []Action {
	var actions []Action
	for _, e := range l.members {
		if e.State == protocol.StateSuspect && l.isOwn(e.Host) && len(actions) < pushes {
			actions = append(actions, l.action(e.Host, l.IndirectTimeout))
		}
	}
	return actions
}

// digestFor returns the digest of what a host of the failure domain should know too.
func (l *List) digestFor(domain string) uint64 {
	if l.digests.version != l.version {
		l.digests = digests{version: l.version}
		for _, e := range l.members {
			h := e.digest()
			l.digests.all ^= h
			if e.Host.FailureDomain == l.Self.FailureDomain {
				l.digests.own ^= h
			}
		}
	}
	if domain == l.Self.FailureDomain {
		return l.digests.all
	}
	return l.digests.own
}

// digestOf returns the digest of the members of another failure domain.
func (l *List) digestOf(domain string) uint64 {
	var sum uint64
	for _, e := range l.members {
		if e.Host.FailureDomain == domain {
			sum ^= e.digest()
		}
	}
	return sum
}

// digest hashes a row; the dead count as unknown and the suspected as alive.
func (e *entry) digest() uint64 {
	if e.State == protocol.StateDead {
		return 0
	}
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64String(e.Host.Name))
	binary.LittleEndian.PutUint64(b[8:], e.Host.Incarnation<<16+uint64(e.Refutation))
	if e.State == protocol.StateLeaving {
		b[16] = 1
	}
	return xxhash.Sum64(b[:])
}

// compare fetches the members of a host whose digest has differed for a while.
func (l *List) compare(now time.Time, from protocol.Host, digest uint64) []Action {
	if from.Name == "" || digest == 0 {
		return nil
	}
	if from.FailureDomain != l.Self.FailureDomain {
		if c := l.crossing[from.FailureDomain]; c != nil {
			c.mismatches++
			if l.digestOf(from.FailureDomain) == digest {
				c.mismatches = 0
			}
		}
		return nil
	}
	l.sync.mismatches++
	if digest == l.digestFor(from.FailureDomain) {
		l.sync.mismatches = 0
	}
	if l.sync.mismatches < syncMismatch || now.Before(l.sync.at) {
		return nil
	}
	l.sync = syncState{at: now.Add(syncInterval)}
	a := l.action(from, l.IndirectTimeout)
	a.Probe.Join = true
	return []Action{a}
}

// reconcile removes members that a host of their own failure domain does not know.
func (l *List) reconcile(now time.Time, ack *protocol.Ack) {
	domain := ack.From.FailureDomain
	if domain == l.Self.FailureDomain {
		return
	}
	known := make(map[string]bool, len(ack.Members))
	for _, row := range ack.Members {
		known[row.Host.Name] = true
	}
	for _, e := range l.members {
		if e.Host.FailureDomain == domain && e.State != protocol.StateDead && !known[e.Host.Name] {
			l.kill(now, e)
		}
	}
}
