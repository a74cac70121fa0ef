package claim

import (
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// reading handles the result of reading the claim that conflicted with a Swap of this attempt.
func (m *Machine) reading(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Found:
		if ev.Revision <= m.revision {
			return m.retryOrGiveUp(now, followUpRead) // stale read: older than the revision that caused the conflict
		}
		return m.found(now, ev.Record, ev.Revision)
	case NotFound:
		m.phase = phaseClaiming
		m.revision = 0
		return m.retryOrGiveUp(now, followUpSwap) // record expired, or stale read: then the swap conflicts
	case ReadFailed:
		return m.retryOrGiveUp(now, followUpRead)
	default:
		return nil
	}
}

// found decides what to do about a claim r that was read at revision. It dispatches the request if the claim is this
// attempt's own.
func (m *Machine) found(now time.Time, r *Record, revision uint64) []Action {
	if r.Owner == m.Owner || m.disabled.adoptsOpenClaim && r.State == StateOpen {
		return m.dispatchUnderClaim(now, revision)
	}
	if r.BodyDigest != m.BodyDigest && !m.disabled.ignoresBodyDigest {
		actions := m.refuse(outcome.KindKeyReused, "the idempotency key was used for another request", 0)
		return append(actions, m.finish()...)
	}
	switch r.State {
	case StateNotRun:
		m.blocked = false
		return m.createClaim(revision)
	case StateCompleted:
		return append(m.replay(r.Response), m.finish()...)
	case StateUnknown:
		return m.finishUnknown()
	default:
		return m.checkOwner(r, revision)
	}
}

// replay replies with the response recorded for an earlier submission, or with an error if it was too large to record.
func (m *Machine) replay(a *Response) []Action {
	if !a.Omitted {
		return m.reply(Reply{Response: a, Replayed: true})
	}
	return m.reply(Reply{Replayed: true, Err: &outcome.Error{
		Op: "order", Kind: outcome.KindResponseIncomplete, Outcome: outcome.Completed,
		Message: "the request ran; its answer was too large to be recorded",
	}})
}

// finishUnknown replies that an earlier submission may have run and ends the attempt.
func (m *Machine) finishUnknown() []Action {
	actions := m.unknown(outcome.KindOutcomeUnknown, "an earlier sending may have run; its answer was lost", 0)
	return append(actions, m.finish()...)
}

// checkOwner asks the owner of the open claim r whether it still works on it. If the owner was found not to work on it
// maxOwnerNotWorking times in succession, checkOwner ends the attempt with an unknown outcome instead.
func (m *Machine) checkOwner(r *Record, revision uint64) []Action {
	if m.ownerNotWorking >= maxOwnerNotWorking {
		if m.disabled.replacesOpenClaim {
			return m.createClaim(revision)
		}
		return m.finishUnknown()
	}
	m.blocked = true
	m.otherClaim = r
	return m.askOwner()
}

func (m *Machine) askOwner() []Action {
	m.phase = phaseAsking
	return []Action{AskOwner{ID: m.otherClaim.Owner.AttemptID()}}
}

// asking handles the reply of the owner of another attempt's claim. While the owner works on its request, it is asked
// again after a pause. Otherwise the claim is read again, because the owner may have written the outcome meanwhile.
func (m *Machine) asking(now time.Time, ev Event) []Action {
	if !now.Before(m.Deadline) {
		return m.deadline(now)
	}
	m.storeWaitStart = now
	if reply, ok := ev.(OwnerReplied); ok && reply.Running {
		m.ownerNotWorking = 0
		return m.wait(followUpAsk)
	}
	m.ownerNotWorking++
	if m.ownerNotWorking == 1 {
		return m.read()
	}
	return m.wait(followUpRead)
}

// abandon ends the attempt after the caller was replied to without a dispatch. If a Swap may have created the claim, it
// closes that claim as not_run first.
func (m *Machine) abandon(now time.Time) []Action {
	if !m.maybeCreated {
		return m.finish()
	}
	m.phase = phaseAbandoning
	m.giveUpAt = now.Add(orDefault(m.OutcomeWriteTimeout, defaultKeepTrying))
	m.nextPause = minPause
	m.record = &Record{BodyDigest: m.BodyDigest, Owner: m.Owner, State: StateNotRun}
	return m.wait(followUpSwap)
}

// abandoning tries until giveUpAt to write a claim that is closed as not_run: either in place of the claim that this
// attempt may have created, so that a Swap still in progress conflicts, or over that claim if it exists and is open.
func (m *Machine) abandoning(now time.Time, ev Event) []Action {
	if !now.Before(m.giveUpAt) {
		return m.finish()
	}
	switch ev := ev.(type) {
	case Swapped:
		return m.finish()
	case SwapConflicted:
		return []Action{Read{}}
	case SwapFailed:
		return m.wait(followUpSwap)
	case ReadFailed:
		return m.wait(followUpRead)
	case NotFound:
		m.revision = 0
		return m.wait(followUpSwap)
	case Found:
		return m.abandonFound(ev)
	default:
		return nil
	}
}

// abandonFound closes the claim that was read if it is this attempt's own open one. Otherwise it ends the attempt.
func (m *Machine) abandonFound(ev Found) []Action {
	switch {
	case ev.Revision <= m.revision:
		return m.wait(followUpRead)
	case ev.Record.Owner == m.Owner && ev.Record.State == StateOpen:
		m.revision = ev.Revision
		return m.swap()
	default:
		return m.finish()
	}
}

func (m *Machine) finish() []Action {
	m.phase = phaseDone
	return nil
}
