package claim

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// The events that a Machine handles. Started comes first. Each of the others but Deadline is the result of the action
// that the Machine returned last. Deadline comes while a Wait or a Dispatch is in progress; it ends the Wait but not
// the Dispatch.
type (
	// Event is something that happened to the attempt.
	Event interface{ event() }

	// Started starts the attempt.
	Started struct{}

	// Swapped means that a Swap took effect; the record now has Revision.
	Swapped struct{ Revision uint64 }

	// SwapConflicted means that a Swap had no effect because the record had another revision than expected.
	SwapConflicted struct{}

	// SwapFailed means that a Swap returned no result. Maybe is set if it may have taken effect.
	SwapFailed struct{ Maybe bool }

	// Found is the result of a Read that found Record at Revision.
	Found struct {
		Record   *Record
		Revision uint64
	}

	// Missing is the result of a Read that found no record.
	Missing struct{}

	// ReadFailed means that a Read returned no result or a record that cannot be decoded.
	ReadFailed struct{}

	// Answered means that the service has responded to the request.
	Answered struct{ Answer Answer }

	// Refused means that no server of the service has run the request or will run it.
	Refused struct{ RetryAfter time.Duration }

	// Broke means that a server of the service may have run the request and that its response is lost.
	Broke struct{}

	// OwnerAnswered is the reply of a claim's owner: Running reports whether it still works on the request.
	OwnerAnswered struct{ Running bool }

	// OwnerSilent means that the owner of a claim could not be asked.
	OwnerSilent struct{}

	// Woke means that a Wait has ended.
	Woke struct{}

	// Deadline means that the caller's deadline has passed or that the caller has disconnected.
	Deadline struct{}
)

// The actions that a Machine returns.
type (
	// Action is something that the host must do for the attempt.
	Action interface{ action() }

	// Swap writes Record by compare-and-swap if the revision in the store is Revision; 0 means that no record exists.
	Swap struct {
		Record   *Record
		Revision uint64
	}

	// Read reads the record from the store.
	Read struct{}

	// Dispatch sends the request to the service. A Machine returns it at most once.
	Dispatch struct{}

	// AskOwner asks the owner of a claim whether it still works on the request.
	AskOwner struct{ ID protocol.AttemptID }

	// Wait pauses before the next action.
	Wait struct{ For time.Duration }

	// Reply is the final reply to the caller. A Machine returns it exactly once.
	Reply struct {
		Answer   *Answer // nil if Err is set
		Replayed bool    // Answer was recorded for an earlier submission
		Err      *outcome.Error
	}
)

func (Started) event()        {}
func (Swapped) event()        {}
func (SwapConflicted) event() {}
func (SwapFailed) event()     {}
func (Found) event()          {}
func (Missing) event()        {}
func (ReadFailed) event()     {}
func (Answered) event()       {}
func (Refused) event()        {}
func (Broke) event()          {}
func (OwnerAnswered) event()  {}
func (OwnerSilent) event()    {}
func (Woke) event()           {}
func (Deadline) event()       {}

func (Swap) action()     {}
func (Read) action()     {}
func (Dispatch) action() {}
func (AskOwner) action() {}
func (Wait) action()     {}
func (Reply) action()    {}
