package link

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/roster"
)

// Message is the content of one frame; exactly one field is set.
type Message struct {
	Beat    *Beat           `cbor:"1,keyasint,omitempty"` // heartbeat, in both directions
	Ask     *planner.Ask    `cbor:"2,keyasint,omitempty"` // placement request to the planner
	Answer  *planner.Answer `cbor:"3,keyasint,omitempty"` // placement result from the planner
	Queued  string          `cbor:"4,keyasint,omitempty"` // id of a placement request that waits at the planner
	Started *Report         `cbor:"5,keyasint,omitempty"` // notifies the planner of a request's first event
	Ended   *Report         `cbor:"6,keyasint,omitempty"` // notifies the planner of a request's end
	Sync    *Sync           `cbor:"7,keyasint,omitempty"` // reports placed requests to the planner
	// Silent asks the planner how much longer a silent request may be waited for; Patience is the planner's reply.
	Silent   *Silence `cbor:"8,keyasint,omitempty"`
	Patience *Silence `cbor:"9,keyasint,omitempty"`
}

// Silence is a query or reply about a silent request: a placed request whose backend server sends nothing.
type Silence struct {
	ID       string        `cbor:"1,keyasint"`           // of the request
	Patience time.Duration `cbor:"2,keyasint,omitempty"` // extra wait, in a reply; 0 if the server seems to be gone
}

// Beat is a heartbeat with the gossip between hosts.
type Beat struct {
	Stamp   int64           `cbor:"1,keyasint"`           // boot-time clock of the sender, in nanoseconds
	Echo    int64           `cbor:"2,keyasint,omitempty"` // last Stamp received from the receiver; 0 if there is none
	Host    roster.Member   `cbor:"3,keyasint"`           // the sender
	Members []roster.Member `cbor:"4,keyasint,omitempty"` // hosts that the sender knows; only in some replies
	// State is the sender's configuration and replicas; nil if Echo is 0. Its times are relative to the moment at which
	// the sender received the stamp that Echo repeats. The receiver adds them to the stamp itself, which is earlier, so
	// that the state never appears newer than it is.
	State *feed.State `cbor:"5,keyasint,omitempty"`
	// ConfigRevision and ListDigest identify the sender's configuration and set of replicas. The receiver
	// omits from the state that it sends what the sender of this heartbeat has already.
	ConfigRevision int64  `cbor:"6,keyasint,omitempty"`
	ListDigest     uint64 `cbor:"7,keyasint,omitempty"`
	Reply          bool   `cbor:"8,keyasint,omitempty"` // this heartbeat is a reply and must not be replied to
}

// Report notifies the planner of the progress of a placed request.
type Report struct {
	ID      string          `cbor:"1,keyasint"`           // of the request
	Outcome planner.Outcome `cbor:"2,keyasint,omitempty"` // only in Message.Ended
}

// Sync reports placed requests of a host that are in progress to the planner, so that it takes them into account.
type Sync struct {
	Whole bool           `cbor:"1,keyasint,omitempty"` // Held lists all; the planner drops the others of the host
	Held  []planner.Held `cbor:"2,keyasint,omitempty"`
}
