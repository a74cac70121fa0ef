package suspect

import (
	"cmp"
	"time"
)

// resolve returns the crash that a report belongs to, since several hosts report each crash.
func (l *Ledger) resolve(c crash, at time.Time) crash {
	if _, ok := l.losses[c]; ok && c.epoch != 0 {
		return c
	}
	for known, lost := range l.losses {
		sameProcess := known.epoch == c.epoch || known.epoch == 0 || c.epoch == 0
		if known.server == c.server && sameProcess && lost.at.Sub(at).Abs() <= sameCrash {
			return known
		}
	}
	if lost := l.losses[c]; lost != nil {
		return l.successor(c, at)
	}
	return c
}

// successor names a later crash of a backend server whose epoch is not known to have changed.
func (l *Ledger) successor(c crash, at time.Time) crash {
	c.epoch = uint64(at.UnixNano())
	return c
}

// lose returns the record of a crash and moves its time to the earliest report.
func (l *Ledger) lose(c crash, at, now time.Time) *loss {
	lost := l.losses[c]
	if lost == nil {
		lost = &loss{at: at, changed: now, contents: make(map[content]bool)}
		l.losses[c] = lost
	}
	if at.Before(lost.at) {
		lost.at = at
	}
	return lost
}

// blame adds a crash to what is known of a content.
func (l *Ledger) blame(now time.Time, k content, lost *loss, c cause) {
	s := l.contents[k]
	if s == nil {
		if len(l.contents) >= maxContents {
			return
		}
		s = new(suspicion)
		l.contents[k] = s
	}
	s.expiry = now.Add(cmp.Or(l.Expiry, DefaultExpiry))
	lost.contents[k] = true
	for i := range s.causes {
		known := &s.causes[i]
		if known.crash != c.crash {
			continue
		}
		if c.ran && !known.ran {
			known.ran = true
			s.changed = now
		}
		if c.began.Before(known.began) {
			known.began = c.began
		}
		return
	}
	s.changed = now
	if len(s.causes) == maxCauses {
		s.causes = s.causes[1:]
	}
	s.causes = append(s.causes, c)
}

// settle condemns the contents whose evidence has stood for long enough.
func (l *Ledger) settle(now time.Time) {
	for k, s := range l.contents {
		if s.condemned {
			continue
		}
		for _, last := range s.causes {
			first, ok := l.earlier(k, s, last)
			if !ok || l.waiting(now, last) || !l.proven(k, first, last) {
				continue
			}
			s.condemned = true
			s.changed = now
			l.losses[first.crash].blamed = &k
			l.losses[last.crash].blamed = &k
			break
		}
	}
}

// unsettled reports whether a content's latest crash is too recent for a verdict.
func (l *Ledger) unsettled(now time.Time, k content, s *suspicion) bool {
	for _, last := range s.causes {
		if _, ok := l.earlier(k, s, last); ok && l.waiting(now, last) {
			return true
		}
	}
	return false
}

func (l *Ledger) waiting(now time.Time, c cause) bool {
	if l.hasty {
		return false
	}
	lost := l.losses[c.crash]
	return lost != nil && now.Before(lost.at.Add(cmp.Or(l.Hold, DefaultHold)))
}

// earlier finds a crash of the content that happened before its attempt in last began.
func (l *Ledger) earlier(k content, s *suspicion, last cause) (cause, bool) {
	if l.losses[last.crash] == nil {
		return cause{}, false
	}
	for _, first := range s.causes {
		lost := l.losses[first.crash]
		if first.crash == last.crash || lost == nil || !first.ran {
			continue
		}
		others := lost.blamed != nil && *lost.blamed != k
		if l.simple || !others && last.ran && !last.began.Before(lost.at) {
			return first, true
		}
	}
	return cause{}, false
}

// proven reports whether the content alone explains both crashes.
func (l *Ledger) proven(k content, first, last cause) bool {
	if l.simple {
		return true
	}
	a, b := l.losses[first.crash], l.losses[last.crash]
	if b.blamed != nil && *b.blamed != k || l.external(a, k) || l.external(b, k) {
		return false
	}
	for other := range b.contents {
		if other != k && l.candidate(other, last.crash) {
			return false
		}
	}
	return true
}

// candidate reports whether a content had crashed a backend server before it ran in the crash c.
func (l *Ledger) candidate(k content, c crash) bool {
	s := l.contents[k]
	if s == nil {
		return false
	}
	for _, last := range s.causes {
		if last.crash != c {
			continue
		}
		_, ok := l.earlier(k, s, last)
		return ok
	}
	return false
}

// external reports whether a crash of k came together with one that k's history does not explain.
func (l *Ledger) external(lost *loss, k content) bool {
	for c, other := range l.losses {
		near := other.at.Sub(lost.at).Abs() <= cmp.Or(l.Window, DefaultWindow)
		if other == lost || !near || other.contents[k] {
			continue
		}
		if !l.explained(c, other, k) {
			return true
		}
	}
	return false
}

// explained reports whether a content that shares no crash with k accounts for the crash c.
func (l *Ledger) explained(c crash, lost *loss, k content) bool {
	for other := range lost.contents {
		if l.independent(other, c, k) {
			return true
		}
	}
	return false
}

func (l *Ledger) independent(other content, c crash, k content) bool {
	s := l.contents[other]
	if s == nil {
		return false
	}
	repeated := false
	for _, known := range s.causes {
		lost := l.losses[known.crash]
		if known.crash == c || lost == nil {
			continue
		}
		if lost.contents[k] {
			return false
		}
		repeated = true
	}
	return repeated
}
