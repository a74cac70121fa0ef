package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Merge takes in what other hosts suspect and reports whether it held new evidence, which a relay passes on once.
//
// A clearing is no evidence: it is sent as an age, looks later at each host and would be passed on without end.
func (l *Ledger) Merge(now time.Time, news []protocol.Suspicion) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	before := l.evidence
	for i := range news {
		l.merge(now, &news[i])
	}
	return l.evidence != before
}

func (l *Ledger) merge(now time.Time, n *protocol.Suspicion) {
	k := content{n.Workspace, n.Fingerprint}
	for _, m := range n.Causes {
		at := now.Add(-m.Age)
		c := l.resolve(crash{m.Server, m.Epoch}, at)
		lost := l.lose(c, at, now)
		if k != (content{}) {
			l.blame(now, k, lost, cause{crash: c, began: now.Add(-m.Began), ran: m.Ran})
		}
	}
	s := l.contents[k]
	if s == nil {
		return
	}
	if n.Cleared > 0 {
		l.clear(now, k, s, now.Add(-n.Cleared))
	}
	expiry := now.Add(min(n.Expiry, cmp.Or(l.Expiry, DefaultExpiry)))
	if n.Expiry > 0 {
		s.expiry = expiry
	}
	if n.Alone && n.Crashes >= crashesToCondemn && !s.condemned {
		s.condemned = true
		l.learn(now, s)
		l.attribute(k, s)
	}
}

// attribute blames a condemned content for all crashes that it was in.
func (l *Ledger) attribute(k content, s *suspicion) {
	for _, c := range s.causes {
		if lost := l.losses[c.crash]; lost != nil && lost.blamed == nil {
			lost.blamed = &k
		}
	}
}

// Recent returns a bounded number of suspicions for peers: the latest changes first, then older ones in turn.
func (l *Ledger) Recent(now time.Time) []protocol.Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	if len(l.losses) == 0 {
		return nil
	}
	l.settle(now)
	var fresh, old []content
	for k, s := range l.contents {
		switch {
		case now.Sub(s.changed) <= newsAge:
			fresh = append(fresh, k)
		case s.condemned || len(s.causes) > 0:
			old = append(old, k)
		}
	}
	if len(fresh) > maxNews {
		slices.SortFunc(fresh, l.moreUrgent)
		fresh = fresh[:maxNews]
	}
	slices.SortFunc(old, compare)
	for range min(len(old), maxNews-len(fresh)) {
		l.cursor++
		fresh = append(fresh, old[l.cursor%len(old)])
	}
	return append(l.export(now, fresh), l.bare(now)...)
}

// moreUrgent orders contents for the news: those with most evidence first, then this host's own, then the latest.
func (l *Ledger) moreUrgent(a, b content) int {
	x, y := l.contents[a], l.contents[b]
	return cmp.Or(
		cmp.Compare(y.weight(), x.weight()),
		y.changed.Compare(x.changed),
		compare(a, b),
	)
}

// weight grows with the evidence against a content and with this host's own part in it.
func (s *suspicion) weight() int {
	w := 2 * len(s.causes)
	if s.condemned {
		w += 2 * maxCauses
	}
	if slices.ContainsFunc(s.causes, func(c cause) bool { return c.own }) {
		w++
	}
	return w
}

// bare tells of recent crashes with nothing in flight, which show that several crashes have a common cause.
func (l *Ledger) bare(now time.Time) []protocol.Suspicion {
	var causes []protocol.CrashCause
	for c, lost := range l.losses {
		if len(lost.contents) == 0 && now.Sub(lost.changed) <= newsAge {
			causes = append(causes, protocol.CrashCause{Server: c.server, Epoch: c.epoch, Age: now.Sub(lost.at)})
		}
	}
	if len(causes) == 0 {
		return nil
	}
	slices.SortFunc(causes, func(a, b protocol.CrashCause) int { return cmp.Compare(a.Server, b.Server) })
	return []protocol.Suspicion{{Causes: causes[:min(len(causes), maxNews)]}}
}

// export describes contents for peers.
func (l *Ledger) export(now time.Time, contents []content) []protocol.Suspicion {
	slices.SortFunc(contents, compare)
	news := make([]protocol.Suspicion, 0, len(contents))
	for _, k := range slices.Compact(contents) {
		s := l.contents[k]
		if s == nil {
			continue
		}
		n := protocol.Suspicion{
			Workspace: k.workspace, Fingerprint: k.fingerprint,
			Crashes: len(s.causes), Expiry: s.expiry.Sub(now), Alone: s.condemned,
		}
		if !s.cleared.IsZero() {
			n.Cleared = max(now.Sub(s.cleared), 1)
		}
		for _, c := range s.causes {
			if lost := l.losses[c.crash]; lost != nil {
				n.Causes = append(n.Causes, protocol.CrashCause{
					Server: c.crash.server, Epoch: c.crash.epoch,
					Age: now.Sub(lost.at), Began: now.Sub(c.began), Ran: c.ran,
				})
			}
		}
		news = append(news, n)
	}
	return news
}

func compare(a, b content) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.fingerprint, b.fingerprint))
}
