package suspect

import (
	"cmp"
	"slices"
	"time"
)

// resolve returns the id of the crash that a report belongs to, since several hosts report each crash. This is the
// known crash of the same backend server that is nearest in time, if it is within sameCrashWindow. Known crashes with
// another epoch are ignored, except that the epoch 0 matches any. If none is found, the report is of a new crash.
func (t *Tracker) resolve(c crashID, at time.Time) crashID {
	found := false
	nearest, distance := crashID{}, sameCrashWindow
	for known, record := range t.crashes {
		sameProcess := known.epoch == c.epoch || known.epoch == 0 || c.epoch == 0
		if known.server != c.server || !sameProcess {
			continue
		}
		d := record.at.Sub(at).Abs()
		if d < distance || d == distance && known.epoch < nearest.epoch {
			found, nearest, distance = true, known, d
		}
	}
	if found {
		return nearest
	}
	if t.crashes[c] != nil {
		// The reported epoch is out of date, as the backend server has restarted and crashed again since. The time of the
		// report takes the place of the unknown epoch.
		c.epoch = uint64(at.UnixNano())
	}
	return c
}

// recordCrash returns the record of a crash, which it makes if there is none, and moves its time to the earliest
// report.
func (t *Tracker) recordCrash(c crashID, at, now time.Time) *crash {
	record := t.crashes[c]
	if record == nil {
		record = &crash{crash: c, at: at, changed: now, contents: make(map[content]bool)}
		t.crashes[c] = record
		t.evidenceCount++
	}
	if at.Before(record.at) {
		record.at = at
	}
	return record
}

// addCause adds a crash to the suspicion against a content. It adds none if the content has given a complete response
// since the crash, if this would make more than maxContents suspicions, or if maxCauses crashes of the content are
// known and none of them is earlier.
func (t *Tracker) addCause(now time.Time, k content, record *crash, c cause) {
	s := t.suspicion(k)
	if s == nil || !record.at.After(s.cleared) {
		return
	}
	s.expiry = now.Add(cmp.Or(t.Expiry, DefaultExpiry))
	record.contents[k] = true
	for i := range s.causes {
		if s.causes[i].crash == c.crash {
			t.mergeCause(now, s, &s.causes[i], c)
			return
		}
	}
	if len(s.causes) == maxCauses && !t.dropOldest(s, record.at) {
		return
	}
	t.recordEvidence(now, s)
	s.causes = append(s.causes, c)
}

// dropOldest removes the oldest cause of s to make room for a crash at the given time. It returns false if all causes
// are of that time or later.
//
// All hosts therefore keep the same crashes of a content, and a crash that a host has dropped is not new evidence when
// a peer reports it again.
func (t *Tracker) dropOldest(s *suspicion, at time.Time) bool {
	oldest, earliest := -1, at
	for i, c := range s.causes {
		record := t.crashes[c.crash]
		if record == nil {
			oldest = i
			break
		}
		if record.at.Before(earliest) {
			oldest, earliest = i, record.at
		}
	}
	if oldest < 0 {
		return false
	}
	s.causes = slices.Delete(s.causes, oldest, oldest+1)
	return true
}

// suspicion returns the suspicion against a content, which it makes if there is none, or nil if there are too many.
func (t *Tracker) suspicion(k content) *suspicion {
	s := t.suspicions[k]
	if s == nil && len(t.suspicions) < maxContents {
		s = new(suspicion)
		t.suspicions[k] = s
	}
	return s
}

// recordEvidence marks a suspicion as changed by new evidence, so that it is sent to peers.
func (t *Tracker) recordEvidence(now time.Time, s *suspicion) {
	s.changed = now
	t.evidenceCount++
}

// mergeCause adds the evidence c about a known cause, such as a report of another host, to that cause.
func (t *Tracker) mergeCause(now time.Time, s *suspicion, known *cause, c cause) {
	if c.ran && !known.ran {
		known.ran = true
		t.recordEvidence(now, s)
	}
	known.local = known.local || c.local
	if c.began.Before(known.began) {
		known.began = c.began
	}
}

// clearCauses removes the causes up to the given time, at which the content gave a complete response. A quarantined
// content stays quarantined.
func (t *Tracker) clearCauses(now time.Time, k content, s *suspicion, at time.Time) {
	if s.quarantined || !at.After(s.cleared) {
		return
	}
	s.cleared = at
	s.changed = now
	s.causes = slices.DeleteFunc(s.causes, func(c cause) bool {
		record := t.crashes[c.crash]
		if record != nil && record.at.After(at) {
			return false
		}
		if record != nil {
			delete(record.contents, k)
		}
		return true
	})
}

// finding is a reason to quarantine a content: two crashes that this content alone explains.
type finding struct {
	content     content
	first, last cause
	holdOver    bool // the time QuarantineDelay since the last crash has passed
}

// quarantineProven quarantines each content with a finding for which the time QuarantineDelay is over. Findings against
// different contents that name the same crash are disputed and don't count. It does nothing if it ran within
// checkInterval.
func (t *Tracker) quarantineProven(now time.Time) {
	if now.Before(t.lastCheck.Add(checkInterval)) {
		return
	}
	t.lastCheck = now
	findings := t.findings(now)
	if len(findings) == 0 {
		return
	}
	claimedBy := make(map[crashID]content, len(findings))
	contested := make(map[crashID]bool)
	for _, f := range findings {
		for _, id := range []crashID{f.first.crash, f.last.crash} {
			claimant, ok := claimedBy[id]
			contested[id] = contested[id] || ok && claimant != f.content
			claimedBy[id] = f.content
		}
	}
	for i := range findings {
		f := &findings[i]
		disputed := contested[f.first.crash] || contested[f.last.crash]
		if f.holdOver && (!disputed || t.skipExplanations) {
			t.quarantine(now, f)
		}
	}
}

// quarantine marks the content of f as quarantined and as the cause of its crashes.
func (t *Tracker) quarantine(now time.Time, f *finding) {
	s := t.suspicions[f.content]
	if s.quarantined {
		return
	}
	s.quarantined = true
	t.recordEvidence(now, s)
	t.attributeCrashes(f.content, s)
}

// findings returns the findings against all contents, in the order of the contents.
func (t *Tracker) findings(now time.Time) []finding {
	var findings []finding
	for k, s := range t.suspicions {
		if !s.quarantined && len(s.causes) >= crashesToQuarantine {
			findings = append(findings, t.findingsAgainst(now, k, s)...)
		}
	}
	slices.SortStableFunc(findings, func(a, b finding) int { return compareContents(a.content, b.content) })
	return findings
}

// findingsAgainst returns a finding for each pair of crashes that the content k alone explains.
func (t *Tracker) findingsAgainst(now time.Time, k content, s *suspicion) []finding {
	var findings []finding
	for _, last := range s.causes {
		for _, first := range s.causes {
			if t.ranAgain(k, first, last) && t.explainsBoth(k, first, last) {
				findings = append(findings, finding{content: k, first: first, last: last, holdOver: !t.withinHold(now, last)})
			}
		}
	}
	return findings
}

// verdictPending reports whether further gossip may still change the verdict on a content that ran again after a crash
// and was in flight at another crash then.
func (t *Tracker) verdictPending(now time.Time, k content, s *suspicion) bool {
	for _, last := range s.causes {
		if !t.crashedBefore(k, s, last) {
			continue
		}
		if t.withinHold(now, last) || t.mayHaveOtherCause(now, k, last) {
			return true
		}
	}
	return false
}

// mayHaveOtherCause reports whether another content may still turn out to explain the crash last. It is false after the
// time OtherCauseWait, and if there were so many other crashes at about the same time that a common cause is assumed.
func (t *Tracker) mayHaveOtherCause(now time.Time, k content, last cause) bool {
	record := t.crashes[last.crash]
	if t.skipWaits || !now.Before(record.at.Add(cmp.Or(t.OtherCauseWait, DefaultOtherCauseWait))) {
		return false
	}
	return t.unexplained(record, k) < manyCrashes
}

// withinHold reports whether it is too early to quarantine a content for the crash of c.
func (t *Tracker) withinHold(now time.Time, c cause) bool {
	if t.skipWaits {
		return false
	}
	record := t.crashes[c.crash]
	return record != nil && now.Before(record.at.Add(cmp.Or(t.QuarantineDelay, DefaultQuarantineDelay)))
}

// crashedBefore reports whether the content was in flight at another crash before its attempt in last began.
func (t *Tracker) crashedBefore(k content, s *suspicion, last cause) bool {
	for _, first := range s.causes {
		if t.ranAgain(k, first, last) {
			return true
		}
	}
	return false
}

// ranAgain reports whether the content ran in both crashes, began its attempt in last after the crash first, and no
// other content is known to have caused first.
func (t *Tracker) ranAgain(k content, first, last cause) bool {
	a, b := t.crashes[first.crash], t.crashes[last.crash]
	if a == nil || b == nil || first.crash == last.crash {
		return false
	}
	otherExplains := a.explainedBy != nil && *a.explainedBy != k
	return t.skipExplanations || !otherExplains && first.ran && last.ran && !last.began.Before(a.at)
}

// explainsBoth reports whether the content alone explains both crashes: neither has a common cause with other crashes,
// last was not caused by another quarantined content, and no other content that was in flight in last had been in
// flight at an earlier crash.
func (t *Tracker) explainsBoth(k content, first, last cause) bool {
	if t.skipExplanations {
		return true
	}
	a, b := t.crashes[first.crash], t.crashes[last.crash]
	if b.explainedBy != nil && *b.explainedBy != k || t.commonCause(a, k) || t.commonCause(b, k) {
		return false
	}
	for other := range b.contents {
		if other != k && t.inEarlierCrash(other, last.crash) {
			return false
		}
	}
	return true
}

// inEarlierCrash reports whether the content had been in flight at another crash before its attempt in the crash c
// began.
func (t *Tracker) inEarlierCrash(k content, c crashID) bool {
	s := t.suspicions[k]
	if s == nil {
		return false
	}
	for _, last := range s.causes {
		if last.crash != c {
			continue
		}
		return t.crashedBefore(k, s, last)
	}
	return false
}

// commonCause reports whether a crash of k happened at about the same time as several others that no content
// explains.
func (t *Tracker) commonCause(r *crash, k content) bool { return t.unexplained(r, k) >= manyCrashes }

// unexplained counts the crashes at about the same time as a crash of k in which k was not in flight and that no
// other content explains.
func (t *Tracker) unexplained(record *crash, k content) int {
	n := 0
	for c, other := range t.crashes {
		if other != record && t.nearby(other, record) && !other.contents[k] && !t.explainedByOther(c, other, k) {
			n++
		}
	}
	return n
}

// explainedByOther reports whether a content that shares no crash with k explains the crash c.
func (t *Tracker) explainedByOther(c crashID, record *crash, k content) bool {
	for other := range record.contents {
		if t.explainsIndependently(other, c, k) {
			return true
		}
	}
	return false
}

// explainsIndependently reports whether the content other, which was in flight at the crash c, explains c independently
// of k. This is so if other was in flight at further crashes, k was in flight at none of these, and both c and at least
// one of these are not among several crashes at about the same time.
func (t *Tracker) explainsIndependently(other content, c crashID, k content) bool {
	s := t.suspicions[other]
	if s == nil || t.countNearby(t.crashes[c], other, k) >= manyCrashes {
		return false
	}
	otherCrash := false
	for _, known := range s.causes {
		record := t.crashes[known.crash]
		if known.crash == c || record == nil {
			continue
		}
		if record.contents[k] {
			return false
		}
		otherCrash = otherCrash || t.countNearby(record, other, k) < manyCrashes
	}
	return otherCrash
}

// countNearby counts the crashes at about the same time as record. It omits those at which k was in flight, and those
// that the content a went through in succession with record (see inSuccession).
func (t *Tracker) countNearby(record *crash, a, k content) int {
	n := 0
	for _, other := range t.crashes {
		if other != record && t.nearby(other, record) && !other.contents[k] && !t.inSuccession(a, other, record) {
			n++
		}
	}
	return n
}

// inSuccession reports whether the content k was in flight at both crashes and its attempt at one of them began after
// the other crash.
func (t *Tracker) inSuccession(k content, a, b *crash) bool {
	if !a.contents[k] || !b.contents[k] {
		return false
	}
	for _, c := range t.suspicions[k].causes {
		later := c.crash == a.crash && !c.began.Before(b.at) || c.crash == b.crash && !c.began.Before(a.at)
		if later {
			return true
		}
	}
	return false
}

// nearby reports whether two crashes are at most CommonCauseWindow apart.
func (t *Tracker) nearby(a, b *crash) bool {
	return a.at.Sub(b.at).Abs() <= cmp.Or(t.CommonCauseWindow, DefaultCommonCauseWindow)
}
