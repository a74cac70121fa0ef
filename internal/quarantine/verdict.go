package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict is a content that is quarantined, or was and is so no longer, as planners report it to each other.
type Verdict struct {
	Content Content `cbor:"1,keyasint"`
	// Generation rises with each decision on the content; the content is quarantined if it is odd. Of two verdicts on a
	// content the one with the higher generation holds.
	Generation uint32        `cbor:"2,keyasint"`
	Left       time.Duration `cbor:"3,keyasint,omitempty"` // time until a request is let through; negative after it
	Length     time.Duration `cbor:"4,keyasint,omitempty"` // length of the quarantine
	// TurnedBad says that requests with the content were completed before the crashes, which then don't clear it.
	TurnedBad bool `cbor:"5,keyasint,omitempty"`
}

// Quarantined reports whether requests with the content are refused.
func (v *Verdict) Quarantined() bool { return v.Generation%2 == 1 }

// verdict is what a table keeps of a Verdict.
type verdict struct {
	content    Content
	generation uint32
	since      time.Time // when the table quarantined the content, or got to know of it
	until      time.Time
	length     time.Duration
	turnedBad  bool
	probing    bool // a request was let through, and its outcome isn't known
}

func (v *verdict) quarantined() bool { return v.generation%2 == 1 }

// key returns a hash of the content.
func (c *Content) key() uint64 {
	b := binary.BigEndian.AppendUint64(nil, c.Request)
	for _, part := range c.Parts {
		b = binary.BigEndian.AppendUint64(b, part)
	}
	return xxhash.Sum64(b)
}

// quarantine quarantines a content unless it is already.
func (t *Table) quarantine(now time.Time, c Content, turnedBad bool) {
	if len(c.Parts) == 0 && c.Request == 0 {
		return
	}
	key := c.key()
	v := t.verdicts[key]
	if v == nil {
		v = &verdict{content: c}
		t.verdicts[key] = v
	}
	if v.quarantined() {
		return
	}
	v.generation++
	v.since = now
	if len(c.Parts) > 1 {
		t.judgeAt(now.Add(doubtDelay))
	}
	v.turnedBad = turnedBad
	v.length = minQuarantine
	if t.refusesMost(&c) {
		v.length = widespreadQuarantine
	}
	v.until = now.Add(v.length)
	v.probing = false
}

// refusesMost reports whether a quarantine of the content would refuse most requests.
func (t *Table) refusesMost(c *Content) bool {
	return len(c.Parts) > 0 && !slices.ContainsFunc(c.Parts, func(p uint64) bool { return !t.isWidespread(p) })
}

// mayTest reports whether a request is fit to be let through after the time of a quarantine. If that refuses most requests, it
// is one whose other parts were at few crashes; the longer none is found, the more may they be.
func (t *Table) mayTest(now time.Time, v *verdict, c *Content) bool {
	waited := now.Sub(v.until)
	if v.length >= minQuarantine || waited >= minQuarantine {
		return true
	}
	most := 1 << int(waited/time.Second)
	return !slices.ContainsFunc(c.Parts, func(part uint64) bool {
		return !t.isCleared(part) && !slices.Contains(v.content.Parts, part) && t.crashesAt(part) > most
	})
}

// crashesAt returns the number of replicas that crashed early in requests with the part.
func (t *Table) crashesAt(part uint64) int {
	replicas := make(map[string]bool)
	for i := range t.crashes {
		if c := &t.crashes[i]; c.Early && c.counts() && slices.Contains(c.Content.Parts, part) {
			replicas[c.Replica] = true
		}
	}
	return len(replicas)
}

// renewProbed doubles the quarantine of contents of which the request that was let through has crashed a replica.
func (t *Table) renewProbed(now time.Time, c *Content) {
	for _, v := range t.verdicts {
		if !v.probing || !v.quarantined() || !c.holds(&v.content) {
			continue
		}
		v.probing = false
		v.generation += 2
		v.length = v.longer()
		v.until = now.Add(v.length)
	}
}

// longer returns the length of the quarantine after a request that was let through has crashed a replica. Of a content that most
// requests hold a second one may, since what all requests share is let through with a part that is the cause now and then.
func (v *verdict) longer() time.Duration {
	length := min(2*v.length, maxQuarantine)
	if length > 2*widespreadQuarantine {
		return max(length, minQuarantine)
	}
	return length
}

// clearVerdicts ends the quarantine of contents that a completed request holds, and also of those that have turned bad if
// the request was completed only now. Where it holds only some of the parts that are quarantined together, the others
// remain. It reports whether it has ended one.
func (t *Table) clearVerdicts(now time.Time, c *Content, completedNow bool) bool {
	ended := false
	var remaining []verdict
	for _, v := range t.verdicts {
		if !v.quarantined() || v.turnedBad && !completedNow {
			continue
		}
		if c.holds(&v.content) {
			v.generation++
			v.until = now
			ended = true
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(v.content.Parts), func(p uint64) bool { return slices.Contains(c.Parts, p) })
		if len(rest) > 0 && len(rest) < len(v.content.Parts) {
			remaining = append(remaining, verdict{content: Content{Parts: rest}, turnedBad: v.turnedBad})
		}
	}
	for _, rest := range remaining {
		t.quarantine(now, rest.content, rest.turnedBad)
	}
	return ended
}

// Verdicts returns all verdicts, for another table.
func (t *Table) Verdicts(now time.Time) []Verdict {
	t.decide(now)
	verdicts := make([]Verdict, 0, len(t.verdicts))
	for _, v := range t.verdicts {
		verdicts = append(verdicts, Verdict{
			Content: v.content, Generation: v.generation, Left: v.until.Sub(now), Length: v.length,
			TurnedBad: v.turnedBad,
		})
	}
	return verdicts
}

// Digest identifies the verdicts: two tables with the same digest have the same. It is 0 if there are none.
func (t *Table) Digest(now time.Time) uint64 {
	t.decide(now)
	digest := uint64(0)
	for key, v := range t.verdicts {
		b := binary.BigEndian.AppendUint64(nil, key)
		digest ^= xxhash.Sum64(binary.BigEndian.AppendUint32(b, v.generation))
	}
	return digest
}

// Merge takes over the verdicts of another table that are newer than its own. It leaves out those that are too old, which
// the other table is about to forget, and clears the parts of which this table knows completed requests.
func (t *Table) Merge(now time.Time, verdicts []Verdict) {
	for i := range verdicts {
		other := &verdicts[i]
		key := other.Content.key()
		if v := t.verdicts[key]; v != nil && v.generation >= other.Generation || other.Left < -clearedRetention {
			continue
		}
		t.verdicts[key] = &verdict{
			content: other.Content, generation: other.Generation, length: min(other.Length, maxQuarantine),
			since: now, until: now.Add(min(other.Left, maxQuarantine)), turnedBad: other.TurnedBad,
		}
		if other.Quarantined() && len(other.Content.Parts) > 1 {
			t.judgeAt(now.Add(doubtDelay))
		}
		if !other.Quarantined() {
			t.clearParts(now, other.Content.Parts)
		}
		t.objectTo(now, other)
	}
}

// clearParts records that a request with the parts was completed.
func (t *Table) clearParts(now time.Time, parts []uint64) {
	for _, part := range parts {
		t.cleared[part] = now
	}
}

// objectTo clears the parts of another table's verdict of which this table knows completed requests.
func (t *Table) objectTo(now time.Time, v *Verdict) {
	if v.TurnedBad || !v.Quarantined() {
		return
	}
	var known Content
	for _, part := range v.Content.Parts {
		if t.isCleared(part) {
			known.Parts = append(known.Parts, part)
		}
	}
	if len(known.Parts) == 0 {
		return
	}
	t.clearVerdicts(now, &known, false)
}
