package claim

import (
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const (
	// Pauses between retries of a store call, and between questions to an owner, grow by pauseFactor from minPause to
	// maxPause.
	minPause    = 50 * time.Millisecond
	maxPause    = 2 * time.Second
	pauseFactor = 2

	inProgressRetryAfter = time.Second     // suggested to the caller while an attempt is in progress
	storeRetryAfter      = 2 * time.Second // suggested to the caller if the store does not respond

	// maxOwnerNotWorking is how many times in succession the owner of an open claim is found not to work on it, before
	// the outcome counts as unknown if the next read still finds the claim open.
	maxOwnerNotWorking = 2

	defaultStoreTimeout = 2 * time.Second
	defaultKeepTrying   = 10 * time.Minute

	// storeTimeoutDivisor limits the store timeout to this fraction (1/2) of the time until the caller's deadline.
	storeTimeoutDivisor = 2
)

// phase is the state of a Machine.
type phase uint8

const (
	phaseNew        phase = iota
	phaseClaiming         // creating this attempt's claim
	phaseReading          // reading the claim that conflicts: another attempt's, or its own if a Swap result was lost
	phaseAsking           // asking the owner of another attempt's open claim
	phaseRunning          // the request is dispatched
	phaseWriting          // writing the outcome to this attempt's own claim
	phaseAbandoning       // closing a claim that may have been created, after the caller was replied to
	phaseDone
)

// followUp is the action that follows a Wait.
type followUp uint8

const (
	followUpSwap followUp = iota
	followUpRead
	followUpAsk
)

// protections lists the rules that keep a request from running twice. Tests set a field to break its rule and show that
// the rule is needed.
type protections struct {
	replacesOpenClaim        bool // replaces an open claim whose owner does not seem to work on it
	adoptsOpenClaim          bool // treats any open claim as its own
	assumesSwapApplied       bool // treats a swap without a result as a created claim
	repeatsDispatch          bool // repeats a dispatch whose response was lost
	closesDispatchedAsNotRun bool // closes a claim as not_run although the request may have run
	ignoresDeadline          bool // dispatches however long ago the claim was created
	ignoresBodyDigest        bool // accepts a claim of a request with another body
}

// Machine decides the actions of one attempt: it takes one submission of a non-idempotent request to its outcome. Its
// exported fields are set before the first Step.
//
// The methods claiming, reading, asking, running, writing and abandoning handle an event in the phase of that name.
// Methods that return actions return those to carry out next, or none if the attempt has ended or the action in
// progress goes on.
type Machine struct {
	Owner               Owner
	BodyDigest          string
	Deadline            time.Time     // caller's deadline, far within the retention of claims; nothing is dispatched later
	StoreTimeout        time.Duration // how long the store may delay the request before it is refused; 0 means 2 s
	OutcomeWriteTimeout time.Duration // how long writing the outcome to the store is retried; 0 means 10 min

	disabled        protections // set by tests only
	phase           phase
	afterWait       followUp
	revision        uint64        // revision that the next Swap expects
	record          *Record       // record that the next Swap writes
	storeWaitStart  time.Time     // when the attempt started or last asked an owner; the store timeout runs from then
	giveUpAt        time.Time     // when to stop retrying to write the outcome
	nextPause       time.Duration // length of the next Wait
	maybeCreated    bool          // a Swap without a result may have created the claim
	blocked         bool          // a claim whose owner is unknown, or another attempt's open claim, prevents the dispatch
	dispatched      bool
	replied         bool    // Reply was returned
	ownerNotWorking int     // number of questions to the owner since it last said that it works on the request
	otherClaim      *Record // another attempt's open claim, whose owner is asked
}

// InProgress reports whether the attempt is still in progress. While it is, its claim may change.
func (m *Machine) InProgress() bool { return m.phase != phaseDone }

// Dispatched reports whether Step has returned Dispatch.
func (m *Machine) Dispatched() bool { return m.dispatched }

// Step handles an event that happened at now and returns the actions to carry out.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if _, ok := ev.(DeadlineReached); ok {
		return m.deadline(now)
	}
	if _, ok := ev.(WaitEnded); ok {
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
	m.storeWaitStart = now
	m.nextPause = minPause
	return m.createClaim(0)
}

// createClaim creates this attempt's claim in place of the record at revision; 0 means that there is no record.
func (m *Machine) createClaim(revision uint64) []Action {
	m.phase = phaseClaiming
	m.revision = revision
	m.record = &Record{BodyDigest: m.BodyDigest, Owner: m.Owner, State: StateOpen}
	return m.swap()
}

// swap writes m.record if the revision in the store is m.revision.
func (m *Machine) swap() []Action {
	return []Action{Swap{Record: m.record, Revision: m.revision}}
}

func (m *Machine) claiming(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Swapped:
		return m.dispatchUnderClaim(now, ev.Revision)
	case SwapConflicted:
		m.blocked = true
		return m.read()
	case SwapFailed:
		m.maybeCreated = m.maybeCreated || ev.MayHaveApplied
		if ev.MayHaveApplied && m.disabled.assumesSwapApplied {
			return m.dispatchUnderClaim(now, m.revision)
		}
		return m.retryOrGiveUp(now, followUpSwap)
	default:
		return nil
	}
}

// dispatchUnderClaim dispatches the request under the claim that this attempt created at revision. If the caller's
// deadline has passed or the caller has been replied to, it closes the claim as not_run instead.
func (m *Machine) dispatchUnderClaim(now time.Time, revision uint64) []Action {
	m.revision = revision
	m.maybeCreated = false
	pastDeadline := !now.Before(m.Deadline) && !m.disabled.ignoresDeadline
	if pastDeadline || m.replied {
		actions := m.refuse(outcome.KindDeadline, "no time was left when the claim stood", 0)
		return append(actions, m.writeOutcome(now, StateNotRun, nil)...)
	}
	m.phase = phaseRunning
	m.dispatched = true
	return []Action{Dispatch{}}
}

func (m *Machine) running(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Responded:
		actions := m.reply(Reply{Response: &ev.Response})
		return append(actions, m.writeOutcome(now, StateCompleted, ev.Response.RecordedForm())...)
	case Refused:
		actions := m.refuse(outcome.KindUnavailable, "no server of the service took the request", ev.RetryAfter)
		return append(actions, m.writeOutcome(now, StateNotRun, nil)...)
	case ResponseLost:
		if m.disabled.repeatsDispatch {
			return []Action{Dispatch{}}
		}
		actions := m.unknown(outcome.KindOutcomeUnknown, "the request may have run; its answer was lost", 0)
		if m.disabled.closesDispatchedAsNotRun {
			return append(actions, m.writeOutcome(now, StateNotRun, nil)...)
		}
		return append(actions, m.writeOutcome(now, StateUnknown, nil)...)
	default:
		return nil
	}
}

// writeOutcome writes the outcome to this attempt's own claim.
func (m *Machine) writeOutcome(now time.Time, s State, a *Response) []Action {
	m.phase = phaseWriting
	m.giveUpAt = now.Add(orDefault(m.OutcomeWriteTimeout, defaultKeepTrying))
	m.nextPause = minPause
	m.record = &Record{BodyDigest: m.BodyDigest, Owner: m.Owner, State: s, Response: a}
	return m.swap()
}

// writing retries a Swap that failed until giveUpAt. A conflict ends the attempt as success does: only this attempt
// overwrites its claim, so the conflict means that an earlier Swap took effect.
func (m *Machine) writing(now time.Time, ev Event) []Action {
	if _, ok := ev.(SwapFailed); ok && now.Before(m.giveUpAt) {
		return m.wait(followUpSwap)
	}
	m.phase = phaseDone
	return nil
}

func (m *Machine) read() []Action {
	m.phase = phaseReading
	return []Action{Read{}}
}

// wait pauses before then; the pause grows with each call.
func (m *Machine) wait(then followUp) []Action {
	m.afterWait = then
	d := m.nextPause
	m.nextPause = min(m.nextPause*pauseFactor, maxPause)
	return []Action{Wait{For: d}}
}

// woke continues after a Wait.
func (m *Machine) woke() []Action {
	switch {
	case m.phase == phaseDone:
		return nil
	case m.afterWait == followUpSwap:
		return m.swap()
	case m.afterWait == followUpAsk && m.phase == phaseAsking:
		return m.askOwner()
	case m.phase == phaseAbandoning:
		return []Action{Read{}}
	default:
		return m.read()
	}
}

// retryOrGiveUp pauses before then, or gives up on the store if the pause would last until StoreDeadline or longer.
func (m *Machine) retryOrGiveUp(now time.Time, then followUp) []Action {
	if now.Add(m.nextPause).Before(m.StoreDeadline()) {
		return m.wait(then)
	}
	return m.giveUpOnStore(now)
}

// StoreDeadline returns the time at which a request that the store delays is refused, well before the caller's
// deadline.
func (m *Machine) StoreDeadline() time.Time {
	storeTimeout := min(orDefault(m.StoreTimeout, defaultStoreTimeout),
		m.Deadline.Sub(m.storeWaitStart)/storeTimeoutDivisor)
	return m.storeWaitStart.Add(storeTimeout)
}

// giveUpOnStore replies to the caller that the store does not respond and abandons the claim.
func (m *Machine) giveUpOnStore(now time.Time) []Action {
	var actions []Action
	if m.blocked {
		actions = m.unknown(outcome.KindStoreUnavailable, "an earlier sending has a claim that can't be read now",
			storeRetryAfter)
	} else {
		actions = m.refuse(outcome.KindStoreUnavailable, "the store does not answer; this sending was not run",
			storeRetryAfter)
	}
	return append(actions, m.abandon(now)...)
}

// deadline replies to the caller when its deadline has passed. A dispatch in progress goes on, and so does the writing
// of an outcome. Before the dispatch, the claim is abandoned.
func (m *Machine) deadline(now time.Time) []Action {
	switch m.phase {
	case phaseDone, phaseWriting, phaseAbandoning:
		return nil
	case phaseRunning:
		return m.unknown(outcome.KindOutcomeUnknown, "the request runs longer than its deadline", inProgressRetryAfter)
	}
	var actions []Action
	if m.blocked {
		actions = m.unknown(outcome.KindInProgress, "an earlier sending is still being worked on", inProgressRetryAfter)
	} else {
		actions = m.refuse(outcome.KindDeadline, "no time was left before the request could be sent", storeRetryAfter)
	}
	return append(actions, m.abandon(now)...)
}

// reply returns r as the only action, or none if the caller has been replied to.
func (m *Machine) reply(r Reply) []Action {
	if m.replied {
		return nil
	}
	m.replied = true
	return []Action{r}
}

// refuse replies with an error whose outcome is not_run: this attempt has not run the request and will not.
func (m *Machine) refuse(k outcome.Kind, message string, after time.Duration) []Action {
	return m.reply(Reply{Err: &outcome.Error{
		Op: "order", Kind: k, Outcome: outcome.NotRun, Message: message, RetryAfter: after,
	}})
}

// unknown replies with an error whose outcome is unknown: the request may have run or may yet run.
func (m *Machine) unknown(k outcome.Kind, message string, after time.Duration) []Action {
	return m.reply(Reply{Err: &outcome.Error{
		Op: "order", Kind: k, Outcome: outcome.Unknown, Message: message, RetryAfter: after,
	}})
}

// orDefault returns d, or standard if d is 0.
func orDefault(d, standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}
	return d
}
