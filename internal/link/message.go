package link

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/roster"
)

// Message is one frame; exactly one field is set.
type Message struct {
	Beat    *Beat           `cbor:"1,keyasint,omitempty"`
	Ask     *planner.Ask    `cbor:"2,keyasint,omitempty"`
	Answer  *planner.Answer `cbor:"3,keyasint,omitempty"`
	Queued  string          `cbor:"4,keyasint,omitempty"` // id of an ask that waits at the planner
	Started *Report         `cbor:"5,keyasint,omitempty"`
	Ended   *Report         `cbor:"6,keyasint,omitempty"`
	Sync    *Sync           `cbor:"7,keyasint,omitempty"`
	// Asks how long a request may stay silent, and the answer.
	Silent   *Silence `cbor:"8,keyasint,omitempty"`
	Patience *Silence `cbor:"9,keyasint,omitempty"`
}

// Silence is about a request from which nothing comes.
type Silence struct {
	ID       string        `cbor:"1,keyasint"`
	Patience time.Duration `cbor:"2,keyasint,omitempty"` // 0: its server seems to be gone
}

// Beat is a heartbeat with what hosts pass on to one another.
type Beat struct {
	Stamp   int64           `cbor:"1,keyasint"`           // the sender's clock, in nanoseconds
	Echo    int64           `cbor:"2,keyasint,omitempty"` // the receiver's last stamp; 0 if there was none
	Host    roster.Member   `cbor:"3,keyasint"`
	Members []roster.Member `cbor:"4,keyasint,omitempty"`
	// State has times relative to the receipt of the stamp that Echo repeats. The receiver reckons them from the time of
	// that stamp, which is earlier, so that knowledge never seems newer than it is.
	State *feed.State `cbor:"5,keyasint,omitempty"`
	// What the sender has, so that the receiver leaves it out.
	ConfigRevision int64  `cbor:"6,keyasint,omitempty"`
	ListDigest     uint64 `cbor:"7,keyasint,omitempty"`
	Reply          bool   `cbor:"8,keyasint,omitempty"` // this answers a beat, and asks for none
}

// Report tells the planner about a request that it placed.
type Report struct {
	ID      string          `cbor:"1,keyasint"`
	Outcome planner.Outcome `cbor:"2,keyasint,omitempty"`
}

// Sync tells a new planner which requests of a host are under way.
type Sync struct {
	Whole bool           `cbor:"1,keyasint,omitempty"` // the host has no others
	Held  []planner.Held `cbor:"2,keyasint,omitempty"`
}
