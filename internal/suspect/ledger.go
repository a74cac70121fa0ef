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
	Clear     Verdict = iota // the content may run like any other
	Suspected                // the content may run, but not on a backend server that runs another suspect
	Condemned                // the content is quarantined: its requests are refused
	Held                     // the caller waits and checks again: the cause of a crash is undecided, or a copy runs
)

// Default durations of the fields of Ledger.
const (
	DefaultExpiry = 10 * time.Minute
	DefaultHold   = 2 * time.Second
	DefaultWindow = time.Second
	DefaultGrace  = 2 * time.Second
	DefaultFirm   = 500 * time.Millisecond
	DefaultTurn   = 2 * time.Second
	DefaultSettle = 500 * time.Millisecond
	DefaultDoubt  = 3 * time.Second
)

// Limits of what a Ledger keeps in memory and sends to peers.
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

// Ledger tracks which contents were in flight on crashed backend servers and decides which of them are suspected or
// quarantined. It is safe for concurrent use.
type Ledger struct {
	// Host is the name of this host. Attempts that it dispatched count as having reached the backend server; if Host is
	// empty, all attempts do.
	Host string
	// Expiry is how long a suspicion is kept after its last crash; 0 means DefaultExpiry.
	Expiry time.Duration
	// Hold is the time from a crash until a content may be quarantined for it; 0 means DefaultHold.
	Hold time.Duration
	// Window is the longest time between two crashes that may have a common cause; 0 means DefaultWindow.
	Window time.Duration
	// Grace is how long before the report of a crash an attempt may have ended and still count as in flight at the
	// crash; 0 means DefaultGrace.
	Grace time.Duration
	// Firm is the time from a crash until a granted attempt on the backend server counts as run although its host has
	// reported nothing; 0 means DefaultFirm.
	Firm time.Duration
	// Doubt is the longest time from a crash during which a content that crashed a backend server before is held since
	// another content may still explain this crash; 0 means DefaultDoubt.
	Doubt time.Duration
	// Settle is the time from a crash until the contents that were in flight may be tried again; 0 means DefaultSettle.
	Settle time.Duration
	// Turn is how long a content that only other hosts dispatched waits for its outcome there; 0 means DefaultTurn.
	Turn time.Duration

	mu            sync.Mutex
	runs          map[runKey]*run
	epochs        map[string]uint64 // epoch of each backend server in its last load report
	crashes       map[crashID]*crash
	suspicions    map[content]*suspicion
	grants        map[runKey]grant
	lastSweep     time.Time // when prepare last removed expired records
	lastCheck     time.Time // when quarantineProven last ran
	cursor        int       // position of Recent in the rotation of the older suspicions
	evidenceCount uint64    // grows with each new crash, cause and quarantine, which peers should learn of at once

	skipWaits        bool // decides without waiting for reports of other crashes; for tests
	skipExplanations bool // counts crashes whatever else may explain them; for tests
}

// Started records that this host sends an attempt to a backend server, or that the backend server's scheduler grants
// the attempt. It does nothing if the attempt is already in flight there. The last argument is ignored.
func (l *Ledger) Started(
	now time.Time, server string, id protocol.AttemptID, workspace string, fingerprint uint64, _ bool,
) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	k := runKey{server, id}
	if r := l.runs[k]; r != nil && r.ended.IsZero() {
		return
	}
	l.runs[k] = &run{
		content: content{workspace, fingerprint},
		began:   now,
		local:   l.Host == "" || l.Host == id.Host,
	}
}

// Ended records that an attempt has ended. If this host dispatched the attempt, a crash of the backend server that is
// noticed within Grace still counts against its content. If only a grant for it is known, the attempt is withdrawn.
func (l *Ledger) Ended(now time.Time, server string, id protocol.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := runKey{server, id}
	r := l.runs[k]
	switch {
	case r == nil || !r.local:
		l.withdrawAttempt(k)
	case r.ended.IsZero():
		r.ended = now
	}
}

// Withdrawn removes an attempt that never reached the backend server, so that no crash counts against its content.
func (l *Ledger) Withdrawn(_ time.Time, server string, id protocol.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawAttempt(runKey{server, id})
}

// withdrawAttempt removes an attempt and, if a scheduler's grant alone made it the cause of a crash, that cause too.
func (l *Ledger) withdrawAttempt(k runKey) {
	delete(l.runs, k)
	g, ok := l.grants[k]
	if !ok {
		return
	}
	delete(l.grants, k)
	if s := l.suspicions[g.content]; s != nil {
		s.causes = slices.DeleteFunc(s.causes, func(c cause) bool { return c.crash == g.crash && !c.ran })
	}
}

// Completed records that an attempt gave its complete response, so that earlier crashes no longer count against its
// content, unless the content is already quarantined.
func (l *Ledger) Completed(now time.Time, server string, id protocol.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := runKey{server, id}
	r := l.runs[k]
	if r == nil {
		return
	}
	delete(l.runs, k)
	if s := l.suspicions[r.content]; s != nil {
		l.clearCauses(now, r.content, s, now)
	}
}

// Epoch records the epoch of a backend server's process from its load report; crashes with different epochs are
// different crashes.
func (l *Ledger) Epoch(now time.Time, server string, epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	l.epochs[server] = epoch
}

// Crashed records that a backend server's process crashed and returns the suspicions against the contents that were in
// flight there.
//
// Callers report a crash if a stream broke and new connections are refused, or if the epoch changed; a backend server
// that doesn't respond has not necessarily crashed.
func (l *Ledger) Crashed(now time.Time, server string) []protocol.Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	c := l.resolve(crashID{server, l.epochs[server]}, now)
	record := l.recordCrash(c, now, now)
	var suspects []content
	for k, r := range l.runs {
		if k.server != server {
			continue
		}
		delete(l.runs, k)
		if !r.ended.IsZero() && now.Sub(r.ended) > cmp.Or(l.Grace, DefaultGrace) {
			continue
		}
		l.addCause(now, r.content, record, cause{crash: c, began: r.began, ran: r.local, local: r.local})
		if !r.local {
			l.grants[k] = grant{content: r.content, crash: c, confirmAt: now.Add(cmp.Or(l.Firm, DefaultFirm))}
		}
		suspects = append(suspects, r.content)
	}
	return l.export(now, suspects)
}

// Check returns the verdict on a content that this host is about to dispatch. It returns Held for a suspected content
// while another copy of it runs or is expected to run at another host.
func (l *Ledger) Check(now time.Time, workspace string, fingerprint uint64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	if len(l.suspicions) == 0 {
		return Clear
	}
	l.quarantineProven(now)
	k := content{workspace, fingerprint}
	v := l.verdict(now, k)
	if v == Suspected && !l.skipExplanations && l.runsElsewhere(now, k) {
		return Held
	}
	return v
}

// CheckAsk returns the verdict on a content for which a host requests a grant. If that host already suspects the
// content, the verdict is at least Suspected, and other running copies are not considered.
func (l *Ledger) CheckAsk(now time.Time, a *protocol.Ask) Verdict {
	if !a.Suspect {
		return l.Check(now, a.Workspace, a.Fingerprint)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	l.quarantineProven(now)
	return max(l.verdict(now, content{a.Workspace, a.Fingerprint}), Suspected)
}

// verdict returns the verdict on a content, without regard to other copies of it that run.
func (l *Ledger) verdict(now time.Time, k content) Verdict {
	s := l.suspicions[k]
	switch {
	case s == nil:
		return Clear
	case s.quarantined:
		return Condemned
	case l.verdictPending(now, k, s):
		return Held
	case l.skipExplanations:
		return Suspected
	}
	v := Clear
	for _, c := range s.causes {
		record := l.crashes[c.crash]
		if record == nil || record.explainedBy != nil {
			continue
		}
		if !l.skipWaits && now.Before(record.at.Add(cmp.Or(l.Settle, DefaultSettle))) {
			return Held
		}
		if !l.commonCause(record, k) {
			v = Suspected
		}
	}
	return v
}

// runsElsewhere reports whether another copy of a suspected content is in flight, or is expected to run soon: if this
// host dispatched none of the attempts that crashed, the hosts that did so may retry it for the time Turn.
func (l *Ledger) runsElsewhere(now time.Time, k content) bool {
	for _, r := range l.runs {
		if r.content == k && r.ended.IsZero() && now.Sub(r.began) < maxCopyWait {
			return true
		}
	}
	s := l.suspicions[k]
	for _, c := range s.causes {
		if c.local {
			return false
		}
	}
	return now.Before(s.changed.Add(cmp.Or(l.Turn, DefaultTurn)))
}

// prepare makes the maps, confirms grants and, every sweepInterval, removes what is too old.
func (l *Ledger) prepare(now time.Time) {
	if l.runs == nil {
		l.runs = make(map[runKey]*run)
		l.epochs = make(map[string]uint64)
		l.crashes = make(map[crashID]*crash)
		l.suspicions = make(map[content]*suspicion)
		l.grants = make(map[runKey]grant)
	}
	l.confirmGrants(now)
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	l.sweep(now)
}

// confirmGrants counts granted attempts as run if their hosts have not reported otherwise by confirmAt, since those
// hosts may have failed too.
func (l *Ledger) confirmGrants(now time.Time) {
	for k, g := range l.grants {
		if now.Before(g.confirmAt) {
			continue
		}
		delete(l.grants, k)
		s := l.suspicions[g.content]
		if s == nil {
			continue
		}
		for i := range s.causes {
			if c := &s.causes[i]; c.crash == g.crash && !c.ran {
				c.ran = true
				l.recordEvidence(now, s)
			}
		}
	}
}

// sweep removes attempts, suspicions and crashes that are too old.
func (l *Ledger) sweep(now time.Time) {
	grace := cmp.Or(l.Grace, DefaultGrace)
	for k, r := range l.runs {
		if now.Sub(r.began) > maxAttemptAge || !r.ended.IsZero() && now.Sub(r.ended) > grace {
			delete(l.runs, k)
		}
	}
	for k, s := range l.suspicions {
		if now.After(s.expiry) {
			l.dropSuspicion(k)
		}
	}
	for c, record := range l.crashes {
		if now.Sub(record.at) > cmp.Or(l.Expiry, DefaultExpiry) {
			delete(l.crashes, c)
		}
	}
}

// dropSuspicion removes a suspicion but keeps the records of its crashes, which remain evidence about other contents.
func (l *Ledger) dropSuspicion(k content) {
	for _, c := range l.suspicions[k].causes {
		if record := l.crashes[c.crash]; record != nil {
			delete(record.contents, k)
		}
	}
	delete(l.suspicions, k)
}
