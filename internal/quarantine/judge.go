package quarantine

import (
	"slices"
	"time"
)

// judgeAt makes decide judge parts at the given time, unless it does so before, and then again when crashes count against
// parts of most requests.
func (t *Table) judgeAt(at time.Time) {
	t.dueAt = append(t.dueAt, at, at.Add(widespreadDelay-decisionDelay))
}

// decide judges parts if that is due.
func (t *Table) decide(now time.Time) {
	if now.Sub(t.judgedAt) < judgeInterval {
		return
	}
	before := len(t.dueAt)
	t.dueAt = slices.DeleteFunc(t.dueAt, func(at time.Time) bool { return !now.Before(at) })
	if len(t.dueAt) == before {
		return
	}
	t.judgedAt = now
	// Parts that no completed request clears come first, since their quarantine explains crashes.
	t.judgeParts(now, false)
	t.judgeParts(now, true)
	t.narrow(now)
}

// judgeRequest quarantines a whole request that was at enough crashes.
func (t *Table) judgeRequest(now time.Time, request uint64) {
	if request == 0 {
		return
	}
	q := Content{Request: request}
	all, early := 0, 0
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.Content.Request != request || c.completed || !c.counts() {
			continue
		}
		all++
		if c.Early {
			early++
		}
	}
	if early >= earlyCrashesForRequest || all >= crashesForRequest {
		t.quarantine(now, q, false)
	}
}

// judgeParts quarantines parts that explain the crashes which no quarantine explains yet: those that were never in a completed
// request or, with cleared set, those that were in one before the crashes.
func (t *Table) judgeParts(now time.Time, cleared bool) {
	all := t.unexplainedCrashes()
	crashes := slices.DeleteFunc(slices.Clone(all), func(c *replicaCrash) bool { return now.Sub(c.at) < decisionDelay })
	crashes = withoutCommonCause(crashes, all, explain(t.candidates(now, crashes, cleared)))
	candidates := t.candidates(now, crashes, cleared)
	e := explain(candidates)
	for _, s := range e {
		if s.isProven(crashes, all) && (now.Sub(s.firstAt(crashes)) >= doubtDelay || e.isClear(s, candidates)) {
			t.quarantine(now, Content{Parts: t.likelyParts(now, s)}, cleared)
		}
	}
}

// narrow quarantines by themselves the parts that several quarantines share, once one of these lasts: one cause is more likely than
// several.
func (t *Table) narrow(now time.Time) {
	var parts []uint64
	for _, v := range t.verdicts {
		if v.quarantined() && len(v.content.Parts) > 1 {
			parts = append(parts, v.content.Parts...)
		}
	}
	slices.Sort(parts)
	for _, part := range slices.Compact(parts) {
		j := t.jointQuarantines(part)
		if j.count > 1 && j.lasts(now) && !slices.ContainsFunc(j.shared, t.isCleared) {
			t.quarantine(now, Content{Parts: j.shared}, false)
		}
	}
}

// unexplainedCrashes returns the replicas that crashed early in requests none of which holds quarantined parts.
func (t *Table) unexplainedCrashes() []*replicaCrash {
	byReplica := make(map[string]*replicaCrash)
	var crashes []*replicaCrash
	for i := range t.crashes {
		c := &t.crashes[i]
		if !c.Early || !c.counts() || len(c.Content.Parts) == 0 {
			continue
		}
		r := byReplica[c.Replica]
		if r == nil {
			r = &replicaCrash{at: c.at}
			byReplica[c.Replica] = r
			crashes = append(crashes, r)
		}
		r.contents = append(r.contents, &c.Content)
		r.explained = r.explained || t.holdsQuarantinedParts(&c.Content)
	}
	return slices.DeleteFunc(crashes, func(r *replicaCrash) bool { return r.explained })
}

// holdsQuarantinedParts reports whether requests with the content are refused because of their parts.
func (t *Table) holdsQuarantinedParts(c *Content) bool {
	for _, v := range t.verdicts {
		if v.quarantined() && v.content.Request == 0 && c.holds(&v.content) {
			return true
		}
	}
	return false
}

// mayCause reports whether a part may be the cause of a crash: no completed request clears it or, with cleared set, the last one
// came before the crash.
func (t *Table) mayCause(part uint64, c *replicaCrash, cleared bool) bool {
	at, wasCleared := t.cleared[part]
	if !cleared || !wasCleared {
		return wasCleared == cleared
	}
	return c.at.After(at)
}

// suspectedParts returns those parts of a request at the crash that no completed request clears or that may be the cause, sorted.
func (t *Table) suspectedParts(content *Content, c *replicaCrash, cleared bool) []uint64 {
	var parts []uint64
	for _, p := range content.Parts {
		if !t.isCleared(p) || t.mayCause(p, c, cleared) {
			parts = append(parts, p)
		}
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}
