package claim

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// The events that a Machine handles. Started comes first. Each of the others but DeadlineReached is the result of the
// action that the Machine returned last. DeadlineReached comes while a Wait or a Dispatch is in progress; it ends the
// Wait but not the Dispatch.
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
	SwapFailed struct{ MayHaveApplied bool }

	// Found is the result of a Read that found Record at Revision.
	Found struct {
		Record   *Record
		Revision uint64
	}

	// NotFound is the result of a Read that found no record.
	NotFound struct{}

	// ReadFailed means that a Read returned no result or a record that cannot be decoded.
	ReadFailed struct{}

	// Responded means that the service has responded to the request.
	Responded struct{ Response Response }

	// Refused means that no server of the service has run the request or will run it.
	Refused struct{ RetryAfter time.Duration }

	// ResponseLost means that a server of the service may have run the request and that its response is lost.
	ResponseLost struct{}

	// OwnerReplied is the reply of a claim's owner: Running reports whether it still works on the request.
	OwnerReplied struct{ Running bool }

	// OwnerUnreachable means that the owner of a claim could not be asked.
	OwnerUnreachable struct{}

	// WaitEnded means that a Wait has ended.
	WaitEnded struct{}

	// DeadlineReached means that the caller's deadline has passed or that the caller has disconnected.
	DeadlineReached struct{}
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
		Response *Response // nil if Err is set
		Replayed bool      // Response was recorded for an earlier submission
		Err      *outcome.Error
	}
)

func (Started) event()          {}
func (Swapped) event()          {}
func (SwapConflicted) event()   {}
func (SwapFailed) event()       {}
func (Found) event()            {}
func (NotFound) event()         {}
func (ReadFailed) event()       {}
func (Responded) event()        {}
func (Refused) event()          {}
func (ResponseLost) event()     {}
func (OwnerReplied) event()     {}
func (OwnerUnreachable) event() {}
func (WaitEnded) event()        {}
func (DeadlineReached) event()  {}

func (Swap) action()     {}
func (Read) action()     {}
func (Dispatch) action() {}
func (AskOwner) action() {}
func (Wait) action()     {}
func (Reply) action()    {}
