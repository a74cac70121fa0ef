package protocol

import (
	"net/netip"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Urgency classes of requests, the most urgent first.
const (
	ClassInteractive Class = iota
	ClassStandard
	ClassBatch
)

// Reasons for refusing a grant.
const (
	RefusalBusy      RefusalKind = "busy"      // cannot start now; another backend server may be able to
	RefusalDeadline  RefusalKind = "deadline"  // would not finish before its deadline
	RefusalMemory    RefusalKind = "memory"    // needs more memory than the backend server has
	RefusalLeaving   RefusalKind = "leaving"   // the backend server accepts no new requests
	RefusalNotOwner  RefusalKind = "not_owner" // the host asked does not schedule the backend server
	RefusalModel     RefusalKind = "model"     // the backend server has not loaded the model
	RefusalQuota     RefusalKind = "quota"     // the workspace is over a limit
	RefusalSuspect   RefusalKind = "suspect"   // must not run together with other suspected requests
	RefusalCrashing  RefusalKind = "crashing"  // the request is known to crash backend servers
	RefusalUnhealthy RefusalKind = "unhealthy" // the backend server does not respond
)

// States of a member. Of two rows that are equally recent, the one with the greater state wins.
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

	// MemberState is a member's state according to the sender of the message.
	MemberState uint8

	// AttemptID identifies one attempt of one request by one incarnation of an entry host.
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

	// GrantRequest is a grant request: it asks the host that schedules a backend server to let an attempt run there.
	GrantRequest struct {
		ID           AttemptID     `cbor:"1,keyasint"`
		Server       string        `cbor:"2,keyasint"`
		Workspace    string        `cbor:"3,keyasint"`
		Model        string        `cbor:"4,keyasint"`
		Class        Class         `cbor:"5,keyasint"`
		PromptTokens int64         `cbor:"6,keyasint"`
		OutputTokens int64         `cbor:"7,keyasint"`
		Blocks       []uint64      `cbor:"8,keyasint"` // hash of the prompt up to the end of each leading block
		TimeLeft     time.Duration `cbor:"9,keyasint"` // until the request's deadline
		Fingerprint  uint64        `cbor:"10,keyasint"`
		MayQueue     bool          `cbor:"11,keyasint"` // whether to be queued instead of refused as busy
		Suspect      bool          `cbor:"12,keyasint"` // whether the request may have crashed a backend server before
		Bytes        int64         `cbor:"13,keyasint"` // memory to reserve; if 0, the scheduler computes it
		BlockTokens  int64         `cbor:"14,keyasint"` // number of prompt tokens in each of Blocks
	}

	// Grant allows one attempt to run on a backend server until the duration Expiry has passed.
	Grant struct {
		ID           AttemptID      `cbor:"1,keyasint"`
		Server       string         `cbor:"2,keyasint"`
		Address      netip.AddrPort `cbor:"3,keyasint"`
		Expiry       time.Duration  `cbor:"4,keyasint"`
		CachedTokens int64          `cbor:"5,keyasint"`
		Priority     int            `cbor:"6,keyasint"`
		Epoch        uint64         `cbor:"7,keyasint"` // epoch of the backend server's process
	}

	// Refusal refuses a GrantRequest. Wait is the predicted time until a grant would be given.
	Refusal struct {
		ID         AttemptID     `cbor:"1,keyasint"`
		Kind       RefusalKind   `cbor:"2,keyasint"`
		Wait       time.Duration `cbor:"3,keyasint"`
		RetryAfter time.Duration `cbor:"4,keyasint"`
	}

	// GrantRelease returns a grant or withdraws a GrantRequest.
	GrantRelease struct {
		ID           AttemptID     `cbor:"1,keyasint"`
		Server       string        `cbor:"2,keyasint"`
		Crashed      bool          `cbor:"3,keyasint"` // whether the backend server crashed during the attempt
		OutputTokens int64         `cbor:"4,keyasint"`
		CachedTokens int64         `cbor:"5,keyasint"`
		FirstToken   time.Duration `cbor:"6,keyasint"`
	}

	// Refresh lists the grants on one backend server that an entry host still uses. A new scheduler restores its state
	// from it.
	Refresh struct {
		Server string      `cbor:"1,keyasint"`
		Grants []HeldGrant `cbor:"2,keyasint"`
	}

	// HeldGrant is one grant in a Refresh.
	HeldGrant struct {
		ID           AttemptID     `cbor:"1,keyasint"`
		Workspace    string        `cbor:"2,keyasint"`
		Model        string        `cbor:"3,keyasint"`
		PromptTokens int64         `cbor:"4,keyasint"`
		OutputTokens int64         `cbor:"5,keyasint"`
		Bytes        int64         `cbor:"6,keyasint"`
		Expiry       time.Duration `cbor:"7,keyasint"`
		Prefilling   bool          `cbor:"8,keyasint"`
	}

	// Row is the state of one backend server, as its scheduler reports it to the hosts of the failure domain.
	Row struct {
		Server         string
		Revision       uint64        // increases with each change by the scheduler
		Wait           time.Duration // predicted wait before the prefill of a short prompt starts
		FreeBytes      int64
		CapacityBytes  int64
		BytesPerToken  int64
		QueuedTokens   int64
		Running        int
		ForLongPrompts bool // whether it belongs to the subset for long prompts
		Leaving        bool
		Unhealthy      bool
		Models         []string
		PrefillRate    float64       // tokens per second
		DecodeRate     float64       // tokens per second for each sequence
		LongDemand     float64       // prompt tokens per second of grant requests with long prompts
		ShortDemand    float64       // prompt tokens per second of grant requests with other prompts
		Scheduler      string        // host that schedules the backend server
		Age            time.Duration // time since the scheduler created the row
		Backlog        time.Duration // predicted time to prefill all granted and queued prompts
		Partial        bool          // whether CapacityBytes, BytesPerToken, Models and the rates are left out
	}

	// Aggregate summarizes a model's backend servers in one failure domain for the other failure domains.
	Aggregate struct {
		FailureDomain      string        `cbor:"1,keyasint"`
		Region             string        `cbor:"2,keyasint"`
		Model              string        `cbor:"3,keyasint"`
		Servers            int           `cbor:"4,keyasint"`
		BestWait           time.Duration `cbor:"5,keyasint"`
		MaxFreeBytes       int64         `cbor:"6,keyasint"`
		FreeBytes          int64         `cbor:"7,keyasint"`
		Best               string        `cbor:"8,keyasint"`  // backend server with BestWait
		BestBacklog        time.Duration `cbor:"9,keyasint"`  // shortest backlog of the backend servers for long prompts
		BestForLongPrompts string        `cbor:"10,keyasint"` // backend server with BestBacklog
		Age                time.Duration `cbor:"20,keyasint"` // time since the summary was made
	}

	// Member is one row of the membership list that hosts spread with probes.
	Member struct {
		Host  Host        `cbor:"1,keyasint"`
		State MemberState `cbor:"2,keyasint"`
		// Refutation counts how often this incarnation of the host has refuted a wrong state of itself.
		Refutation uint32 `cbor:"3,keyasint,omitempty"`
	}

	// ManifestVersion identifies the configuration that is active on a host.
	ManifestVersion struct {
		Revision uint64 `cbor:"1,keyasint"`
		Digest   string `cbor:"2,keyasint"`
	}

	// Usage is a workspace's usage through one entry host. Hosts need it for the limits that apply to a whole failure
	// domain.
	Usage struct {
		Host        string  `cbor:"1,keyasint"`
		Incarnation uint64  `cbor:"2,keyasint"`
		Workspace   string  `cbor:"3,keyasint"`
		Tokens      float64 `cbor:"4,keyasint"` // total used through this incarnation; never decreases
		InFlight    int     `cbor:"5,keyasint"` // requests in flight
		Pending     float64 `cbor:"6,keyasint"` // tokens predicted for the requests in flight
	}

	// Probe checks that a host is alive and carries the sender's gossip.
	Probe struct {
		From       Host            `cbor:"1,keyasint"`
		Target     string          `cbor:"2,keyasint"` // name of another host that the receiver is to probe; usually empty
		Members    []Member        `cbor:"3,keyasint"`
		Manifest   ManifestVersion `cbor:"4,keyasint"`
		Rows       []Row           `cbor:"5,keyasint"`
		Aggregates []Aggregate     `cbor:"6,keyasint"`
		Suspicions []Suspicion     `cbor:"7,keyasint"`
		Usage      []Usage         `cbor:"8,keyasint"`
		HostsIndex uint64          `cbor:"9,keyasint"`            // index of the sender's copy of the platform's host list
		Digest     uint64          `cbor:"10,keyasint,omitempty"` // digest of the sender's members
		AllMembers bool            `cbor:"11,keyasint,omitempty"` // whether the receiver is to answer with all members
	}

	// Ack answers a Probe and carries the receiver's own gossip.
	Ack struct {
		From           Host            `cbor:"1,keyasint"`
		TargetAnswered bool            `cbor:"2,keyasint"` // false if the Target of the probe did not answer
		Members        []Member        `cbor:"3,keyasint"`
		Manifest       ManifestVersion `cbor:"4,keyasint"`
		Rows           []Row           `cbor:"5,keyasint"`
		Aggregates     []Aggregate     `cbor:"6,keyasint"`
		Suspicions     []Suspicion     `cbor:"7,keyasint"`
		Usage          []Usage         `cbor:"8,keyasint"`
		HostsIndex     uint64          `cbor:"9,keyasint"`            // index of the sender's copy of the platform host list
		Digest         uint64          `cbor:"10,keyasint,omitempty"` // digest of the sender's members
	}

	// Suspicion reports that a prompt content, identified by workspace and fingerprint, may crash backend servers.
	Suspicion struct {
		Workspace     string        `cbor:"1,keyasint"`
		Fingerprint   uint64        `cbor:"2,keyasint"`
		Crashes       int           `cbor:"3,keyasint"`
		Expiry        time.Duration `cbor:"4,keyasint"`
		Quarantined   bool          `cbor:"5,keyasint"` // whether it was the only suspect on a crashed backend server
		Causes        []CrashCause  `cbor:"6,keyasint,omitempty"`
		SinceComplete time.Duration `cbor:"7,keyasint,omitempty"` // time since the content's last complete response, or 0
	}

	// CrashCause is one crash of a backend server that a Suspicion counts.
	CrashCause struct {
		Server     string        `cbor:"1,keyasint"`
		Epoch      uint64        `cbor:"2,keyasint"` // epoch of the process that crashed; 0 if unknown
		Age        time.Duration `cbor:"3,keyasint"` // time since the crash was first noticed
		AttemptAge time.Duration `cbor:"4,keyasint"` // time since the attempt with the content began on this backend server
		Reached    bool          `cbor:"5,keyasint"` // whether its host reported that the attempt reached the server
	}

	// PullConfig asks a peer for its configuration if it is newer than Have.
	PullConfig struct {
		Have ManifestVersion `cbor:"1,keyasint"`
	}

	// Config answers PullConfig with a manifest and the bodies of the sections it names. It is empty if the peer has
	// no newer configuration.
	Config struct {
		Version  ManifestVersion `cbor:"1,keyasint"`
		Manifest []byte          `cbor:"2,keyasint"`
		Bodies   [][]byte        `cbor:"3,keyasint"`
	}

	// PullHosts asks a peer for its copy of the platform's host list if its index is higher than Have.
	PullHosts struct {
		Have uint64 `cbor:"1,keyasint"`
	}

	// HostList answers PullHosts with a copy of the platform's host list as of Index. It is empty if the peer has no
	// newer copy.
	HostList struct {
		Index uint64             `cbor:"1,keyasint"`
		Hosts []platformapi.Host `cbor:"2,keyasint"`
	}

	// ClaimQuery asks the owner of a claim whether the attempt is still in progress. If Key is set, it also asks
	// whether the receiver has sent a request to a service under the claim of that key.
	ClaimQuery struct {
		Attempt AttemptID `cbor:"1,keyasint"`
		Key     string    `cbor:"2,keyasint,omitempty"`
	}

	// ClaimStatus answers ClaimQuery.
	ClaimStatus struct {
		Running  bool `cbor:"1,keyasint"`
		Sent     bool `cbor:"2,keyasint,omitempty"`
		HostLost bool `cbor:"3,keyasint,omitempty"` // whether a host that may have sent the request failed recently
	}

	// Message is the body of one frame. Exactly one field is set, except that Rows may be set together with Grant or
	// Refusal.
	Message struct {
		GrantRequest *GrantRequest `cbor:"1,keyasint,omitempty"`
		Grant        *Grant        `cbor:"2,keyasint,omitempty"`
		Refusal      *Refusal      `cbor:"3,keyasint,omitempty"`
		GrantRelease *GrantRelease `cbor:"4,keyasint,omitempty"`
		Refresh      *Refresh      `cbor:"5,keyasint,omitempty"`
		Probe        *Probe        `cbor:"6,keyasint,omitempty"`
		Ack          *Ack          `cbor:"7,keyasint,omitempty"`
		PullConfig   *PullConfig   `cbor:"8,keyasint,omitempty"`
		Config       *Config       `cbor:"9,keyasint,omitempty"`
		OrderStatus  *ClaimQuery   `cbor:"10,keyasint,omitempty"`
		OrderState   *ClaimStatus  `cbor:"11,keyasint,omitempty"`
		Done         *Confirmation `cbor:"12,keyasint,omitempty"`
		PullHosts    *PullHosts    `cbor:"13,keyasint,omitempty"`
		HostList     *HostList     `cbor:"14,keyasint,omitempty"`
		Rows         []Row         `cbor:"15,keyasint,omitempty"`
	}

	// Confirmation confirms that a message without another answer was received.
	Confirmation struct{}
)
