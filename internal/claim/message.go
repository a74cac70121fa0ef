package claim

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// The events that a Machine takes; each one but Deadline answers the Machine's last action.
// Deadline comes while a Wait or a Dispatch is under way, and ends the Wait but not the Dispatch.
type (
	// Event is something that happened to a request.
	Event interface{ event() }

	// Started begins the request.
	Started struct{}

	// Swapped says that a Swap took effect and made Revision.
	Swapped struct{ Revision uint64 }

	// SwapConflicted says that the record's revision was another one than a Swap expected.
	SwapConflicted struct{}

	// SwapFailed says that a Swap was not answered; Maybe is set when it may have taken effect.
	SwapFailed struct{ Maybe bool }

	// Found answers a Read with the record.
	Found struct {
		Record   *Record
		Revision uint64
	}

	// Missing answers a Read: there is no record.
	Missing struct{}

	// ReadFailed says that a Read was not answered.
	ReadFailed struct{}

	// Answered says that the service answered the request.
	Answered struct{ Answer Answer }

	// Refused says that no service has run or will run the request.
	Refused struct{ RetryAfter time.Duration }

	// Broke says that a service may have run the request and that its answer is lost.
	Broke struct{}

	// OwnerAnswered says whether the owner still works on the request.
	OwnerAnswered struct{ Running bool }

	// OwnerSilent says that the owner could not be asked.
	OwnerSilent struct{}

	// Woke says that a Wait is over.
	Woke struct{}

	// Deadline says that the caller's time is over.
	Deadline struct{}
)

// The actions that a Machine orders.
type (
	// Action is something to be done for a request.
	Action interface{ action() }

	// Swap writes Record if the store's revision is Revision; 0 creates.
	Swap struct {
		Record   *Record
		Revision uint64
	}

	// Read reads the record.
	Read struct{}

	// Dispatch sends the request to a service; it is ordered at most once.
	Dispatch struct{}

	// AskOwner asks the owner of a claim whether it still works on the request.
	AskOwner struct{ ID protocol.AttemptID }

	// Wait lets time pass before the next step.
	Wait struct{ For time.Duration }

	// Reply gives the caller the final answer; it is ordered exactly once.
	Reply struct {
		Answer   *Answer // nil if Err is set
		Replayed bool    // Answer was recorded for an earlier sending
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
