package quarantine

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// Crashes of different replicas that quarantine the parts that all the requests share.
	crashesForParts = 3
	// Different requests that must be among these; the crashes of one are held against the request alone.
	requestsForParts = 2
	// As crashesForParts, if another part recurs in these requests or the part was in a completed request before.
	crashesForDoubtfulParts = 5
	// Crashes, beyond those that a quarantine explains, that quarantine fewer parts than that one.
	crashesToNarrow = 2
	// Crashes of different replicas that quarantine a whole request, early ones and all together. A sound request that was
	// at several crashes had mostly been written for some time.
	earlyCrashesForRequest = 3
	crashesForRequest      = 5
	// Replicas that crash within commonWindow have a common cause if this many of them or more did not hold the content.
	commonCrashes = 3
	commonWindow  = 300 * time.Millisecond
	// How much later than it came a sign of life of a replica may be reported.
	reportDelay = 150 * time.Millisecond
	// Time from a crash until it is decided whether parts of the request are the cause.
	decisionDelay = 500 * time.Millisecond
	// Parts are judged at most once in this time.
	judgeInterval = 100 * time.Millisecond
	// As decisionDelay, for parts that most requests hold.
	widespreadDelay = 2 * time.Second
	// As decisionDelay, for parts in whose place others may be the cause.
	doubtDelay = 2 * time.Second
	// How long a crash counts.
	crashRetention = 60 * time.Second
	// How long a completed request clears its parts.
	clearedRetention = 10 * time.Minute
	// Length of the first quarantine of a content. It doubles each time the request that is then let through crashes a
	// replica, up to maxQuarantine.
	minQuarantine = 30 * time.Second
	// Length of the first quarantine of a content that most requests hold.
	widespreadQuarantine = 2 * time.Second
	maxQuarantine        = 16 * time.Minute
	// How long a request that is let through has until its outcome is known.
	probeTime = 15 * time.Second
	// Shortest time after which a refused caller may retry.
	minRetryAfter = time.Second

	maxCrashes = 2048 // attempts that broke off and are remembered
	maxCleared = 4096 // parts that are remembered as cleared
)

// Content is what identifies a request: the hashes of the parts of its prompt that other requests may share, and of the
// whole request; 0 if there is none.
type Content struct {
	Parts   []uint64 `cbor:"1,keyasint,omitempty"`
	Request uint64   `cbor:"2,keyasint,omitempty"`
}

// String returns the hashes in hexadecimal: those of the parts, separated by spaces, or that of the whole request.
func (c *Content) String() string {
	if c.Request != 0 {
		return "request " + strconv.FormatUint(c.Request, 16)
	}
	names := make([]string, 0, len(c.Parts))
	for _, part := range c.Parts {
		names = append(names, strconv.FormatUint(part, 16))
	}
	return strings.Join(names, " ")
}

// holds reports whether the content has all parts of q or, if q names a whole request, is that request.
func (c *Content) holds(q *Content) bool {
	if q.Request != 0 {
		return c.Request == q.Request
	}
	for _, part := range q.Parts {
		if !slices.Contains(c.Parts, part) {
			return false
		}
	}
	return true
}

// Table holds the crashes and the quarantined contents that one planner knows. It isn't safe for concurrent use; all times
// passed to its methods must come from the same clock.
type Table struct {
	crashes   []Crash // in the order in which they were recorded
	replicas  []silentReplica
	down      map[string]time.Time // when Down was last called for a replica
	dueAt     []time.Time          // when parts are to be judged
	judgedAt  time.Time            // when they were judged last
	verdicts  map[uint64]*verdict
	cleared   map[uint64]time.Time // last completed request with each part
	traffic   traffic
	lastSweep time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		down: make(map[string]time.Time), verdicts: make(map[uint64]*verdict), cleared: make(map[uint64]time.Time),
	}
}

// Completed records that a replica has completed a request with the given content, or has written its response for so
// long that nothing in it crashes replicas.
func (t *Table) Completed(now time.Time, c Content) {
	t.sweep(now)
	t.clearParts(now, c.Parts)
	for i := range t.crashes {
		crash := &t.crashes[i]
		crash.completed = crash.completed || c.Request != 0 && crash.Content.Request == c.Request
	}
	if t.clearVerdicts(now, &c, true) {
		t.judgeAt(now) // crashes that were explained may have another cause
	}
}

// isCleared reports whether a request with the part was completed.
func (t *Table) isCleared(part uint64) bool {
	_, ok := t.cleared[part]
	return ok
}

// Refuses reports whether requests with the given content are refused, and when their callers may retry. Once the time of
// a quarantine is over, one request is let through if mayProbe is set; LetThrough must be called for it.
func (t *Table) Refuses(now time.Time, c Content, mayProbe bool) (retryAfter time.Duration, refused bool) {
	t.decide(now)
	for _, v := range t.verdicts {
		if !v.quarantined() || !c.holds(&v.content) {
			continue
		}
		if wait := v.until.Sub(now); wait > 0 || !mayProbe || !t.mayTest(now, v, &c) {
			retryAfter = max(retryAfter, wait, minRetryAfter)
			refused = true
		}
	}
	return retryAfter, refused
}

// LetThrough records that a request is sent to a replica. If its content is quarantined, further ones are refused until
// its outcome is known.
func (t *Table) LetThrough(now time.Time, c Content) {
	t.traffic.add(&c)
	for _, v := range t.verdicts {
		if v.quarantined() && c.holds(&v.content) {
			v.until = now.Add(probeTime)
			v.probing = true
		}
	}
}

// sweep forgets what is too old or too much.
func (t *Table) sweep(now time.Time) {
	const sweepInterval = time.Second
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	t.crashes = slices.DeleteFunc(t.crashes, func(c Crash) bool { return now.Sub(c.at) > crashRetention })
	t.replicas = slices.DeleteFunc(t.replicas, func(r silentReplica) bool { return now.Sub(r.at) > crashRetention })
	for replica, at := range t.down {
		if now.Sub(at) > crashRetention {
			delete(t.down, replica)
		}
	}
	for part, at := range t.cleared {
		if now.Sub(at) > clearedRetention || len(t.cleared) > maxCleared {
			delete(t.cleared, part)
		}
	}
	for key, v := range t.verdicts {
		if now.Sub(v.until) > clearedRetention {
			delete(t.verdicts, key)
		}
	}
}
