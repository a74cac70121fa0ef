package member

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// sendsPerDoubling is how many more times a changed row is sent for each doubling of the number of members of the
// failure domain.
const sendsPerDoubling = 3

// digests caches the digests of the members for one version of them.
type digests struct {
	version uint64
	all     uint64 // digest of all members
	own     uint64 // digest of the members of this failure domain
}

// fetchState decides when all members are fetched from a host of this failure domain whose members differ.
type fetchState struct {
	mismatches int       // consecutive digests that differed from this host's
	at         time.Time // earliest time of the next fetch
}

// sendCount returns how many times a changed row is sent: enough that it reaches all hosts of the failure domain
// through random receivers.
func (l *List) sendCount() int {
	n := 0
	for _, r := range l.members {
		if r.Host.FailureDomain == l.Self.FailureDomain {
			n++
		}
	}
	return sendsPerDoubling * bits.Len(uint(n))
}

func (l *List) newProbe(to protocol.Host) protocol.Probe {
	return protocol.Probe{
		From:    l.Self,
		Members: l.nextRowsFor(to, maxRowsPerMessage),
		Digest:  l.sharedDigest(to.FailureDomain),
	}
}

// nextRowsFor returns up to limit changed rows to send to a host, those with the most sends left first. They are
// preceded by the row of the receiver itself if this host does not consider it alive, so that it can refute that.
func (l *List) nextRowsFor(to protocol.Host, limit int) []protocol.Member {
	own := to.FailureDomain == l.Self.FailureDomain
	var list []*record
	members := l.members
	if l.rowsToSend == 0 {
		members = nil
	}
	for _, r := range members {
		if r.sendsLeft > 0 && r.Host.Name != to.Name && (own || l.isForOtherDomains(r)) {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *record) int { return b.sendsLeft - a.sendsLeft })
	var rows []protocol.Member
	if r := l.find(to.Name); r != nil && r.State != protocol.StateAlive {
		rows = append(rows, r.Member)
	}
	for _, r := range list[:min(limit, len(list))] {
		if own {
			r.sendsLeft--
		}
		if r.sendsLeft == 0 {
			l.rowsToSend--
		}
		rows = append(rows, r.Member)
	}
	return rows
}

// isForOtherDomains reports whether a row is sent to other failure domains: only rows of this failure domain are, and
// no suspicions.
func (l *List) isForOtherDomains(r *record) bool {
	return r.Host.FailureDomain == l.Self.FailureDomain && r.State != protocol.StateSuspect
}

// allRowsFor returns the rows for a host of the given failure domain that asked for all members. A host of another
// failure domain gets only the rows of this one, with suspected members as alive.
func (l *List) allRowsFor(domain string) []protocol.Member {
	var rows []protocol.Member
	for _, r := range l.members {
		row := r.Member
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

// pushGossip sends changed rows at once to a few random hosts of this failure domain, to suspected hosts and, from an
// edge host, to the edge hosts of the other failure domains. Receivers push the rows that are new to them in turn.
func (l *List) pushGossip() []Action {
	own, foreign := false, false
	for _, r := range l.members {
		own = own || r.unpushed
		foreign = foreign || r.unpushed && l.isForOtherDomains(r)
		r.unpushed = false
	}
	var actions []Action
	if own {
		for _, h := range l.randomLocalPeers(pushTargets, "") {
			actions = append(actions, l.probeAction(h, l.IndirectTimeout))
		}
		actions = append(actions, l.probeSuspects()...)
	}
	if !foreign || !l.isEdge() {
		return actions
	}
	for _, domain := range l.otherDomains() {
		for _, h := range l.EdgeHosts(domain) {
			actions = append(actions, l.probeAction(h, l.IndirectTimeout))
		}
	}
	return actions
}

// probeSuspects probes up to pushTargets suspected hosts of this failure domain, so that they can refute the
// suspicion at once.
func (l *List) probeSuspects() []Action {
	var actions []Action
	for _, r := range l.members {
		if r.State == protocol.StateSuspect && l.isLocalPeer(r.Host) && len(actions) < pushTargets {
			actions = append(actions, l.probeAction(r.Host, l.IndirectTimeout))
		}
	}
	return actions
}

// sharedDigest returns the digest of the members that a host of the given failure domain should know too: all members
// in this failure domain, only the members of this failure domain in any other.
func (l *List) sharedDigest(domain string) uint64 {
	if l.digests.version != l.version {
		l.digests = digests{version: l.version}
		for _, r := range l.members {
			h := r.digest()
			l.digests.all ^= h
			if r.Host.FailureDomain == l.Self.FailureDomain {
				l.digests.own ^= h
			}
		}
	}
	if domain == l.Self.FailureDomain {
		return l.digests.all
	}
	return l.digests.own
}

// otherDomainDigest returns the digest of the members of another failure domain.
func (l *List) otherDomainDigest(domain string) uint64 {
	var sum uint64
	for _, r := range l.members {
		if r.Host.FailureDomain == domain {
			sum ^= r.digest()
		}
	}
	return sum
}

// digest returns a hash of the row. A dead member has the digest 0, like an unknown one, and a suspected member has
// the same digest as an alive one.
func (r *record) digest() uint64 {
	if r.State == protocol.StateDead {
		return 0
	}
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], xxhash.Sum64String(r.Host.Name))
	binary.LittleEndian.PutUint64(b[8:], r.Host.Incarnation<<16+uint64(r.Refutation))
	if r.State == protocol.StateLeaving {
		b[16] = 1
	}
	return xxhash.Sum64(b[:])
}

// compareDigest compares a host's digest with this host's. After mismatchesToFetch consecutive mismatches it fetches
// all members from a host of this failure domain. For another failure domain it only counts the mismatches.
func (l *List) compareDigest(now time.Time, from protocol.Host, digest uint64) []Action {
	if from.Name == "" || digest == 0 {
		return nil
	}
	if from.FailureDomain != l.Self.FailureDomain {
		if c := l.domainLinks[from.FailureDomain]; c != nil {
			c.mismatches++
			if l.otherDomainDigest(from.FailureDomain) == digest {
				c.mismatches = 0
			}
		}
		return nil
	}
	l.fetch.mismatches++
	if digest == l.sharedDigest(from.FailureDomain) {
		l.fetch.mismatches = 0
	}
	if l.fetch.mismatches < mismatchesToFetch || now.Before(l.fetch.at) {
		return nil
	}
	l.fetch = fetchState{at: now.Add(fetchInterval)}
	a := l.probeAction(from, l.IndirectTimeout)
	a.Probe.AllMembers = true
	return []Action{a}
}

// removeUnknownMembers declares the members of another failure domain dead that are missing from an answer with all
// members by a host of that failure domain.
func (l *List) removeUnknownMembers(now time.Time, ack *protocol.Ack) {
	domain := ack.From.FailureDomain
	if domain == l.Self.FailureDomain {
		return
	}
	known := make(map[string]bool, len(ack.Members))
	for _, row := range ack.Members {
		known[row.Host.Name] = true
	}
	for _, r := range l.members {
		if r.Host.FailureDomain == domain && r.State != protocol.StateDead && !known[r.Host.Name] {
			l.markDead(now, r)
		}
	}
}
