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
	Clear     Verdict = iota // runs like any other
	Suspected                // runs apart from other suspects
	Condemned                // is refused
	Held                     // waits until the cause of its last crash is settled, then is checked again
)

// Defaults of a Ledger's exported fields.
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

// Bounds of what a Ledger remembers and spreads.
const (
	maxContents      = 4096
	maxCauses        = 4
	maxNews          = 16
	maxAttemptAge    = 2 * time.Hour
	maxCopyWait      = 30 * time.Second // for a copy that runs, whose host may have died
	sameCrash        = 10 * time.Second // reports of one crash without an epoch come within it
	newsAge          = 8 * time.Second  // how long a change is sent before older ones
	sweepEvery       = 10 * time.Second
	settleEvery      = 20 * time.Millisecond
	crashesToCondemn = 2
	manyLosses       = 2 // further crashes at once that show a common cause
)

type (
	// Verdict says how a content may run.
	Verdict uint8

	// content names what a request asks for, whoever sends it.
	content struct {
		workspace   string
		fingerprint uint64
	}

	// run is one attempt on a backend server.
	run struct {
		content content
		began   time.Time
		own     bool      // dispatched by this host, which therefore knows that it ran
		ended   time.Time // zero while it is in flight
	}

	runKey struct {
		server string
		id     protocol.AttemptID
	}

	// crash names the end of one process of a backend server.
	crash struct {
		server string
		epoch  uint64
	}

	// cause is a crash during which a content was in flight.
	cause struct {
		crash crash
		began time.Time // of the content's attempt
		ran   bool      // the attempt reached the backend server
		own   bool      // it was dispatched by this host
	}

	// grant is the word of a scheduler alone that an attempt was on a crashed backend server.
	grant struct {
		content content
		crash   crash
		firm    time.Time // when it counts, unless the host that dispatched the attempt speaks up before
	}

	// suspicion is what is known of one content.
	suspicion struct {
		causes    []cause
		condemned bool
		cleared   time.Time // when it last gave a whole answer; crashes before then don't count
		changed   time.Time
		expiry    time.Time
	}

	// loss is one crash with the contents that were in flight.
	loss struct {
		crash    crash
		at       time.Time
		changed  time.Time
		contents map[content]bool
		blamed   *content // the condemned content that explains it
	}
)

// Ledger records which contents were in flight on crashed backend servers; it is safe for concurrent use.
type Ledger struct {
	Host   string        // name of this host, whose own attempts count as having run; empty counts all
	Expiry time.Duration // of a suspicion; 0 means DefaultExpiry
	Hold   time.Duration // from a crash to the verdict on it; 0 means DefaultHold
	Window time.Duration // crashes this close together have a common cause; 0 means DefaultWindow
	Grace  time.Duration // attempts that ended this long before a crash was noticed belong to it; 0 means DefaultGrace
	Firm   time.Duration // a grant counts as a run when its host is silent for this long; 0 means DefaultFirm
	Doubt  time.Duration // from a crash to the next attempt while its cause is in doubt; 0 means DefaultDoubt
	Settle time.Duration // from a crash to the next attempts of its suspects; 0 means DefaultSettle
	Turn   time.Duration // a content suspected elsewhere waits this long for its outcome there; 0 means DefaultTurn

	mu       sync.Mutex
	runs     map[runKey]*run
	epochs   map[string]uint64
	losses   map[crash]*loss
	contents map[content]*suspicion
	grants   map[runKey]grant
	swept    time.Time
	settled  time.Time
	cursor   int
	evidence uint64 // grows with each crash, cause and verdict that peers should hear of at once

	hasty  bool // gives verdicts without waiting for other crashes; for tests
	simple bool // counts crashes without asking what else explains them; for tests
}

// Started records that an attempt is sent to a backend server, or granted there by its scheduler.
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
		own:     l.Host == "" || l.Host == id.Host,
	}
}

// Ended records that an attempt is over; a crash noticed shortly after still counts against this host's own attempts.
func (l *Ledger) Ended(now time.Time, server string, id protocol.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := runKey{server, id}
	r := l.runs[k]
	switch {
	case r == nil || !r.own:
		l.withdraw(k)
	case r.ended.IsZero():
		r.ended = now
	}
}

// Withdrawn forgets an attempt that never reached the backend server, so that no crash counts against it.
func (l *Ledger) Withdrawn(_ time.Time, server string, id protocol.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdraw(runKey{server, id})
}

func (l *Ledger) withdraw(k runKey) {
	delete(l.runs, k)
	g, ok := l.grants[k]
	if !ok {
		return
	}
	delete(l.grants, k)
	if s := l.contents[g.content]; s != nil {
		s.causes = slices.DeleteFunc(s.causes, func(c cause) bool { return c.crash == g.crash && !c.ran })
	}
}

// Completed records that an attempt gave its whole answer, which clears its content of earlier crashes.
func (l *Ledger) Completed(now time.Time, server string, id protocol.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := runKey{server, id}
	r := l.runs[k]
	if r == nil {
		return
	}
	delete(l.runs, k)
	if s := l.contents[r.content]; s != nil {
		l.clear(now, r.content, s, now)
	}
}

// Epoch records the epoch in a backend server's load report, which tells its crashes apart.
func (l *Ledger) Epoch(now time.Time, server string, epoch uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	l.epochs[server] = epoch
}

// Crashed records that a backend server's process died and returns what is now suspected because of it.
//
// It is for a stream that broke while new connections are refused, or an epoch that changed; silence is no crash.
func (l *Ledger) Crashed(now time.Time, server string) []protocol.Suspicion {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	c := l.resolve(crash{server, l.epochs[server]}, now)
	lost := l.lose(c, now, now)
	var suspects []content
	for k, r := range l.runs {
		if k.server != server {
			continue
		}
		delete(l.runs, k)
		if !r.ended.IsZero() && now.Sub(r.ended) > cmp.Or(l.Grace, DefaultGrace) {
			continue
		}
		l.blame(now, r.content, lost, cause{crash: c, began: r.began, ran: r.own, own: r.own})
		if !r.own {
			l.grants[k] = grant{content: r.content, crash: c, firm: now.Add(cmp.Or(l.Firm, DefaultFirm))}
		}
		suspects = append(suspects, r.content)
	}
	return l.export(now, suspects)
}

// Check returns the verdict on a content that this host is about to dispatch.
func (l *Ledger) Check(now time.Time, workspace string, fingerprint uint64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	if len(l.contents) == 0 {
		return Clear
	}
	l.settle(now)
	k := content{workspace, fingerprint}
	v := l.verdict(now, k)
	if v == Suspected && !l.simple && l.runsElsewhere(now, k) {
		return Held
	}
	return v
}

// CheckAsk returns the verdict on a content for which another host asks a grant.
func (l *Ledger) CheckAsk(now time.Time, a *protocol.Ask) Verdict {
	if !a.Suspect {
		return l.Check(now, a.Workspace, a.Fingerprint)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare(now)
	l.settle(now)
	return max(l.verdict(now, content{a.Workspace, a.Fingerprint}), Suspected)
}

func (l *Ledger) verdict(now time.Time, k content) Verdict {
	s := l.contents[k]
	switch {
	case s == nil:
		return Clear
	case s.condemned:
		return Condemned
	case l.unsettled(now, k, s):
		return Held
	case l.simple:
		return Suspected
	}
	v := Clear
	for _, c := range s.causes {
		lost := l.losses[c.crash]
		if lost == nil || lost.blamed != nil {
			continue
		}
		if !l.hasty && now.Before(lost.at.Add(cmp.Or(l.Settle, DefaultSettle))) {
			return Held
		}
		if !l.external(lost, k) {
			v = Suspected
		}
	}
	return v
}

// runsElsewhere reports whether another copy of a suspected content runs now or is about to.
func (l *Ledger) runsElsewhere(now time.Time, k content) bool {
	for _, r := range l.runs {
		if r.content == k && r.ended.IsZero() && now.Sub(r.began) < maxCopyWait {
			return true
		}
	}
	s := l.contents[k]
	for _, c := range s.causes {
		if c.own {
			return false
		}
	}
	return now.Before(s.changed.Add(cmp.Or(l.Turn, DefaultTurn)))
}

// prepare makes the maps and drops what is too old.
func (l *Ledger) prepare(now time.Time) {
	if l.runs == nil {
		l.runs = make(map[runKey]*run)
		l.epochs = make(map[string]uint64)
		l.losses = make(map[crash]*loss)
		l.contents = make(map[content]*suspicion)
		l.grants = make(map[runKey]grant)
	}
	l.confirm(now)
	if now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = now
	l.sweep(now)
}

// confirm lets grants count as runs whose hosts have kept silent, since they may have died too.
func (l *Ledger) confirm(now time.Time) {
	for k, g := range l.grants {
		if now.Before(g.firm) {
			continue
		}
		delete(l.grants, k)
		s := l.contents[g.content]
		if s == nil {
			continue
		}
		for i := range s.causes {
			if c := &s.causes[i]; c.crash == g.crash && !c.ran {
				c.ran = true
				l.learn(now, s)
			}
		}
	}
}

func (l *Ledger) sweep(now time.Time) {
	grace := cmp.Or(l.Grace, DefaultGrace)
	for k, r := range l.runs {
		if now.Sub(r.began) > maxAttemptAge || !r.ended.IsZero() && now.Sub(r.ended) > grace {
			delete(l.runs, k)
		}
	}
	for k, s := range l.contents {
		if now.After(s.expiry) {
			l.forget(k)
		}
	}
	for c, lost := range l.losses {
		if now.Sub(lost.at) > cmp.Or(l.Expiry, DefaultExpiry) {
			delete(l.losses, c)
		}
	}
}

// forget drops a suspicion but keeps the crashes, which stay evidence about other contents.
func (l *Ledger) forget(k content) {
	for _, c := range l.contents[k].causes {
		if lost := l.losses[c.crash]; lost != nil {
			delete(lost.contents, k)
		}
	}
	delete(l.contents, k)
}
