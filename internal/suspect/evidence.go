package suspect

import (
	"cmp"
	"slices"
	"time"
)

// resolve returns the crash that a report belongs to, since several hosts report each crash.
func (l *Ledger) resolve(c crash, at time.Time) crash {
	found := false
	nearest, distance := crash{}, sameCrash
	for known, lost := range l.losses {
		sameProcess := known.epoch == c.epoch || known.epoch == 0 || c.epoch == 0
		if known.server != c.server || !sameProcess {
			continue
		}
		d := lost.at.Sub(at).Abs()
		if d < distance || d == distance && known.epoch < nearest.epoch {
			found, nearest, distance = true, known, d
		}
	}
	if found {
		return nearest
	}
	if l.losses[c] != nil {
		// The epoch is out of date: the backend server has started and crashed again since.
		c.epoch = uint64(at.UnixNano())
	}
	return c
}

// lose returns the record of a crash and moves its time to the earliest report.
func (l *Ledger) lose(c crash, at, now time.Time) *loss {
	lost := l.losses[c]
	if lost == nil {
		lost = &loss{crash: c, at: at, changed: now, contents: make(map[content]bool)}
		l.losses[c] = lost
		l.evidence++
	}
	if at.Before(lost.at) {
		lost.at = at
	}
	return lost
}

// blame adds a crash to what is known of a content.
func (l *Ledger) blame(now time.Time, k content, lost *loss, c cause) {
	s := l.suspicion(k)
	if s == nil || !lost.at.After(s.cleared) {
		return
	}
	s.expiry = now.Add(cmp.Or(l.Expiry, DefaultExpiry))
	lost.contents[k] = true
	for i := range s.causes {
		if s.causes[i].crash == c.crash {
			l.strengthen(now, s, &s.causes[i], c)
			return
		}
	}
	if len(s.causes) == maxCauses && !l.dropOldest(s, lost.at) {
		return
	}
	l.learn(now, s)
	s.causes = append(s.causes, c)
}

// dropOldest makes room for a crash at the given time; it reports false when the known ones are all later.
//
// So all hosts keep the same crashes of a prompt, and none of these is news to a host that has dropped it.
func (l *Ledger) dropOldest(s *suspicion, at time.Time) bool {
	oldest, earliest := -1, at
	for i, c := range s.causes {
		lost := l.losses[c.crash]
		if lost == nil {
			oldest = i
			break
		}
		if lost.at.Before(earliest) {
			oldest, earliest = i, lost.at
		}
	}
	if oldest < 0 {
		return false
	}
	s.causes = slices.Delete(s.causes, oldest, oldest+1)
	return true
}

// suspicion returns the record of a content, or nil when there are too many.
func (l *Ledger) suspicion(k content) *suspicion {
	s := l.contents[k]
	if s == nil && len(l.contents) < maxContents {
		s = new(suspicion)
		l.contents[k] = s
	}
	return s
}

// learn marks a suspicion as changed by new evidence, so that peers hear of it.
func (l *Ledger) learn(now time.Time, s *suspicion) {
	s.changed = now
	l.evidence++
}

// strengthen adds another host's evidence to a known cause.
func (l *Ledger) strengthen(now time.Time, s *suspicion, known *cause, c cause) {
	if c.ran && !known.ran {
		known.ran = true
		l.learn(now, s)
	}
	known.own = known.own || c.own
	if c.began.Before(known.began) {
		known.began = c.began
	}
}

// clear drops the crashes that a content has outlived by giving a whole answer at the given time.
func (l *Ledger) clear(now time.Time, k content, s *suspicion, at time.Time) {
	if s.condemned || !at.After(s.cleared) {
		return
	}
	s.cleared = at
	s.changed = now
	s.causes = slices.DeleteFunc(s.causes, func(c cause) bool {
		lost := l.losses[c.crash]
		if lost != nil && lost.at.After(at) {
			return false
		}
		if lost != nil {
			delete(lost.contents, k)
		}
		return true
	})
}

// charge is a case against a content: two crashes that it alone explains.
type charge struct {
	content     content
	first, last cause
	ripe        bool // has stood for long enough
}

// settle condemns the contents whose evidence has stood for long enough; crashes that several contents claim condemn
// none of them.
func (l *Ledger) settle(now time.Time) {
	if now.Before(l.settled.Add(settleEvery)) {
		return
	}
	l.settled = now
	charges := l.charges(now)
	if len(charges) == 0 {
		return
	}
	claims := make(map[crash]content, len(charges))
	contested := make(map[crash]bool)
	for _, c := range charges {
		for _, at := range []crash{c.first.crash, c.last.crash} {
			owner, ok := claims[at]
			contested[at] = contested[at] || ok && owner != c.content
			claims[at] = c.content
		}
	}
	for i := range charges {
		c := &charges[i]
		doubtful := contested[c.first.crash] || contested[c.last.crash]
		if c.ripe && (!doubtful || l.simple) {
			l.condemn(now, c)
		}
	}
}

func (l *Ledger) condemn(now time.Time, c *charge) {
	s := l.contents[c.content]
	if s.condemned {
		return
	}
	s.condemned = true
	l.learn(now, s)
	l.attribute(c.content, s)
}

// charges lists the proven cases in the order of the contents.
func (l *Ledger) charges(now time.Time) []charge {
	var charges []charge
	for k, s := range l.contents {
		if !s.condemned && len(s.causes) >= crashesToCondemn {
			charges = append(charges, l.against(now, k, s)...)
		}
	}
	slices.SortStableFunc(charges, func(a, b charge) int { return compare(a.content, b.content) })
	return charges
}

// against lists the pairs of crashes that a content alone explains.
func (l *Ledger) against(now time.Time, k content, s *suspicion) []charge {
	var charges []charge
	for _, last := range s.causes {
		for _, first := range s.causes {
			if l.follows(k, first, last) && l.proven(k, first, last) {
				charges = append(charges, charge{content: k, first: first, last: last, ripe: !l.waiting(now, last)})
			}
		}
	}
	return charges
}

// unsettled reports whether the verdict on a content's latest crash may still change with the news to come.
func (l *Ledger) unsettled(now time.Time, k content, s *suspicion) bool {
	for _, last := range s.causes {
		if !l.repeated(k, s, last) {
			continue
		}
		if l.waiting(now, last) || l.doubtful(now, k, last) {
			return true
		}
	}
	return false
}

// doubtful reports whether a crash may yet be explained by another content; a loss of many is not waited for.
func (l *Ledger) doubtful(now time.Time, k content, last cause) bool {
	lost := l.losses[last.crash]
	if l.hasty || !now.Before(lost.at.Add(cmp.Or(l.Doubt, DefaultDoubt))) {
		return false
	}
	return l.unexplained(lost, k) < manyLosses
}

func (l *Ledger) waiting(now time.Time, c cause) bool {
	if l.hasty {
		return false
	}
	lost := l.losses[c.crash]
	return lost != nil && now.Before(lost.at.Add(cmp.Or(l.Hold, DefaultHold)))
}

// repeated reports whether the content was in flight on a crash before its attempt in last began.
func (l *Ledger) repeated(k content, s *suspicion, last cause) bool {
	for _, first := range s.causes {
		if l.follows(k, first, last) {
			return true
		}
	}
	return false
}

// follows reports whether a content's attempt in last began after its attempt in first had ended in a crash.
func (l *Ledger) follows(k content, first, last cause) bool {
	a, b := l.losses[first.crash], l.losses[last.crash]
	if a == nil || b == nil || first.crash == last.crash {
		return false
	}
	others := a.blamed != nil && *a.blamed != k
	return l.simple || !others && first.ran && last.ran && !last.began.Before(a.at)
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
		return l.repeated(k, s, last)
	}
	return false
}

// external reports whether a crash of k came together with several that no content accounts for.
func (l *Ledger) external(lost *loss, k content) bool { return l.unexplained(lost, k) >= manyLosses }

// unexplained counts the crashes that came together with a crash of k and that no content accounts for.
func (l *Ledger) unexplained(lost *loss, k content) int {
	n := 0
	for c, other := range l.losses {
		if other != lost && l.near(other, lost) && !other.contents[k] && !l.explained(c, other, k) {
			n++
		}
	}
	return n
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

// independent reports whether a content ran in c and in another crash, neither of them shared with k or one of many.
func (l *Ledger) independent(other content, c crash, k content) bool {
	s := l.contents[other]
	if s == nil || l.neighbors(l.losses[c], other, k) >= manyLosses {
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
		repeated = repeated || l.neighbors(lost, other, k) < manyLosses
	}
	return repeated
}

// neighbors counts the crashes that came together with one and that neither k nor the successive attempts of a content
// account for.
func (l *Ledger) neighbors(lost *loss, a, k content) int {
	n := 0
	for _, other := range l.losses {
		if other != lost && l.near(other, lost) && !other.contents[k] && !l.successive(a, other, lost) {
			n++
		}
	}
	return n
}

// successive reports whether a content ran in both crashes one after the other.
func (l *Ledger) successive(k content, a, b *loss) bool {
	if !a.contents[k] || !b.contents[k] {
		return false
	}
	for _, c := range l.contents[k].causes {
		later := c.crash == a.crash && !c.began.Before(b.at) || c.crash == b.crash && !c.began.Before(a.at)
		if later {
			return true
		}
	}
	return false
}

func (l *Ledger) near(a, b *loss) bool {
	return a.at.Sub(b.at).Abs() <= cmp.Or(l.Window, DefaultWindow)
}
