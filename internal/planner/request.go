package planner

import (
	"net/netip"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// Request is a placement request: an entry host describes a request that needs a backend server. All durations are
// measured from the time at which the planner receives it.
type Request struct {
	ID               string        `cbor:"1,keyasint,omitempty"` // identifier, unique among the requests of Host
	Host             string        `cbor:"2,keyasint,omitempty"` // name of the entry host that sends the request
	Service          string        `cbor:"3,keyasint,omitempty"`
	PromptTokens     int           `cbor:"4,keyasint,omitempty"`  // length of the prompt; 0 for calls without a prompt
	OutputTokens     int           `cbor:"5,keyasint,omitempty"`  // largest number of output tokens allowed
	LikelyTokens     int           `cbor:"6,keyasint,omitempty"`  // expected number of output tokens
	FirstTarget      time.Duration `cbor:"7,keyasint,omitempty"`  // time left until the first-event target
	PauseTarget      time.Duration `cbor:"8,keyasint,omitempty"`  // target for the pause between events
	Deadline         time.Duration `cbor:"9,keyasint,omitempty"`  // time left until the deadline
	Priority         int           `cbor:"10,keyasint,omitempty"` // priority; 0 is the highest
	ExcludedReplicas []string      `cbor:"11,keyasint,omitempty"` // replicas where an attempt did not complete it
	Fingerprint      uint64        `cbor:"12,keyasint,omitempty"` // equal for requests that do the same work; 0 for none
	PromptParts      []uint64      `cbor:"17,keyasint,omitempty"` // hashes of the prompt parts that other requests may share
	UntilDisconnect  time.Duration `cbor:"14,keyasint,omitempty"` // estimated time until the caller disconnects; 0 for none
	PauseTimeout     time.Duration `cbor:"15,keyasint,omitempty"` // pause after which the caller disconnects
	Resumed          bool          `cbor:"16,keyasint,omitempty"` // the caller has received a part of the response
	Workspace        string        `cbor:"18,keyasint,omitempty"` // whose request it is; empty if the host doesn't say
	AllowedRegions   []string      `cbor:"30,keyasint,omitempty"` // regions whose replicas may get it; none for all
	FailureDomain    string        `cbor:"21,keyasint,omitempty"` // of Host, if it prefers servers there; empty if it doesn't
	Bytes            int           `cbor:"22,keyasint,omitempty"` // expected bytes of body and response
	Route            string        `cbor:"24,keyasint,omitempty"` // by which the caller sent it; empty if the host doesn't say
	CrossingDelay    time.Duration `cbor:"23,keyasint,omitempty"` // by how much a round trip to another failure domain is longer; 0 if unknown
}

// Helper is a helper replica: it prefills a part of a prompt for the primary replica.
type Helper struct {
	Replica        string         `cbor:"1,keyasint,omitempty"`
	Address        netip.AddrPort `cbor:"2,keyasint,omitempty"`
	ReservedTokens int            `cbor:"3,keyasint,omitempty"` // engine memory to reserve there, in tokens; 0 for none
}

// Location returns where the helper is expected.
func (h Helper) Location() replica.Location {
	return replica.Location{ID: h.Replica, Address: h.Address}
}

// Plan names the servers that run a request: the primary replica, which decodes it, and its helper replicas.
type Plan struct {
	Replica        replica.Replica `cbor:"1,keyasint,omitempty"`
	Helpers        []Helper        `cbor:"2,keyasint,omitempty"`
	FirstEventTime time.Duration   `cbor:"3,keyasint,omitempty"` // predicted time until the response or its first event
	PassTime       time.Duration   `cbor:"4,keyasint,omitempty"` // predicted duration of the engine's next pass
	// RateLimited says that the primary replica limits the rate of its requests. The plan is then one of those that the
	// limit allows, and holds for a short time only.
	RateLimited bool `cbor:"5,keyasint,omitempty"`
	// Cold says that the primary replica has just started and so takes few requests. The plan then has RateLimited too, and
	// holds for an even shorter time.
	Cold bool `cbor:"6,keyasint,omitempty"`
}

// Cause is the reason for a refusal.
type Cause string

// Causes of refusals.
const (
	CauseNoReplica Cause = "no_replica"  // the service has no replica that may be used
	CauseNoSlot    Cause = "busy"        // no slot will be free in time
	CauseCrashes   Cause = "crashes"     // too many attempts with the request's fingerprint broke off
	CauseTooLarge  Cause = "too_large"   // no set of replicas has enough memory
	CauseEvacuated Cause = "evacuated"   // all replicas of the service are in evacuated failure domains
	CauseLimited   Cause = "limited"     // all replicas that may be used limit the rate of their requests
	CauseOutOfTime Cause = "out_of_time" // the deadline passed while the request waited
)

// Refusal is the decision that a request gets no backend server, and the time after which the caller may retry.
type Refusal struct {
	Cause      Cause         `cbor:"1,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}

// Result is a placement result, the planner's decision on one placement request. Exactly one of Plan and Refusal is
// set.
type Result struct {
	ID      string   `cbor:"1,keyasint,omitempty"`
	Host    string   `cbor:"2,keyasint,omitempty"`
	Plan    *Plan    `cbor:"3,keyasint,omitempty"`
	Refusal *Refusal `cbor:"4,keyasint,omitempty"`
	// SendBefore is when a plan with RateLimited ends to hold, by the clock of the host that requested it; it isn't
	// transmitted.
	SendBefore time.Time `cbor:"-"`
}

// Outcome is how a placed request ended at its backend server.
type Outcome string

// Outcomes of placed requests.
const (
	OutcomeCompleted   Outcome = "done"        // the response is complete
	OutcomeFailed      Outcome = "failed"      // the server responded with a failure
	OutcomeRefused     Outcome = "refused"     // not run: refused by the server or no helper memory
	OutcomeUnreachable Outcome = "unreachable" // the entry host got no connection to the server
	OutcomeBroken      Outcome = "broken"      // the connection broke before the response was complete
	OutcomeSilent      Outcome = "silent"      // the server sent nothing for too long
	OutcomeCanceled    Outcome = "canceled"    // the caller disconnected or its timeout expired
)

// Exclusion is the decision that a replica gets no requests for some time, because of an attempt of a host.
type Exclusion struct {
	Replica string // ID
	Host    string // whose attempt was the cause
	Common  bool   // the replica gets no requests of any host, not only of this one
	For     time.Duration
}

// Pause is a pause that a backend server has asked for. Its zero value is none.
type Pause struct {
	Length time.Duration `cbor:"1,keyasint,omitempty"`
	// Common says that the server has asked all hosts, since it got the request through another host than the one that sent it.
	Common bool `cbor:"2,keyasint,omitempty"`
}

// Placement is the report of a placed request in progress that an entry host sends to a new planner.
type Placement struct {
	Request  Request  `cbor:"1,keyasint,omitempty"`
	Replica  string   `cbor:"2,keyasint,omitempty"`
	Helpers  []Helper `cbor:"3,keyasint,omitempty"`
	Decoding bool     `cbor:"4,keyasint,omitempty"` // the first event has arrived
	// FirstEvent is the time left until the first event, as predicted by the planner that made the placement, and at
	// least 1 ns; 0 if it isn't known.
	FirstEvent time.Duration `cbor:"5,keyasint,omitempty"`
}
