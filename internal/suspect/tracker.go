package suspect

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Verdicts on a content.
const (
	Clear       Verdict = iota // the content may run like any other
	Suspected                  // the content may run, but not on a backend server that runs another suspect
	Quarantined                // the content is quarantined: its requests are refused
	Pending                    // the caller waits and checks again: the cause of a crash is undecided, or a copy runs
)

// Default durations of the fields of Tracker.
const (
	DefaultExpiry            = 10 * time.Minute
	DefaultQuarantineDelay   = 2 * time.Second
	DefaultCommonCauseWindow = time.Second
	DefaultEndedGrace        = 2 * time.Second
	DefaultGrantConfirmDelay = 500 * time.Millisecond
	DefaultCopyWait          = 2 * time.Second
	DefaultRetryDelay        = 500 * time.Millisecond
	DefaultOtherCauseWait    = 3 * time.Second
)

// Limits of what a Tracker keeps in memory and sends to peers.
const (
	maxContents         = 4096                  // contents with a suspicion
	maxCauses           = 4                     // crashes kept for each content
	maxReported         = 16                    // contents, and crashes without a content, in one message to a peer
	maxAttemptAge       = 2 * time.Hour         // attempts older than this are dropped
	maxCopyWait         = 30 * time.Second      // longest wait for another running copy, since its host may have failed
	sameCrashWindow     = 10 * time.Second      // reports of one crash, which may lack its epoch, are this close together
	recentChange        = 8 * time.Second       // changes younger than this are sent before older ones
	sweepInterval       = 10 * time.Second      // between two removals of expired records
	checkInterval       = 20 * time.Millisecond // between two searches for contents to quarantine
	crashesToQuarantine = 2                     // crashes of one content that may quarantine it
	manyCrashes         = 2                     // other crashes at about the same time that show a common cause
)

type (
	// Verdict says whether and how a content may run.
	Verdict uint8

	// content identifies a prompt content, whichever request of the workspace sends it.
	content struct {
		workspace   string
		fingerprint uint64
	}

	// run is one attempt of a request on a backend server.
	run struct {
		content content
		began   time.Time
		local   bool      // the attempt was dispatched by this host, which therefore knows that it ran
		ended   time.Time // when the attempt ended; zero while it is in flight
	}

	// runKey identifies a run: an attempt may run on several backend servers.
	runKey struct {
		server string
		id     protocol.AttemptID
	}

	// crashID identifies the crash of one process of a backend server.
	crashID struct {
		server string
		epoch  uint64 // of the process that crashed; 0 if unknown
	}

	// cause is a crash during which a content was in flight.
	cause struct {
		crash crashID
		began time.Time // when the content's attempt began
		ran   bool      // the attempt is known, or assumed, to have reached the backend server
		local bool      // the attempt was dispatched by this host
	}

	// grant is an attempt that was granted on a backend server which then crashed. Only the grant is known: the host
	// that dispatches the attempt has not reported yet whether it ran.
	grant struct {
		content   content
		crash     crashID
		confirmAt time.Time // from then on the attempt counts as run, unless it was withdrawn before
	}

	// suspicion holds the evidence against one content.
	suspicion struct {
		causes      []cause // at most maxCauses
		quarantined bool
		cleared     time.Time // when it last gave a complete response; crashes before then don't count
		changed     time.Time // when new evidence or a clearing last arrived
		expiry      time.Time // when the suspicion is removed
	}

	// crash is one crash with the contents that were in flight on the backend server.
	crash struct {
		crash       crashID
		at          time.Time // earliest time at which a host reported the crash
		changed     time.Time // when this host learned of the crash
		contents    map[content]bool
		explainedBy *content // the quarantined content that caused the crash; nil if there is none
	}
)

// Tracker tracks which contents were in flight on crashed backend servers and decides which of them are suspected or
// quarantined. It is safe for concurrent use.
type Tracker struct {
	// Host is the name of this host. Attempts that it dispatched count as having reached the backend server; if Host is
	// empty, all attempts do.
	Host string
	// Expiry is how long a suspicion is kept after its last crash; 0 means DefaultExpiry.
	Expiry time.Duration
	// QuarantineDelay is the time from a crash until a content may be quarantined for it; 0 means DefaultQuarantineDelay.
	QuarantineDelay time.Duration
	// CommonCauseWindow is the longest time between two crashes that may have a common cause; 0 means
	// DefaultCommonCauseWindow.
	CommonCauseWindow time.Duration
	// EndedGrace is the longest time from the end of an attempt to the report of a crash for which the attempt still
	// counts as in flight at the crash; 0 means DefaultEndedGrace.
	EndedGrace time.Duration
	// GrantConfirmDelay is the time from a crash until a granted attempt on the backend server counts as run although
	// its host has reported nothing; 0 means DefaultGrantConfirmDelay.
	GrantConfirmDelay time.Duration
	// OtherCauseWait is how long after a crash the verdict on a content that was in flight at an earlier crash too may
	// stay Pending, because another content may still explain this crash; 0 means DefaultOtherCauseWait.
	OtherCauseWait time.Duration
	// RetryDelay is the time from a crash until the contents that were in flight may be tried again; 0 means
	// DefaultRetryDelay.
	RetryDelay time.Duration
	// CopyWait is how long a content that only other hosts dispatched waits for its outcome there; 0 means
	// DefaultCopyWait.
	CopyWait time.Duration

	mu            sync.Mutex
	runs          map[runKey]*run
	epochs        map[string]uint64 // epoch of each backend server in its last load report
	crashes       map[crashID]*crash
	suspicions    map[content]*suspicion
	grants        map[runKey]grant
	lastSweep     time.Time // when prepare last removed expired records
	lastCheck     time.Time // when quarantineProven last ran
	cursor        int       // position of Gossip in the rotation of the older suspicions
	evidenceCount uint64    // grows with each new crash, cause and quarantine, which peers should learn of at once

	skipWaits        bool // decides without waiting for reports of other crashes; for tests
	skipExplanations bool // counts crashes whatever else may explain them; for tests
}

// Started records that this host sends an attempt to a backend server, or that the backend server's scheduler grants
// the attempt. It does nothing if the attempt is already in flight there. The last argument is ignored.
func (t *Tracker) Started(
	now time.Time, server string, id protocol.AttemptID, workspace string, fingerprint uint64, _ bool,
) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare(now)
	k := runKey{server, id}
	if r := t.runs[k]; r != nil && r.ended.IsZero() {
		return
	}
	t.runs[k] = &run{
		content: content{workspace, fingerprint},
		began:   now,
		local:   t.Host == "" || t.Host == id.Host,
	}
}

// Ended records that an attempt has ended. If this host dispatched the attempt, a crash of the backend server that is
// noticed within EndedGrace still counts against its content. If only a grant for it is known, the attempt is
// withdrawn.
func (t *Tracker) Ended(now time.Time, server string, id protocol.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := runKey{server, id}
	r := t.runs[k]
	switch {
	case r == nil || !r.local:
		t.withdrawAttempt(k)
	case r.ended.IsZero():
		r.ended = now
	}
}

// Withdraw removes an attempt that never reached the backend server, so that no crash counts against its content.
func (t *Tracker) Withdraw(_ time.Time, server string, id protocol.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdrawAttempt(runKey{server, id})
}

// withdrawAttempt removes an attempt and, if a scheduler's grant alone made it the cause of a crash, that cause too.
func (t *Tracker) withdrawAttempt(k runKey) {
	delete(t.runs, k)
	g, ok := t.grants[k]
	if !ok {
		return
	}
	delete(t.grants, k)
	if s := t.suspicions[g.content]; s != nil {
		s.causes = slices.DeleteFunc(s.causes, func(c cause) bool { return c.crash == g.crash && !c.ran })
	}
}

// Completed records that an attempt gave its complete response, so that earlier crashes no longer count against its
// content, unless the content is already quarantined.
func (t *Tracker) Completed(now time.Time, server string, id protocol.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := runKey{server, id}
	r := t.runs[k]
	if r == nil {
		return
	}
	delete(t.runs, k)
	if s := t.suspicions[r.content]; s != nil {
		t.clearCauses(now, r.content, s, now)
	}
}

// SetEpoch records the epoch of a backend server's process from its load report; crashes with different epochs are
// different crashes.
func (t *Tracker) SetEpoch(now time.Time, server string, epoch uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare(now)
	t.epochs[server] = epoch
}

// Crashed records that a backend server's process crashed and returns the suspicions against the contents that were in
// flight there.
//
// Callers report a crash if a stream broke and new connections are refused, or if the epoch changed; a backend server
// that doesn't respond has not necessarily crashed.
func (t *Tracker) Crashed(now time.Time, server string) []protocol.Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare(now)
	c := t.resolve(crashID{server, t.epochs[server]}, now)
	record := t.recordCrash(c, now, now)
	var suspects []content
	for k, r := range t.runs {
		if k.server != server {
			continue
		}
		delete(t.runs, k)
		if !r.ended.IsZero() && now.Sub(r.ended) > cmp.Or(t.EndedGrace, DefaultEndedGrace) {
			continue
		}
		t.addCause(now, r.content, record, cause{crash: c, began: r.began, ran: r.local, local: r.local})
		if !r.local {
			t.grants[k] = grant{
				content: r.content, crash: c,
				confirmAt: now.Add(cmp.Or(t.GrantConfirmDelay, DefaultGrantConfirmDelay)),
			}
		}
		suspects = append(suspects, r.content)
	}
	return t.export(now, suspects)
}

// Check returns the verdict on a content that this host is about to dispatch. It returns Pending while the cause of a
// crash is undecided, and for a suspected content also while another copy of it runs, or is expected to run at another
// host.
func (t *Tracker) Check(now time.Time, workspace string, fingerprint uint64) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare(now)
	if len(t.suspicions) == 0 {
		return Clear
	}
	t.quarantineProven(now)
	k := content{workspace, fingerprint}
	v := t.verdict(now, k)
	if v == Suspected && !t.skipExplanations && t.runsElsewhere(now, k) {
		return Pending
	}
	return v
}

// CheckGrant returns the verdict on a content for which a host requests a grant. If that host already suspects the
// content, the verdict is at least Suspected, and other running copies are not considered.
func (t *Tracker) CheckGrant(now time.Time, a *protocol.GrantRequest) Verdict {
	if !a.Suspect {
		return t.Check(now, a.Workspace, a.Fingerprint)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare(now)
	t.quarantineProven(now)
	return max(t.verdict(now, content{a.Workspace, a.Fingerprint}), Suspected)
}

// verdict returns the verdict on a content, without regard to other copies of it that run.
func (t *Tracker) verdict(now time.Time, k content) Verdict {
	s := t.suspicions[k]
	switch {
	case s == nil:
		return Clear
	case s.quarantined:
		return Quarantined
	case t.verdictPending(now, k, s):
		return Pending
	case t.skipExplanations:
		return Suspected
	}
	v := Clear
	for _, c := range s.causes {
		record := t.crashes[c.crash]
		if record == nil || record.explainedBy != nil {
			continue
		}
		if !t.skipWaits && now.Before(record.at.Add(cmp.Or(t.RetryDelay, DefaultRetryDelay))) {
			return Pending
		}
		if !t.commonCause(record, k) {
			v = Suspected
		}
	}
	return v
}

// runsElsewhere reports whether another copy of a suspected content is in flight, or is expected to run soon: if this
// host dispatched none of the attempts that crashed, the hosts that did so may retry it for the time CopyWait.
func (t *Tracker) runsElsewhere(now time.Time, k content) bool {
	for _, r := range t.runs {
		if r.content == k && r.ended.IsZero() && now.Sub(r.began) < maxCopyWait {
			return true
		}
	}
	s := t.suspicions[k]
	for _, c := range s.causes {
		if c.local {
			return false
		}
	}
	return now.Before(s.changed.Add(cmp.Or(t.CopyWait, DefaultCopyWait)))
}

// prepare makes the maps, confirms grants and, every sweepInterval, removes what is too old.
func (t *Tracker) prepare(now time.Time) {
	if t.runs == nil {
		t.runs = make(map[runKey]*run)
		t.epochs = make(map[string]uint64)
		t.crashes = make(map[crashID]*crash)
		t.suspicions = make(map[content]*suspicion)
		t.grants = make(map[runKey]grant)
	}
	t.confirmGrants(now)
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	t.sweep(now)
}

// confirmGrants counts granted attempts as run if their hosts have not reported otherwise by confirmAt, since those
// hosts may have failed too.
func (t *Tracker) confirmGrants(now time.Time) {
	for k, g := range t.grants {
		if now.Before(g.confirmAt) {
			continue
		}
		delete(t.grants, k)
		s := t.suspicions[g.content]
		if s == nil {
			continue
		}
		for i := range s.causes {
			if c := &s.causes[i]; c.crash == g.crash && !c.ran {
				c.ran = true
				t.recordEvidence(now, s)
			}
		}
	}
}

// sweep removes attempts, suspicions and crashes that are too old.
func (t *Tracker) sweep(now time.Time) {
	grace := cmp.Or(t.EndedGrace, DefaultEndedGrace)
	for k, r := range t.runs {
		if now.Sub(r.began) > maxAttemptAge || !r.ended.IsZero() && now.Sub(r.ended) > grace {
			delete(t.runs, k)
		}
	}
	for k, s := range t.suspicions {
		if now.After(s.expiry) {
			t.dropSuspicion(k)
		}
	}
	for c, record := range t.crashes {
		if now.Sub(record.at) > cmp.Or(t.Expiry, DefaultExpiry) {
			delete(t.crashes, c)
		}
	}
}

// dropSuspicion removes a suspicion but keeps the records of its crashes, which remain evidence about other contents.
func (t *Tracker) dropSuspicion(k content) {
	for _, c := range t.suspicions[k].causes {
		if record := t.crashes[c.crash]; record != nil {
			delete(record.contents, k)
		}
	}
	delete(t.suspicions, k)
}
