package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Merge adds the suspicions that another host has sent and reports whether they held new evidence. The caller forwards
// new evidence to other hosts once.
//
// A clearing, the time of a complete response, is not counted as new evidence: it is sent as an age, so that each host
// computes a later time for it than the host before, and hosts would forward it without end.
func (l *Ledger) Merge(now time.Time, gossip []protocol.Suspicion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	before := l.evidenceCount
	for i := range gossip {
		l.mergeSuspicion(now, &gossip[i])
	}
	return l.evidenceCount != before
}

// mergeSuspicion adds one suspicion of another host. One without a content only reports crashes.
func (l *Ledger) mergeSuspicion(now time.Time, n *protocol.Suspicion) {
	k := content{n.Workspace, n.Fingerprint}
	for _, m := range n.Causes {
		at := now.Add(-m.Age)
		c := l.resolve(crashID{m.Server, m.Epoch}, at)
		record := l.recordCrash(c, at, now)
		if k != (content{}) {
			l.addCause(now, k, record, cause{crash: c, began: now.Add(-m.Began), ran: m.Ran})
		}
	}
	s := l.suspicions[k]
	if s == nil {
		return
	}
	if n.Cleared > 0 {
		l.clearCauses(now, k, s, now.Add(-n.Cleared))
	}
	expiry := now.Add(min(n.Expiry, cmp.Or(l.Expiry, DefaultExpiry)))
	if n.Expiry > 0 {
		s.expiry = expiry
	}
	if n.Alone && n.Crashes >= crashesToQuarantine && !s.quarantined {
		s.quarantined = true
		l.recordEvidence(now, s)
		l.attributeCrashes(k, s)
	}
}

// attributeCrashes records a quarantined content as the cause of its crashes that are not yet attributed.
func (l *Ledger) attributeCrashes(k content, s *suspicion) {
	for _, c := range s.causes {
		if record := l.crashes[c.crash]; record != nil && record.explainedBy == nil {
			record.explainedBy = &k
		}
	}
}

// Recent returns the suspicions to send to a peer, at most maxReported: first those that changed within recentChange,
// then, in rotation, older ones. To these it adds the recent crashes of backend servers that ran nothing.
func (l *Ledger) Recent(now time.Time) []protocol.Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	if len(l.crashes) == 0 {
		return nil
	}
	l.quarantineProven(now)
	var selected, older []content
	for k, s := range l.suspicions {
		switch {
		case now.Sub(s.changed) <= recentChange:
			selected = append(selected, k)
		case s.quarantined || len(s.causes) > 0:
			older = append(older, k)
		}
	}
	if len(selected) > maxReported {
		slices.SortFunc(selected, l.compareUrgency)
		selected = selected[:maxReported]
	}
	slices.SortFunc(older, compareContents)
	for range min(len(older), maxReported-len(selected)) {
		l.cursor++
		selected = append(selected, older[l.cursor%len(older)])
	}
	return append(l.export(now, selected), l.crashesWithoutAttempts(now)...)
}

// compareUrgency orders contents for Recent: those with the greater weight first, then those that changed last.
func (l *Ledger) compareUrgency(a, b content) int {
	x, y := l.suspicions[a], l.suspicions[b]
	return cmp.Or(
		cmp.Compare(y.weight(), x.weight()),
		y.changed.Compare(x.changed),
		compareContents(a, b),
	)
}

// weight returns a number that grows with the evidence against a content. Between contents with equal evidence, it is
// greater for one that this host dispatched.
func (s *suspicion) weight() int {
	w := 2 * len(s.causes)
	if s.quarantined {
		w += 2 * maxCauses
	}
	if slices.ContainsFunc(s.causes, func(c cause) bool { return c.local }) {
		w++
	}
	return w
}

// crashesWithoutAttempts returns the recent crashes of backend servers that had nothing in flight. Peers need them to
// see that several crashes have a common cause.
func (l *Ledger) crashesWithoutAttempts(now time.Time) []protocol.Suspicion {
	var causes []protocol.CrashCause
	for c, record := range l.crashes {
		if len(record.contents) == 0 && now.Sub(record.changed) <= recentChange {
			causes = append(causes, protocol.CrashCause{Server: c.server, Epoch: c.epoch, Age: now.Sub(record.at)})
		}
	}
	if len(causes) == 0 {
		return nil
	}
	slices.SortFunc(causes, func(a, b protocol.CrashCause) int { return cmp.Compare(a.Server, b.Server) })
	return []protocol.Suspicion{{Causes: causes[:min(len(causes), maxReported)]}}
}

// export returns the suspicions against the given contents in the form that is sent to peers.
func (l *Ledger) export(now time.Time, contents []content) []protocol.Suspicion {
	slices.SortFunc(contents, compareContents)
	gossip := make([]protocol.Suspicion, 0, len(contents))
	for _, k := range slices.Compact(contents) {
		s := l.suspicions[k]
		if s == nil {
			continue
		}
		n := protocol.Suspicion{
			Workspace: k.workspace, Fingerprint: k.fingerprint,
			Crashes: len(s.causes), Expiry: s.expiry.Sub(now), Alone: s.quarantined,
		}
		if !s.cleared.IsZero() {
			n.Cleared = max(now.Sub(s.cleared), 1)
		}
		for _, c := range s.causes {
			if record := l.crashes[c.crash]; record != nil {
				n.Causes = append(n.Causes, protocol.CrashCause{
					Server: c.crash.server, Epoch: c.crash.epoch,
					Age: now.Sub(record.at), Began: now.Sub(c.began), Ran: c.ran,
				})
			}
		}
		gossip = append(gossip, n)
	}
	return gossip
}

// compareContents orders contents by workspace and fingerprint.
func compareContents(a, b content) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.fingerprint, b.fingerprint))
}
