package manifest

import (
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
)

// The actions that an Acceptance asks its caller to perform. The last two end it.
const (
	ActionRead       ActionKind = "read_manifest"
	ActionReadBodies ActionKind = "read_bodies"
	ActionWriteBody  ActionKind = "write_body"
	ActionWriteAudit ActionKind = "write_audit"
	ActionSwap       ActionKind = "swap_manifest"
	ActionAccepted   ActionKind = "accepted"
	ActionRefused    ActionKind = "refused"
)

// The results of actions that the caller reports to an Acceptance.
const (
	EventManifest    EventKind = "manifest"    // result of ActionRead
	EventBodies      EventKind = "bodies"      // result of ActionReadBodies
	EventWritten     EventKind = "written"     // success of ActionWriteBody, ActionWriteAudit or ActionSwap
	EventConflict    EventKind = "conflict"    // the key had another revision than expected; nothing was written
	EventUnknown     EventKind = "unknown"     // the write may have taken effect
	EventUnavailable EventKind = "unavailable" // the action certainly had no effect
	EventTimeout     EventKind = "stop"        // the timeout for the change has expired
)

type (
	// ActionKind identifies an action.
	ActionKind string

	// EventKind identifies the result of the last action.
	EventKind string

	// Action is the next action to perform. Which fields are set depends on Kind.
	Action struct {
		Kind          ActionKind
		Sections      []SectionVersion // sections whose bodies to read
		Key           string           // key to write; bodies and audit records are only created if absent
		Value         []byte           // value to write
		StoreRevision uint64           // revision that the key must have for the write; 0 creates the key
		Manifest      Manifest         // manifest that the swap writes, or one that contains the accepted change
		Revision      uint64           // revision at which the change was accepted; for ActionWriteAudit, that of the record
		Err           error            // reason for a refusal, an *Error
		IsRetry       bool             // the last action is repeated, so the caller pauses first
	}

	// Event is the result of the last action. Which fields are set depends on Kind.
	Event struct {
		Kind          EventKind
		Manifest      Manifest // manifest that was read; zero if the store has none
		StoreRevision uint64   // store's revision of the manifest's key; 0 if the store has none
		Bodies        []document.Body
		Err           error // cause of EventUnavailable
	}

	// Proposal is a change that an author submits for acceptance.
	Proposal struct {
		Change Change // Before and After are filled in by the Acceptance
		Body   []byte // canonical JSON of the section
		Base   uint64 // revision of the section that the author edited; 0 if the section was absent
	}

	// Acceptance is the state machine that writes one change to the platform's store. It does no I/O: the caller gets
	// the first action from Start, performs each action and gets the following one from Next, until the action is
	// ActionAccepted or ActionRefused.
	//
	// A change that is accepted takes these steps: read the manifest and all bodies, check the change, write the new
	// body, write the audit record of the manifest that was read, swap the manifest, write the new manifest's own audit
	// record.
	Acceptance struct {
		Proposal    Proposal
		MinRevision uint64 // active revision of this host; an older manifest is a stale read

		lastAction       Action
		current          Manifest        // manifest that was read last
		storeRevision    uint64          // store's revision of current's key
		bodies           []document.Body // bodies of current's sections
		next             Manifest        // manifest that the last swap writes
		swapped          bool            // the swap has taken effect: next is accepted
		pendingRevision  uint64          // revision that a swap without a response would have written; 0 if there is none
		minStoreRevision uint64          // lowest store revision of the manifest's key that is not a stale read
		staleReads       int             // stale reads so far
		lastErr          error           // cause of the last EventUnavailable

		disabled protections
	}

	// protections selects protections to disable, so that tests show what each of them prevents.
	protections struct {
		baseCheck, documentCheck, outcomeCheck, compareAndSwap, auditRecord bool
	}
)

const (
	maxStaleReads = 20             // stale reads after which a change is refused
	anyRevision   = math.MaxUint64 // store revision that tests use for a write without compare-and-swap
)

// Start returns the first action, which reads the manifest.
func (a *Acceptance) Start() Action {
	a.Proposal.Change.After = document.Digest(a.Proposal.Body)
	return a.issue(Action{Kind: ActionRead})
}

// Next returns the action that follows from the result of the last one.
func (a *Acceptance) Next(e Event) Action {
	switch e.Kind {
	case EventTimeout:
		return a.handleStop()
	case EventUnavailable:
		a.lastErr = e.Err
		return a.retry()
	case EventUnknown:
		return a.handleUnknown()
	case EventConflict:
		return a.handleConflict()
	case EventManifest:
		return a.handleManifest(e)
	case EventBodies:
		a.bodies = e.Bodies
		return a.checkChange()
	default:
		return a.handleWritten()
	}
}

// Makes action the last one and returns it.
func (a *Acceptance) issue(action Action) Action {
	a.lastAction = action
	return action
}

// Returns the last action again.
func (a *Acceptance) retry() Action {
	action := a.lastAction
	action.IsRetry = true
	return action
}

func (a *Acceptance) refuse(kind Kind, err error, diff string) Action {
	return a.issue(Action{Kind: ActionRefused, Err: &Error{Op: "accept change", Kind: kind, Err: err, Diff: diff}})
}

func (a *Acceptance) accept(m Manifest, revision uint64) Action {
	a.pendingRevision = 0
	return a.issue(Action{Kind: ActionAccepted, Manifest: m, Revision: revision})
}

// Ends the acceptance when the timeout expires: accepted if the swap has taken effect, KindUnknown if a swap without a
// response may have taken effect, KindUnavailable otherwise.
func (a *Acceptance) handleStop() Action {
	if a.swapped {
		return a.accept(a.next, a.next.Revision)
	}
	if a.pendingRevision != 0 {
		return a.refuse(KindUnknown, errors.Errorf("change %s may have been accepted", a.Proposal.Change.ID), "")
	}
	if a.lastErr != nil {
		return a.refuse(KindUnavailable, a.lastErr, "")
	}
	return a.refuse(KindUnavailable, errors.New("the store did not answer in time"), "")
}

// Handles a write without a response. Writes of bodies and audit records may be repeated and are. After a swap, the
// manifest is read again to determine whether the swap took effect.
func (a *Acceptance) handleUnknown() Action {
	if a.lastAction.Kind != ActionSwap {
		return a.retry()
	}
	if a.disabled.outcomeCheck {
		return a.refuse(KindUnavailable, errors.New("the store gave no answer"), "")
	}
	a.pendingRevision = a.next.Revision
	return a.issue(Action{Kind: ActionRead})
}

// Handles a write that was rejected because the key has another revision. After a swap, the manifest was changed by
// someone else and is read again. A body or audit record that exists already has the value to be written.
func (a *Acceptance) handleConflict() Action {
	if a.lastAction.Kind == ActionSwap {
		a.minStoreRevision = a.storeRevision + 1
		return a.issue(Action{Kind: ActionRead})
	}
	return a.handleWritten()
}

// Handles a manifest that was read: repeats a stale read, determines the outcome of a swap without a response, and
// otherwise goes on to read the bodies.
func (a *Acceptance) handleManifest(e Event) Action {
	if e.Manifest.Revision < a.MinRevision || e.StoreRevision < max(a.storeRevision, a.minStoreRevision) {
		a.staleReads++
		if a.staleReads > maxStaleReads {
			return a.handleStale(e)
		}
		return a.retry()
	}
	a.current, a.storeRevision, a.next = e.Manifest, e.StoreRevision, Manifest{}
	if revision := a.current.AcceptedRevision(a.Proposal.Change.ID); revision != 0 {
		return a.handleAlreadyAccepted(revision)
	}
	if a.pendingRevision != 0 && a.pendingForgotten() {
		return a.handleStop()
	}
	if a.pendingRevision != 0 && a.current.Revision >= a.pendingRevision {
		a.pendingRevision = 0 // another change was accepted at that revision, so the pending swap can't succeed
	}
	return a.issue(Action{Kind: ActionReadBodies, Sections: a.current.Sections})
}

// Handles a manifest that lists the change as accepted at revision. If the manifest is the one that introduced the
// change, its audit record may be missing and is written before the acceptance ends.
func (a *Acceptance) handleAlreadyAccepted(revision uint64) Action {
	if a.current.Revision != revision {
		return a.accept(a.current, revision) // the audit record was written before the manifest's successor
	}
	a.next, a.swapped = a.current, true
	return a.writeAudit(a.next)
}

// Ends the acceptance after too many stale reads.
func (a *Acceptance) handleStale(e Event) Action {
	if a.pendingRevision != 0 {
		return a.handleStop()
	}
	return a.refuse(KindStale, errors.Errorf("the store has revision %d, in force is %d", e.Manifest.Revision,
		a.MinRevision), "")
}

// Reports whether the manifest's list of recent changes no longer reaches back to the pending swap, whose outcome then
// can't be determined.
func (a *Acceptance) pendingForgotten() bool {
	return len(a.current.Recent) > 0 && a.current.Recent[0].Revision > a.pendingRevision
}

// Checks the change against the manifest and the bodies that were read. It accepts a change whose body is already the
// section's unless an earlier swap may still take effect, refuses a change with an outdated base or an invalid result,
// and otherwise goes on to write the body.
func (a *Acceptance) checkChange() Action {
	p := &a.Proposal
	section := a.current.Section(p.Change.Section)
	p.Change.Before = section.Digest
	if section.Digest == p.Change.After && a.pendingRevision == 0 {
		return a.accept(a.current, section.Revision)
	}
	if section.Revision != p.Base && !a.disabled.baseCheck {
		err := errors.Errorf("section %s has revision %d and the change starts from %d", section.Section, section.Revision, p.Base)
		return a.refuse(KindConflict, err, document.Diff(a.sectionBody(section.Section), p.Body))
	}
	if err := a.checkDocument(); err != nil && !a.disabled.documentCheck {
		return a.refuse(KindInvalid, err, "")
	}
	key := BodyKey(p.Change.Section, p.Change.After)
	return a.issue(Action{Kind: ActionWriteBody, Key: key, Value: p.Body})
}

// Returns an error if the document that contains the changed section is invalid.
func (a *Acceptance) checkDocument() error {
	section := a.Proposal.Change.Section
	bodies := slices.DeleteFunc(slices.Clone(a.bodies), func(b document.Body) bool { return b.Section == section })
	d, err := document.Assemble(append(bodies, document.Body{Section: section, Text: a.Proposal.Body}))
	if err != nil {
		return err
	}
	return d.Validate()
}

// Returns the body of a section as it was read, or nil if the section is absent.
func (a *Acceptance) sectionBody(section document.Section) []byte {
	for _, b := range a.bodies {
		if b.Section == section {
			return b.Text
		}
	}
	return nil
}

// Returns the action that follows a successful write. The order is: body, audit record of the manifest to be
// superseded, manifest, audit record of the new manifest.
func (a *Acceptance) handleWritten() Action {
	switch {
	case a.lastAction.Kind == ActionSwap:
		a.swapped = true
		return a.writeAudit(a.next)
	case a.lastAction.Kind == ActionWriteBody && a.current.Revision > 0 && !a.disabled.auditRecord:
		return a.writeAudit(a.current)
	case a.swapped:
		return a.accept(a.next, a.next.Revision)
	default:
		return a.swapManifest()
	}
}

// Returns the action that writes the audit record of m.
func (a *Acceptance) writeAudit(m Manifest) Action {
	return a.issue(Action{Kind: ActionWriteAudit, Key: AuditKey(m.Revision), Value: m.Record().Encode(), Revision: m.Revision})
}

// Returns the action that replaces the manifest that was read by its successor with the change.
func (a *Acceptance) swapManifest() Action {
	a.next = a.current.With(a.Proposal.Change)
	revision := a.storeRevision
	if a.disabled.compareAndSwap {
		revision = anyRevision
	}
	return a.issue(Action{Kind: ActionSwap, Key: Key, Value: a.next.Encode(), StoreRevision: revision, Manifest: a.next})
}
