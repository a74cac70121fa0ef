package planner

import (
	"net/netip"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// Ask is what an entry host tells of a request that needs a backend server. All times count from the ask's arrival.
type Ask struct {
	ID           string        `cbor:"1,keyasint,omitempty"` // unique among the requests of Host
	Host         string        `cbor:"2,keyasint,omitempty"` // entry host that sends the request
	Service      string        `cbor:"3,keyasint,omitempty"`
	PromptTokens int           `cbor:"4,keyasint,omitempty"` // 0 for calls without a prompt
	OutputTokens int           `cbor:"5,keyasint,omitempty"` // the most that may be written
	LikelyTokens int           `cbor:"6,keyasint,omitempty"` // that are likely to be written
	FirstAim     time.Duration `cbor:"7,keyasint,omitempty"`
	GapAim       time.Duration `cbor:"8,keyasint,omitempty"`
	Deadline     time.Duration `cbor:"9,keyasint,omitempty"`
	Rank         int           `cbor:"10,keyasint,omitempty"` // 0 is the most urgent
	Avoid        []string      `cbor:"11,keyasint,omitempty"` // replicas that failed this request or ran it already
	Fingerprint  uint64        `cbor:"12,keyasint,omitempty"` // hash by which a request that crashes engines is known again
	Leave        time.Duration `cbor:"14,keyasint,omitempty"` // until the caller leaves if no event has come; 0 if it doesn't
	MaxPause     time.Duration `cbor:"15,keyasint,omitempty"` // pause between events after which the caller leaves
}

// Helper is a replica that reads a part of a prompt for another.
type Helper struct {
	Replica string         `cbor:"1,keyasint,omitempty"`
	Address netip.AddrPort `cbor:"2,keyasint,omitempty"`
	Reserve int            `cbor:"3,keyasint,omitempty"` // tokens of memory to reserve there; 0 for none
}

// Plan says where a request goes.
type Plan struct {
	Replica replica.Replica `cbor:"1,keyasint,omitempty"`
	Helpers []Helper        `cbor:"2,keyasint,omitempty"`
	First   time.Duration   `cbor:"3,keyasint,omitempty"` // predicted time to the answer or its first event
	Pass    time.Duration   `cbor:"4,keyasint,omitempty"` // predicted time of the engine's next pass
}

// Cause says why an ask was refused.
type Cause string

// The causes of refusals.
const (
	CauseNoReplica Cause = "no_replica"  // the service has none that may be used
	CauseBusy      Cause = "busy"        // no place will be free in time
	CauseCrashes   Cause = "crashes"     // it crashed too many replicas
	CauseTooLarge  Cause = "too_large"   // no set of replicas has the memory
	CauseOutOfTime Cause = "out_of_time" // its deadline passed while it waited
)

// Refusal says why a request gets no backend server, and when it may come back.
type Refusal struct {
	Cause      Cause         `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}

// Answer is the planner's decision on one ask; exactly one of Plan and Refusal is set.
type Answer struct {
	ID      string   `cbor:"1,keyasint,omitempty"`
	Host    string   `cbor:"2,keyasint,omitempty"`
	Plan    *Plan    `cbor:"3,keyasint,omitempty"`
	Refusal *Refusal `cbor:"4,keyasint,omitempty"`
}

// Outcome says how a planned request ended at its backend server.
type Outcome string

// The outcomes.
const (
	OutcomeDone        Outcome = "done"        // the whole answer came
	OutcomeFailed      Outcome = "failed"      // the server answered with a failure
	OutcomeRefused     Outcome = "refused"     // the server said that it did not run the request
	OutcomeUnreachable Outcome = "unreachable" // no connection
	OutcomeBroken      Outcome = "broken"      // the connection broke off
	OutcomeSilent      Outcome = "silent"      // nothing came for too long
	OutcomeCanceled    Outcome = "canceled"    // the caller left or its time ran out
)

// Held is a planned request that an entry host tells a new planner about.
type Held struct {
	Ask     Ask      `cbor:"1,keyasint,omitempty"`
	Replica string   `cbor:"2,keyasint,omitempty"`
	Helpers []Helper `cbor:"3,keyasint,omitempty"`
	Writing bool     `cbor:"4,keyasint,omitempty"` // the first event has come
}
