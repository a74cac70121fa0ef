package claim

import (
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const (
	minPause         = 50 * time.Millisecond
	maxPause         = 2 * time.Second
	pauseFactor      = 2
	inProgressRetry  = time.Second
	storeDownRetry   = 2 * time.Second
	confirmingReads  = 2 // of an open claim whose owner does not work on it
	defaultSettle    = 2 * time.Second
	defaultKeepTry   = 10 * time.Minute
	settleShareOfAll = 2 // settling may use up to this part of the caller's time
)

type phase uint8

const (
	phaseNew phase = iota
	phaseClaiming
	phaseReading // a record that stands in the way, or this attempt's own after a lost answer
	phaseAsking  // the owner of another attempt's open claim
	phaseRunning
	phaseWriting    // the outcome into this attempt's own claim
	phaseAbandoning // a claim that may have been created, after the caller was answered
	phaseDone
)

// next is what follows a Wait.
type next uint8

const (
	nextSwap next = iota
	nextRead
	nextAsk
)

// protections can be switched off by tests to show that each one is needed.
type protections struct {
	anyoneCloses      bool // replaces an open claim whose owner seems gone
	anyOwner          bool // takes any open claim for its own
	trustsLostSwap    bool // takes an unanswered swap for a created claim
	dispatchesAgain   bool // repeats a dispatch that broke
	closesDispatched  bool // closes a claim as not_run although the request may have run
	ignoresDeadline   bool // dispatches however long ago the claim was created
	ignoresBodyDigest bool
}

// Machine takes one sending of a request that must not be repeated to its outcome.
type Machine struct {
	Owner      Owner
	BodyDigest string
	Deadline   time.Time     // of the caller, far within the retention of claims; nothing is dispatched later
	Settle     time.Duration // that the store may take before the request is refused; 0 means 2 s
	KeepTrying time.Duration // to write an outcome into the store; 0 means 10 min

	off        protections
	phase      phase
	after      next
	revision   uint64 // that the next Swap expects
	record     *Record
	heard      time.Time // when the request was started, or the owner of the claim answered last
	quit       time.Time // when writing is given up
	pause      time.Duration
	maybe      bool // a Swap that was not answered may have created the claim
	blocked    bool // a claim of unknown owner or another owner's open claim stands in the way
	dispatched bool
	replied    bool
	confirmed  int // reads since the owner was last known to work
	seen       *Record
}

// Working reports whether the request is still being worked on, so that its claim may yet change.
func (m *Machine) Working() bool { return m.phase != phaseDone }

// Dispatched reports whether Dispatch was ordered.
func (m *Machine) Dispatched() bool { return m.dispatched }

// Step takes an event at now and returns the actions it causes.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if _, ok := ev.(Deadline); ok {
		return m.deadline(now)
	}
	if _, ok := ev.(Woke); ok {
		return m.woke()
	}
	switch m.phase {
	case phaseNew:
		return m.start(now)
	case phaseClaiming:
		return m.claiming(now, ev)
	case phaseReading:
		return m.reading(now, ev)
	case phaseAsking:
		return m.asking(now, ev)
	case phaseRunning:
		return m.running(now, ev)
	case phaseWriting:
		return m.writing(now, ev)
	case phaseAbandoning:
		return m.abandoning(now, ev)
	default:
		return nil
	}
}

func (m *Machine) start(now time.Time) []Action {
	m.heard = now
	m.pause = minPause
	return m.claim(0)
}

// claim orders the creation of the claim over a record of the given revision.
func (m *Machine) claim(revision uint64) []Action {
	m.phase = phaseClaiming
	m.revision = revision
	m.record = &Record{BodyDigest: m.BodyDigest, Owner: m.Owner, State: StateOpen}
	return m.swap()
}

func (m *Machine) swap() []Action {
	return []Action{Swap{Record: m.record, Revision: m.revision}}
}

func (m *Machine) claiming(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Swapped:
		return m.held(now, ev.Revision)
	case SwapConflicted:
		m.blocked = true
		return m.read()
	case SwapFailed:
		m.maybe = m.maybe || ev.Maybe
		if ev.Maybe && m.off.trustsLostSwap {
			return m.held(now, m.revision)
		}
		return m.retry(now, nextSwap)
	default:
		return nil
	}
}

// held dispatches under the claim that this attempt created at revision, unless that is too late.
func (m *Machine) held(now time.Time, revision uint64) []Action {
	m.revision = revision
	m.maybe = false
	late := !now.Before(m.Deadline) && !m.off.ignoresDeadline
	if late || m.replied {
		actions := m.refuse(outcome.KindDeadline, "no time was left when the claim stood", 0)
		return append(actions, m.write(now, StateNotRun, nil)...)
	}
	m.phase = phaseRunning
	m.dispatched = true
	return []Action{Dispatch{}}
}

func (m *Machine) running(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Answered:
		actions := m.reply(Reply{Answer: &ev.Answer})
		return append(actions, m.write(now, StateCompleted, ev.Answer.Recorded())...)
	case Refused:
		actions := m.refuse(outcome.KindUnavailable, "no server of the service took the request", ev.RetryAfter)
		return append(actions, m.write(now, StateNotRun, nil)...)
	case Broke:
		if m.off.dispatchesAgain {
			return []Action{Dispatch{}}
		}
		actions := m.unknown(outcome.KindOutcomeUnknown, "the request may have run; its answer was lost", 0)
		if m.off.closesDispatched {
			return append(actions, m.write(now, StateNotRun, nil)...)
		}
		return append(actions, m.write(now, StateUnknown, nil)...)
	default:
		return nil
	}
}

// write orders the outcome to be written into this attempt's own claim.
func (m *Machine) write(now time.Time, s State, a *Answer) []Action {
	m.phase = phaseWriting
	m.quit = now.Add(limit(m.KeepTrying, defaultKeepTry))
	m.pause = minPause
	m.record = &Record{BodyDigest: m.BodyDigest, Owner: m.Owner, State: s, Answer: a}
	return m.swap()
}

// writing ends on a conflict too: only this attempt writes over its claim, so an earlier Swap took effect.
func (m *Machine) writing(now time.Time, ev Event) []Action {
	if _, ok := ev.(SwapFailed); ok && now.Before(m.quit) {
		return m.wait(nextSwap)
	}
	m.phase = phaseDone
	return nil
}

func (m *Machine) read() []Action {
	m.phase = phaseReading
	return []Action{Read{}}
}

// wait orders a pause that grows with each use.
func (m *Machine) wait(then next) []Action {
	m.after = then
	d := m.pause
	m.pause = min(m.pause*pauseFactor, maxPause)
	return []Action{Wait{For: d}}
}

func (m *Machine) woke() []Action {
	switch {
	case m.phase == phaseDone:
		return nil
	case m.after == nextSwap:
		return m.swap()
	case m.after == nextAsk && m.phase == phaseAsking:
		return m.ask()
	case m.phase == phaseAbandoning:
		return []Action{Read{}}
	default:
		return m.read()
	}
}

// retry pauses, or refuses the request when the store has taken too long.
func (m *Machine) retry(now time.Time, then next) []Action {
	if now.Add(m.pause).Before(m.SettleBy()) {
		return m.wait(then)
	}
	return m.storeDown(now)
}

// SettleBy returns when a request that the store holds up is refused, well before the caller's deadline.
func (m *Machine) SettleBy() time.Time {
	settle := min(limit(m.Settle, defaultSettle), m.Deadline.Sub(m.heard)/settleShareOfAll)
	return m.heard.Add(settle)
}

func (m *Machine) storeDown(now time.Time) []Action {
	var actions []Action
	if m.blocked {
		actions = m.unknown(outcome.KindStoreDown, "an earlier sending has a claim that can't be read now", storeDownRetry)
	} else {
		actions = m.refuse(outcome.KindStoreDown, "the store does not answer; this sending was not run", storeDownRetry)
	}
	return append(actions, m.abandon(now)...)
}

func (m *Machine) deadline(now time.Time) []Action {
	switch m.phase {
	case phaseDone, phaseWriting, phaseAbandoning:
		return nil
	case phaseRunning:
		return m.unknown(outcome.KindOutcomeUnknown, "the request runs longer than its deadline", inProgressRetry)
	}
	var actions []Action
	if m.blocked {
		actions = m.unknown(outcome.KindInProgress, "an earlier sending is still being worked on", inProgressRetry)
	} else {
		actions = m.refuse(outcome.KindDeadline, "no time was left before the request could be sent", storeDownRetry)
	}
	return append(actions, m.abandon(now)...)
}

func (m *Machine) reply(r Reply) []Action {
	if m.replied {
		return nil
	}
	m.replied = true
	return []Action{r}
}

func (m *Machine) refuse(k outcome.Kind, message string, after time.Duration) []Action {
	return m.reply(Reply{Err: &outcome.Error{
		Op: "order", Kind: k, Outcome: outcome.NotRun, Message: message, RetryAfter: after,
	}})
}

func (m *Machine) unknown(k outcome.Kind, message string, after time.Duration) []Action {
	return m.reply(Reply{Err: &outcome.Error{
		Op: "order", Kind: k, Outcome: outcome.Unknown, Message: message, RetryAfter: after,
	}})
}

func limit(d, standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}
	return d
}
