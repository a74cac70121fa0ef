package manifest

import (
	"math"
	"slices"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
)

// What an Acceptance asks its shell to do.
const (
	ActionRead       ActionKind = "read_manifest"
	ActionReadBodies ActionKind = "read_bodies"
	ActionWriteBody  ActionKind = "write_body"
	ActionWriteAudit ActionKind = "write_audit"
	ActionSwap       ActionKind = "swap_manifest"
	ActionAccepted   ActionKind = "accepted"
	ActionRefused    ActionKind = "refused"
)

// What a shell tells an Acceptance.
const (
	EventManifest    EventKind = "manifest"    // answers ActionRead
	EventBodies      EventKind = "bodies"      // answers ActionReadBodies
	EventWritten     EventKind = "written"     // answers ActionWriteBody, ActionWriteAudit and ActionSwap
	EventConflict    EventKind = "conflict"    // the swap did not apply because the manifest had moved
	EventUnknown     EventKind = "unknown"     // the swap may have applied
	EventUnavailable EventKind = "unavailable" // the action surely had no effect
	EventStop        EventKind = "stop"        // the time for the change is over
)

type (
	// ActionKind names what the shell has to do next.
	ActionKind string

	// EventKind names what became of the last action.
	EventKind string

	// Action is the next thing to do; which fields are set depends on Kind.
	Action struct {
		Kind          ActionKind
		Sections      []SectionVersion // whose bodies to read
		Key           string           // of the record to create unless it exists
		Value         []byte           // to write
		StoreRevision uint64           // that the manifest must have for the swap; 0 creates it
		Manifest      Manifest         // that the swap writes or that was accepted
		Revision      uint64           // at which the change was accepted
		Err           error            // of a refusal, an *Error
		Again         bool             // repeats the last action, so the shell waits first
	}

	// Event is the answer to the last action; which fields are set depends on Kind.
	Event struct {
		Kind          EventKind
		Manifest      Manifest // zero when the store has none
		StoreRevision uint64   // of the manifest's key; 0 when the store has none
		Bodies        []document.Body
		Err           error // what made an action unavailable
	}

	// Proposal is a change that an author wants accepted.
	Proposal struct {
		Change Change // Before and After are filled in
		Body   []byte // canonical JSON of the section
		Base   uint64 // revision of the section that the author started from; 0 when it was absent
	}

	// Acceptance takes one change through the store; it is driven by Start and Next.
	Acceptance struct {
		Proposal Proposal
		AtLeast  uint64 // revision in force on this host; an older manifest is a stale read

		last          Action
		current       Manifest
		storeRevision uint64
		bodies        []document.Body
		next          Manifest // that the last swap writes
		swapped       bool     // next is accepted
		pending       uint64   // revision that a swap without an answer would have written; 0 for none
		freshRevision uint64   // store revision that a read must show
		staleReads    int
		cause         error // why the last action could not be done

		off protections
	}

	// Switches off single protections, for tests that show what each prevents.
	protections struct {
		base, whole, settle, cas, audit bool
	}
)

const (
	maxStaleReads = 20
	anyRevision   = math.MaxUint64
)

// Start returns the first action.
func (a *Acceptance) Start() Action {
	a.Proposal.Change.After = document.Digest(a.Proposal.Body)
	return a.act(Action{Kind: ActionRead})
}

// Next returns the action that follows from the answer to the last one.
func (a *Acceptance) Next(e Event) Action {
	switch e.Kind {
	case EventStop:
		return a.stop()
	case EventUnavailable:
		a.cause = e.Err
		return a.repeat()
	case EventUnknown:
		return a.unknown()
	case EventConflict:
		return a.conflict()
	case EventManifest:
		return a.read(e)
	case EventBodies:
		a.bodies = e.Bodies
		return a.check()
	default:
		return a.written()
	}
}

func (a *Acceptance) act(action Action) Action {
	a.last = action
	return action
}

func (a *Acceptance) repeat() Action {
	action := a.last
	action.Again = true
	return action
}

func (a *Acceptance) refuse(kind Kind, err error, diff string) Action {
	return a.act(Action{Kind: ActionRefused, Err: &Error{Op: "accept change", Kind: kind, Err: err, Diff: diff}})
}

func (a *Acceptance) accept(m Manifest, revision uint64) Action {
	a.pending = 0
	return a.act(Action{Kind: ActionAccepted, Manifest: m, Revision: revision})
}

// A change whose swap has no settled answer may have been accepted.
func (a *Acceptance) stop() Action {
	if a.swapped {
		return a.accept(a.next, a.next.Revision)
	}
	if a.pending != 0 {
		return a.refuse(KindUnknown, errors.Errorf("change %s may have been accepted", a.Proposal.Change.ID), "")
	}
	if a.cause != nil {
		return a.refuse(KindUnavailable, a.cause, "")
	}
	return a.refuse(KindUnavailable, errors.New("the store did not answer in time"), "")
}

// Only the swap needs settling; the other writes may be repeated.
func (a *Acceptance) unknown() Action {
	if a.last.Kind != ActionSwap {
		return a.repeat()
	}
	if a.off.settle {
		return a.refuse(KindUnavailable, errors.New("the store gave no answer"), "")
	}
	a.pending = a.next.Revision
	return a.act(Action{Kind: ActionRead})
}

// A record that exists already is the one to be written; a manifest that moved is read again.
func (a *Acceptance) conflict() Action {
	if a.last.Kind == ActionSwap {
		a.freshRevision = a.storeRevision + 1
		return a.act(Action{Kind: ActionRead})
	}
	return a.written()
}

func (a *Acceptance) read(e Event) Action {
	if e.Manifest.Revision < a.AtLeast || e.StoreRevision < max(a.storeRevision, a.freshRevision) {
		a.staleReads++
		if a.staleReads > maxStaleReads {
			return a.stale(e)
		}
		return a.repeat()
	}
	a.current, a.storeRevision, a.next = e.Manifest, e.StoreRevision, Manifest{}
	if revision := a.current.Accepted(a.Proposal.Change.ID); revision != 0 {
		return a.found(revision)
	}
	if a.pending != 0 && a.forgotten() {
		return a.stop()
	}
	if a.pending != 0 && a.current.Revision >= a.pending {
		a.pending = 0 // another change took the place of ours, which can't apply any more
	}
	return a.act(Action{Kind: ActionReadBodies, Sections: a.current.Sections})
}

// Ends a change that the manifest shows as accepted.
func (a *Acceptance) found(revision uint64) Action {
	if a.current.Revision != revision {
		return a.accept(a.current, revision) // its audit record was written before the next manifest
	}
	a.next, a.swapped = a.current, true
	return a.audit(a.next)
}

func (a *Acceptance) stale(e Event) Action {
	if a.pending != 0 {
		return a.stop()
	}
	return a.refuse(KindStale, errors.Errorf("the store has revision %d, in force is %d", e.Manifest.Revision, a.AtLeast), "")
}

// Reports whether the manifest's list of recent changes no longer reaches back to our swap.
func (a *Acceptance) forgotten() bool {
	return len(a.current.Recent) > 0 && a.current.Recent[0].Revision > a.pending
}

// Decides on a change against the manifest and bodies that were read.
func (a *Acceptance) check() Action {
	p := &a.Proposal
	section := a.current.Section(p.Change.Section)
	p.Change.Before = section.Digest
	if section.Digest == p.Change.After && a.pending == 0 {
		return a.accept(a.current, section.Revision)
	}
	if section.Revision != p.Base && !a.off.base {
		err := errors.Errorf("section %s has revision %d and the change starts from %d", section.Section, section.Revision, p.Base)
		return a.refuse(KindConflict, err, document.Diff(a.body(section.Section), p.Body))
	}
	if err := a.checkWhole(); err != nil && !a.off.whole {
		return a.refuse(KindInvalid, err, "")
	}
	key := BodyKey(p.Change.Section, p.Change.After)
	return a.act(Action{Kind: ActionWriteBody, Key: key, Value: p.Body})
}

func (a *Acceptance) checkWhole() error {
	section := a.Proposal.Change.Section
	whole := slices.DeleteFunc(slices.Clone(a.bodies), func(b document.Body) bool { return b.Section == section })
	d, err := document.Assemble(append(whole, document.Body{Section: section, Text: a.Proposal.Body}))
	if err != nil {
		return err
	}
	return d.Check()
}

func (a *Acceptance) body(section document.Section) []byte {
	for _, b := range a.bodies {
		if b.Section == section {
			return b.Text
		}
	}
	return nil
}

// Continues after a write: body, audit record of the manifest that is about to go, manifest, own audit record.
func (a *Acceptance) written() Action {
	switch {
	case a.last.Kind == ActionSwap:
		a.swapped = true
		return a.audit(a.next)
	case a.last.Kind == ActionWriteBody && a.current.Revision > 0 && !a.off.audit:
		return a.audit(a.current)
	case a.swapped:
		return a.accept(a.next, a.next.Revision)
	default:
		return a.swap()
	}
}

func (a *Acceptance) audit(m Manifest) Action {
	return a.act(Action{Kind: ActionWriteAudit, Key: AuditKey(m.Revision), Value: m.Record().Encode(), Revision: m.Revision})
}

func (a *Acceptance) swap() Action {
	a.next = a.current.With(a.Proposal.Change)
	revision := a.storeRevision
	if a.off.cas {
		revision = anyRevision
	}
	return a.act(Action{Kind: ActionSwap, Key: Key, Value: a.next.Encode(), StoreRevision: revision, Manifest: a.next})
}
