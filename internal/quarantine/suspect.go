package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// The number of crashes at which a part is a candidate for their cause.
	leastCrashes = 2
	// The maximum number of candidates.
	maxCandidates = 64
)

// replicaCrash is one crash of a replica, with the requests that it had not served for long.
type replicaCrash struct {
	at        time.Time
	contents  []*Content
	explained bool // one of the requests holds quarantined parts
}

// othersNear returns how many other replicas crashed at about the same time, without the given ones.
func (c *replicaCrash) othersNear(all []*replicaCrash, without map[*replicaCrash]bool) int {
	n := 0
	for _, other := range all {
		if other != c && !without[other] && c.at.Sub(other.at).Abs() <= commonWindow {
			n++
		}
	}
	return n
}

// suspect is a part that may have crashed replicas.
type suspect struct {
	part     uint64
	parts    []uint64 // those that all requests with the part at these crashes share, so that either may be the cause
	crashes  crashSet
	requests map[uint64]bool // with the part, at these crashes
	others   map[uint64]int  // number of these requests by other part
	joint    joint           // quarantines of the part together with others
	recurs   bool            // see joint.recurs
	needed   int             // number of crashes that prove it
	proof    int             // number of its crashes that no suspect with more of them explains
}

// candidates returns the parts that recur at crashes, those of most crashes first. Of some it isn't known yet whether they are
// the cause, but a more common part mustn't be taken for it in their place.
func (t *Table) candidates(now time.Time, crashes []*replicaCrash, cleared bool) []*suspect {
	byPart := make(map[uint64]*suspect)
	for i, c := range crashes {
		for _, content := range c.contents {
			suspected := t.suspectedParts(content, c, cleared)
			for _, part := range content.Parts {
				if !t.mayCause(part, c, cleared) || t.isWidespread(part) && now.Sub(c.at) < widespreadDelay {
					continue
				}
				s := byPart[part]
				if s == nil {
					s = &suspect{part: part, requests: make(map[uint64]bool), others: make(map[uint64]int)}
					byPart[part] = s
				}
				s.add(i, content.Request, suspected)
			}
		}
	}
	var candidates []*suspect
	for _, s := range byPart {
		if s.crashes.len() < leastCrashes || len(s.requests) < requestsForParts {
			continue
		}
		s.joint = t.jointQuarantines(s.part)
		s.recurs = s.joint.recurs(now)
		s.needed = s.crashesNeeded(cleared)
		candidates = append(candidates, s)
	}
	slices.SortFunc(candidates, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(b.crashes.len(), a.crashes.len()), cmp.Compare(a.part, b.part))
	})
	return candidates[:min(len(candidates), maxCandidates)]
}

// add adds a request with the part that was at the crash with the given index; parts are those of the request that may be the cause.
func (s *suspect) add(crash int, request uint64, parts []uint64) {
	if s.parts == nil {
		s.parts = parts
	}
	s.parts = slices.DeleteFunc(slices.Clone(s.parts), func(p uint64) bool { return !slices.Contains(parts, p) })
	s.crashes.add(crash)
	if s.requests[request] {
		return
	}
	s.requests[request] = true
	for _, p := range parts {
		s.others[p]++
	}
}

// crashesNeeded returns how many crashes prove a suspect.
func (s *suspect) crashesNeeded(cleared bool) int {
	if cleared {
		return crashesForDoubtfulParts
	}
	if s.recurs || s.joint.count > 0 && !s.hasAlternative() {
		return crashesToNarrow
	}
	if s.hasAlternative() {
		return crashesForDoubtfulParts
	}
	return crashesForParts
}

// hasAlternative reports whether another part recurs in different requests at these crashes.
func (s *suspect) hasAlternative() bool {
	for part, requests := range s.others {
		if requests > 1 && !slices.Contains(s.parts, part) {
			return true
		}
	}
	return false
}

// joint is what quarantines hold a part together with others, since which no request has cleared it.
type joint struct {
	count  int
	since  time.Time // when the first of them began
	shared []uint64  // parts that all of them hold
}

// jointQuarantines returns the quarantines of the part together with others.
func (t *Table) jointQuarantines(part uint64) joint {
	var j joint
	for _, v := range t.verdicts {
		if !v.quarantined() || len(v.content.Parts) < 2 || !slices.Contains(v.content.Parts, part) {
			continue
		}
		if clearedAt, ok := t.cleared[part]; ok && clearedAt.After(v.since) {
			continue
		}
		if j.count == 0 {
			j.shared = slices.Clone(v.content.Parts)
		}
		j.count++
		j.shared = slices.DeleteFunc(j.shared, func(p uint64) bool { return !slices.Contains(v.content.Parts, p) })
		if j.since.IsZero() || v.since.Before(j.since) {
			j.since = v.since
		}
	}
	return j
}

// lasts reports whether the first quarantine has held for so long that a sound request would have cleared the part.
func (j joint) lasts(now time.Time) bool { return j.count > 0 && now.Sub(j.since) >= doubtDelay }

// recurs reports whether there are several quarantines, or one that lasts. The part is then more likely the cause of other crashes
// than yet another part beside it.
func (j joint) recurs(now time.Time) bool { return j.count > 1 || j.lasts(now) }

// likelyParts returns those parts of a suspect that may be the cause. If its part is in a joint quarantine that lasts, those that
// aren't in all of these quarantines are left out.
func (t *Table) likelyParts(now time.Time, s *suspect) []uint64 {
	j := t.jointQuarantines(s.part) // anew, since the verdict on another suspect may be one
	if !j.lasts(now) {
		return s.parts
	}
	return slices.DeleteFunc(slices.Clone(s.parts), func(p uint64) bool { return !slices.Contains(j.shared, p) })
}

// weight returns the number of requests by which a suspect counts in an explanation.
func (s *suspect) weight() int {
	if s.recurs {
		return len(s.requests) - 1
	}
	return len(s.requests)
}

// isProven reports whether a suspect was at enough of the crashes. Where others crashed at about the same time, for which it is
// not the cause, crashes at one moment may have a common cause.
func (s *suspect) isProven(crashes, all []*replicaCrash) bool {
	if s.proof < s.needed {
		return false
	}
	own := make(map[*replicaCrash]bool)
	last := time.Time{}
	for i, c := range crashes {
		if !s.crashes.has(i) {
			continue
		}
		own[c] = true
		if c.at.After(last) {
			last = c.at
		}
	}
	if last.Sub(s.firstAt(crashes)) > commonWindow {
		return true
	}
	for c := range own {
		if c.othersNear(all, own) >= commonCrashes {
			return false
		}
	}
	return true
}

// firstAt returns the time of the first crash of a suspect.
func (s *suspect) firstAt(crashes []*replicaCrash) time.Time {
	var first time.Time
	for i, c := range crashes {
		if s.crashes.has(i) && (first.IsZero() || c.at.Before(first)) {
			first = c.at
		}
	}
	return first
}

// withoutCommonCause removes the crashes at about the time of several others that no suspect explains.
func withoutCommonCause(crashes, all []*replicaCrash, suspects []*suspect) []*replicaCrash {
	explained := make(map[*replicaCrash]bool)
	for _, s := range suspects {
		if s.proof < s.needed {
			continue
		}
		for i, c := range crashes {
			if s.crashes.has(i) {
				explained[c] = true
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(crashes), func(c *replicaCrash) bool {
		return c.othersNear(all, explained) >= commonCrashes
	})
}
