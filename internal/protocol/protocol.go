package protocol

import (
	"net/netip"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Classes of requests by how urgently they are scheduled.
const (
	ClassInteractive Class = iota
	ClassStandard
	ClassBatch
)

// Reasons for refusing a grant.
const (
	RefusalBusy      RefusalKind = "busy"      // can't start now; another backend server may
	RefusalDeadline  RefusalKind = "deadline"  // would not finish in time
	RefusalMemory    RefusalKind = "memory"    // never fits this backend server
	RefusalLeaving   RefusalKind = "leaving"   // the backend server takes no new work
	RefusalNotOwner  RefusalKind = "not_owner" // this host does not schedule the backend server
	RefusalModel     RefusalKind = "model"     // the model is not loaded there
	RefusalQuota     RefusalKind = "quota"     // the workspace is over a limit
	RefusalSuspect   RefusalKind = "suspect"   // kept apart from other suspected requests
	RefusalCrashing  RefusalKind = "crashing"  // the request is known to crash backend servers
	RefusalUnhealthy RefusalKind = "unhealthy" // the backend server does not answer
)

// States of a member.
const (
	StateAlive MemberState = iota
	StateSuspect
	StateLeaving
	StateDead
)

// The messages between entry hosts.
type (
	// Class is the urgency class of a request.
	Class uint8

	// RefusalKind classifies a Refusal.
	RefusalKind string

	// MemberState is a member's state as believed by the sender.
	MemberState uint8

	// AttemptID names one attempt of one request by one incarnation of an entry host.
	AttemptID struct {
		Host        string `cbor:"1,keyasint"`
		Incarnation uint64 `cbor:"2,keyasint"`
		Request     string `cbor:"3,keyasint"`
		Attempt     uint32 `cbor:"4,keyasint"`
	}

	// Host describes an entry host.
	Host struct {
		Name          string         `cbor:"1,keyasint"`
		Incarnation   uint64         `cbor:"2,keyasint"`
		Address       netip.AddrPort `cbor:"3,keyasint"`
		FailureDomain string         `cbor:"4,keyasint"`
		Region        string         `cbor:"5,keyasint"`
	}

	// Server describes a backend server.
	Server struct {
		Name          string         `cbor:"1,keyasint"`
		Address       netip.AddrPort `cbor:"2,keyasint"`
		FailureDomain string         `cbor:"3,keyasint"`
		Region        string         `cbor:"4,keyasint"`
	}

	// Ask requests a grant on one backend server from the host that schedules it.
	Ask struct {
		ID           AttemptID     `cbor:"1,keyasint"`
		Server       string        `cbor:"2,keyasint"`
		Workspace    string        `cbor:"3,keyasint"`
		Model        string        `cbor:"4,keyasint"`
		Class        Class         `cbor:"5,keyasint"`
		PromptTokens int64         `cbor:"6,keyasint"`
		OutputTokens int64         `cbor:"7,keyasint"`
		Blocks       []uint64      `cbor:"8,keyasint"` // hashes of the leading prompt blocks, each over the whole prefix
		TimeLeft     time.Duration `cbor:"9,keyasint"`
		Fingerprint  uint64        `cbor:"10,keyasint"`
		Queue        bool          `cbor:"11,keyasint"` // wait in the queue instead of a busy refusal
		Suspect      bool          `cbor:"12,keyasint"` // may have crashed a backend server before
		Bytes        int64         `cbor:"13,keyasint"` // memory to reserve; 0 lets the scheduler work it out
		BlockTokens  int64         `cbor:"14,keyasint"` // prompt tokens that each of Blocks covers
	}

	// Grant allows one attempt to run on a backend server until Expiry has passed.
	Grant struct {
		ID           AttemptID      `cbor:"1,keyasint"`
		Server       string         `cbor:"2,keyasint"`
		Address      netip.AddrPort `cbor:"3,keyasint"`
		Expiry       time.Duration  `cbor:"4,keyasint"`
		CachedTokens int64          `cbor:"5,keyasint"`
		Priority     int            `cbor:"6,keyasint"`
		Epoch        uint64         `cbor:"7,keyasint"` // of the backend server's process
	}

	// Refusal denies a grant; Wait is the predicted time until it would be given.
	Refusal struct {
		ID         AttemptID     `cbor:"1,keyasint"`
		Kind       RefusalKind   `cbor:"2,keyasint"`
		Wait       time.Duration `cbor:"3,keyasint"`
		RetryAfter time.Duration `cbor:"4,keyasint"`
	}

	// Finish gives a grant back or withdraws an Ask.
	Finish struct {
		ID           AttemptID     `cbor:"1,keyasint"`
		Server       string        `cbor:"2,keyasint"`
		Crashed      bool          `cbor:"3,keyasint"` // the backend server died under it
		OutputTokens int64         `cbor:"4,keyasint"`
		CachedTokens int64         `cbor:"5,keyasint"`
		FirstToken   time.Duration `cbor:"6,keyasint"`
	}

	// Refresh repeats the grants that an entry host still uses, which also rebuilds a new scheduler.
	Refresh struct {
		Server string `cbor:"1,keyasint"`
		Held   []Held `cbor:"2,keyasint"`
	}

	// Held is one grant in a Refresh.
	Held struct {
		ID           AttemptID     `cbor:"1,keyasint"`
		Workspace    string        `cbor:"2,keyasint"`
		Model        string        `cbor:"3,keyasint"`
		PromptTokens int64         `cbor:"4,keyasint"`
		OutputTokens int64         `cbor:"5,keyasint"`
		Bytes        int64         `cbor:"6,keyasint"`
		Expiry       time.Duration `cbor:"7,keyasint"`
		Prefilling   bool          `cbor:"8,keyasint"`
	}

	// Row summarizes one backend server for the hosts of its failure domain.
	Row struct {
		Server        string
		Revision      uint64        // grows with each change by its scheduler
		Wait          time.Duration // predicted wait before the prefill of a short prompt starts
		FreeBytes     int64
		CapacityBytes int64
		BytesPerToken int64
		QueuedTokens  int64
		Running       int
		Long          bool // in the subset for long prompts
		Leaving       bool
		Unhealthy     bool
		Models        []string
		PrefillRate   float64       // tokens per second
		DecodeRate    float64       // tokens per second and sequence
		LongDemand    float64       // prompt tokens per second of long prompts asked for here
		ShortDemand   float64       // prompt tokens per second of other prompts asked for here
		Scheduler     string        // host that schedules the backend server
		Age           time.Duration // since the scheduler made the row
		Backlog       time.Duration // predicted time to prefill all that was granted or queued
		Brief         bool          // without CapacityBytes, BytesPerToken, Models and the rates
	}

	// Aggregate summarizes a model's backend servers of one failure domain for the others.
	Aggregate struct {
		FailureDomain string        `cbor:"1,keyasint"`
		Region        string        `cbor:"2,keyasint"`
		Model         string        `cbor:"3,keyasint"`
		Servers       int           `cbor:"4,keyasint"`
		BestWait      time.Duration `cbor:"5,keyasint"`
		MaxFreeBytes  int64         `cbor:"6,keyasint"`
		FreeBytes     int64         `cbor:"7,keyasint"`
		Best          string        `cbor:"8,keyasint"`  // backend server with BestWait
		BestBacklog   time.Duration `cbor:"9,keyasint"`  // least backlog of those for long prompts
		BestLong      string        `cbor:"10,keyasint"` // backend server with BestBacklog
		Age           time.Duration `cbor:"20,keyasint"` // since it was summed up
	}

	// Member is one row of the membership that probes spread.
	Member struct {
		Host  Host        `cbor:"1,keyasint"`
		State MemberState `cbor:"2,keyasint"`
		// Refutation counts how often this incarnation of the host has contradicted a wrong belief about itself.
		Refutation uint32 `cbor:"3,keyasint,omitempty"`
	}

	// ManifestVersion names the configuration that a host has in force.
	ManifestVersion struct {
		Revision uint64 `cbor:"1,keyasint"`
		Digest   string `cbor:"2,keyasint"`
	}

	// Usage is what a workspace has used through one entry host, for the limits that hold over a failure domain.
	Usage struct {
		Host        string  `cbor:"1,keyasint"`
		Incarnation uint64  `cbor:"2,keyasint"`
		Workspace   string  `cbor:"3,keyasint"`
		Tokens      float64 `cbor:"4,keyasint"` // used in total by this incarnation, never falling
		InFlight    int     `cbor:"5,keyasint"`
		Pending     float64 `cbor:"6,keyasint"` // predicted for the requests in flight
	}

	// Probe checks that a host is alive and carries what the sender spreads.
	Probe struct {
		From       Host            `cbor:"1,keyasint"`
		Target     string          `cbor:"2,keyasint"` // set when the receiver is to probe another host
		Members    []Member        `cbor:"3,keyasint"`
		Manifest   ManifestVersion `cbor:"4,keyasint"`
		Rows       []Row           `cbor:"5,keyasint"`
		Aggregates []Aggregate     `cbor:"6,keyasint"`
		Suspicions []Suspicion     `cbor:"7,keyasint"`
		Usage      []Usage         `cbor:"8,keyasint"`
		HostsIndex uint64          `cbor:"9,keyasint"`            // of the sender's copy of the platform's host list
		Digest     uint64          `cbor:"10,keyasint,omitempty"` // of the sender's members
		Join       bool            `cbor:"11,keyasint,omitempty"` // asks for all members that the receiver knows
	}

	// Ack answers a Probe with the receiver's own news.
	Ack struct {
		From       Host            `cbor:"1,keyasint"`
		OK         bool            `cbor:"2,keyasint"` // false when an indirect probe found no answer
		Members    []Member        `cbor:"3,keyasint"`
		Manifest   ManifestVersion `cbor:"4,keyasint"`
		Rows       []Row           `cbor:"5,keyasint"`
		Aggregates []Aggregate     `cbor:"6,keyasint"`
		Suspicions []Suspicion     `cbor:"7,keyasint"`
		Usage      []Usage         `cbor:"8,keyasint"`
		HostsIndex uint64          `cbor:"9,keyasint"`            // of the sender's copy of the platform's host list
		Digest     uint64          `cbor:"10,keyasint,omitempty"` // of the sender's members
	}

	// Suspicion spreads that a request content may crash backend servers.
	Suspicion struct {
		Workspace   string        `cbor:"1,keyasint"`
		Fingerprint uint64        `cbor:"2,keyasint"`
		Crashes     int           `cbor:"3,keyasint"`
		Expiry      time.Duration `cbor:"4,keyasint"`
		Alone       bool          `cbor:"5,keyasint"` // was the only suspect on a crashed backend server
		Causes      []CrashCause  `cbor:"6,keyasint,omitempty"`
		Cleared     time.Duration `cbor:"7,keyasint,omitempty"` // since the content last gave a whole answer; 0 when it has not
	}

	// CrashCause is one crash of a backend server in a Suspicion.
	CrashCause struct {
		Server string        `cbor:"1,keyasint"`
		Epoch  uint64        `cbor:"2,keyasint"` // of the process that crashed; 0 when unknown
		Age    time.Duration `cbor:"3,keyasint"` // since the crash was first noticed
		Began  time.Duration `cbor:"4,keyasint"` // since the content's attempt began there
		Ran    bool          `cbor:"5,keyasint"` // the dispatching host says that the attempt reached the backend server
	}

	// PullConfig asks a peer for its configuration when it is newer than Have.
	PullConfig struct {
		Have ManifestVersion `cbor:"1,keyasint"`
	}

	// Config is a manifest with the section bodies it names; empty when the peer has nothing newer.
	Config struct {
		Version  ManifestVersion `cbor:"1,keyasint"`
		Manifest []byte          `cbor:"2,keyasint"`
		Bodies   [][]byte        `cbor:"3,keyasint"`
	}

	// PullHosts asks a peer for its copy of the platform's host list when it is newer than Have.
	PullHosts struct {
		Have uint64 `cbor:"1,keyasint"`
	}

	// HostList is a copy of the platform's host list as of Index; empty when the peer has nothing newer.
	HostList struct {
		Index uint64             `cbor:"1,keyasint"`
		Hosts []platformapi.Host `cbor:"2,keyasint"`
	}

	// OrderStatus asks the owner of a claim whether its dispatch still runs.
	// With a Key it also asks whether the receiver has sent a request under the claim of that key to a service.
	OrderStatus struct {
		Attempt AttemptID `cbor:"1,keyasint"`
		Key     string    `cbor:"2,keyasint,omitempty"`
	}

	// OrderState answers OrderStatus.
	OrderState struct {
		Running bool `cbor:"1,keyasint"`
		Sent    bool `cbor:"2,keyasint,omitempty"`
		Lost    bool `cbor:"3,keyasint,omitempty"` // a host was lost lately that may have sent it
	}

	// Message is one frame; exactly one field is set, and Rows may come with a Grant or Refusal.
	Message struct {
		Ask         *Ask         `cbor:"1,keyasint,omitempty"`
		Grant       *Grant       `cbor:"2,keyasint,omitempty"`
		Refusal     *Refusal     `cbor:"3,keyasint,omitempty"`
		Finish      *Finish      `cbor:"4,keyasint,omitempty"`
		Refresh     *Refresh     `cbor:"5,keyasint,omitempty"`
		Probe       *Probe       `cbor:"6,keyasint,omitempty"`
		Ack         *Ack         `cbor:"7,keyasint,omitempty"`
		PullConfig  *PullConfig  `cbor:"8,keyasint,omitempty"`
		Config      *Config      `cbor:"9,keyasint,omitempty"`
		OrderStatus *OrderStatus `cbor:"10,keyasint,omitempty"`
		OrderState  *OrderState  `cbor:"11,keyasint,omitempty"`
		Done        *Done        `cbor:"12,keyasint,omitempty"`
		PullHosts   *PullHosts   `cbor:"13,keyasint,omitempty"`
		HostList    *HostList    `cbor:"14,keyasint,omitempty"`
		Rows        []Row        `cbor:"15,keyasint,omitempty"`
	}

	// Done confirms a message that needs no other answer.
	Done struct{}
)
