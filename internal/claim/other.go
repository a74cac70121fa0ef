package claim

import (
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// reading decides what a record that stands in the way means for this attempt.
func (m *Machine) reading(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Found:
		if ev.Revision <= m.revision {
			return m.retry(now, nextRead) // older than the conflict that led here
		}
		return m.found(now, ev.Record, ev.Revision)
	case Missing:
		m.phase = phaseClaiming
		m.revision = 0
		return m.retry(now, nextSwap) // the record expired, or the read was stale and the swap conflicts
	case ReadFailed:
		return m.retry(now, nextRead)
	default:
		return nil
	}
}

func (m *Machine) found(now time.Time, r *Record, revision uint64) []Action {
	if r.Owner == m.Owner || m.off.anyOwner && r.State == StateOpen {
		return m.held(now, revision)
	}
	if r.BodyDigest != m.BodyDigest && !m.off.ignoresBodyDigest {
		actions := m.refuse(outcome.KindKeyReused, "the idempotency key was used for another request", 0)
		return append(actions, m.finish()...)
	}
	switch r.State {
	case StateNotRun:
		m.blocked = false
		return m.claim(revision)
	case StateCompleted:
		return append(m.replay(r.Answer), m.finish()...)
	case StateUnknown:
		return m.lost()
	default:
		return m.open(r, revision)
	}
}

// replay answers with what was recorded for an earlier sending.
func (m *Machine) replay(a *Answer) []Action {
	if !a.Omitted {
		return m.reply(Reply{Answer: a, Replayed: true})
	}
	return m.reply(Reply{Replayed: true, Err: &outcome.Error{
		Op: "order", Kind: outcome.KindBroken, Outcome: outcome.Completed,
		Message: "the request ran; its answer was too large to be recorded",
	}})
}

func (m *Machine) lost() []Action {
	actions := m.unknown(outcome.KindOutcomeUnknown, "an earlier sending may have run; its answer was lost", 0)
	return append(actions, m.finish()...)
}

// open asks the owner of an open claim, unless the owner was found not to work on it several times.
func (m *Machine) open(r *Record, revision uint64) []Action {
	if m.confirmed >= confirmingReads {
		if m.off.anyoneCloses {
			return m.claim(revision)
		}
		return m.lost()
	}
	m.blocked = true
	m.seen = r
	return m.ask()
}

func (m *Machine) ask() []Action {
	m.phase = phaseAsking
	return []Action{AskOwner{ID: m.seen.Owner.AttemptID()}}
}

// asking reads the record again when the owner is done with it, for it may have written the outcome since.
func (m *Machine) asking(now time.Time, ev Event) []Action {
	if !now.Before(m.Deadline) {
		return m.deadline(now)
	}
	m.heard = now
	if answer, ok := ev.(OwnerAnswered); ok && answer.Running {
		m.confirmed = 0
		return m.wait(nextAsk)
	}
	m.confirmed++
	if m.confirmed == 1 {
		return m.read()
	}
	return m.wait(nextRead)
}

// abandon closes the claim that this attempt may have created; the caller has been answered.
func (m *Machine) abandon(now time.Time) []Action {
	if !m.maybe {
		return m.finish()
	}
	m.phase = phaseAbandoning
	m.quit = now.Add(limit(m.KeepTrying, defaultKeepTry))
	m.pause = minPause
	m.record = &Record{BodyDigest: m.BodyDigest, Owner: m.Owner, State: StateNotRun}
	return m.wait(nextSwap)
}

// abandoning writes a closed claim, so that a Swap which is still under way conflicts, or closes the open one.
func (m *Machine) abandoning(now time.Time, ev Event) []Action {
	if !now.Before(m.quit) {
		return m.finish()
	}
	switch ev := ev.(type) {
	case Swapped:
		return m.finish()
	case SwapConflicted:
		return []Action{Read{}}
	case SwapFailed:
		return m.wait(nextSwap)
	case ReadFailed:
		return m.wait(nextRead)
	case Missing:
		m.revision = 0
		return m.wait(nextSwap)
	case Found:
		return m.settleFound(ev)
	default:
		return nil
	}
}

func (m *Machine) settleFound(ev Found) []Action {
	switch {
	case ev.Revision <= m.revision:
		return m.wait(nextRead)
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
