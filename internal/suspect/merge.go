package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Merge adds the suspicions that another host has sent and reports whether there was new evidence. The caller forwards
// new evidence to other hosts once.
//
// A clearing, the time of a complete response, is not counted as new evidence: it is sent as an age, so that each host
// computes a later time for it than the host before, and hosts would forward it without end.
func (t *Tracker) Merge(now time.Time, gossip []protocol.Suspicion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare(now)
	before := t.evidenceCount
	for i := range gossip {
		t.mergeSuspicion(now, &gossip[i])
	}
	return t.evidenceCount != before
}

// mergeSuspicion adds one suspicion of another host. One without a content only reports crashes.
func (t *Tracker) mergeSuspicion(now time.Time, n *protocol.Suspicion) {
	k := content{n.Workspace, n.Fingerprint}
	for _, m := range n.Causes {
		at := now.Add(-m.Age)
		c := t.resolve(crashID{m.Server, m.Epoch}, at)
		record := t.recordCrash(c, at, now)
		if k != (content{}) {
			t.addCause(now, k, record, cause{crash: c, began: now.Add(-m.AttemptAge), ran: m.Reached})
		}
	}
	s := t.suspicions[k]
	if s == nil {
		return
	}
	if n.SinceComplete > 0 {
		t.clearCauses(now, k, s, now.Add(-n.SinceComplete))
	}
	expiry := now.Add(min(n.Expiry, cmp.Or(t.Expiry, DefaultExpiry)))
	if n.Expiry > 0 {
		s.expiry = expiry
	}
	if n.Quarantined && n.Crashes >= crashesToQuarantine && !s.quarantined {
		s.quarantined = true
		t.recordEvidence(now, s)
		t.attributeCrashes(k, s)
	}
}

// attributeCrashes records a quarantined content as the cause of its crashes that are not yet attributed.
func (t *Tracker) attributeCrashes(k content, s *suspicion) {
	for _, c := range s.causes {
		if record := t.crashes[c.crash]; record != nil && record.explainedBy == nil {
			record.explainedBy = &k
		}
	}
}

// Gossip returns the suspicions to send to a peer, at most maxReported: first those that changed within recentChange,
// then, in rotation, older ones. To these it adds the recent crashes of backend servers that ran nothing.
func (t *Tracker) Gossip(now time.Time) []protocol.Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare(now)
	if len(t.crashes) == 0 {
		return nil
	}
	t.quarantineProven(now)
	var selected, older []content
	for k, s := range t.suspicions {
		switch {
		case now.Sub(s.changed) <= recentChange:
			selected = append(selected, k)
		case s.quarantined || len(s.causes) > 0:
			older = append(older, k)
		}
	}
	if len(selected) > maxReported {
		slices.SortFunc(selected, t.compareUrgency)
		selected = selected[:maxReported]
	}
	slices.SortFunc(older, compareContents)
	for range min(len(older), maxReported-len(selected)) {
		t.cursor++
		selected = append(selected, older[t.cursor%len(older)])
	}
	return append(t.export(now, selected), t.crashesWithoutAttempts(now)...)
}

// compareUrgency orders contents for Gossip: those with the greater weight first, then those that changed last.
func (t *Tracker) compareUrgency(a, b content) int {
	x, y := t.suspicions[a], t.suspicions[b]
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
func (t *Tracker) crashesWithoutAttempts(now time.Time) []protocol.Suspicion {
	var causes []protocol.CrashCause
	for c, record := range t.crashes {
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
func (t *Tracker) export(now time.Time, contents []content) []protocol.Suspicion {
	slices.SortFunc(contents, compareContents)
	gossip := make([]protocol.Suspicion, 0, len(contents))
	for _, k := range slices.Compact(contents) {
		s := t.suspicions[k]
		if s == nil {
			continue
		}
		n := protocol.Suspicion{
			Workspace: k.workspace, Fingerprint: k.fingerprint,
			Crashes: len(s.causes), Expiry: s.expiry.Sub(now), Quarantined: s.quarantined,
		}
		if !s.cleared.IsZero() {
			n.SinceComplete = max(now.Sub(s.cleared), 1)
		}
		for _, c := range s.causes {
			if record := t.crashes[c.crash]; record != nil {
				n.Causes = append(n.Causes, protocol.CrashCause{
					Server: c.crash.server, Epoch: c.crash.epoch,
					Age: now.Sub(record.at), AttemptAge: now.Sub(c.began), Reached: c.ran,
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
