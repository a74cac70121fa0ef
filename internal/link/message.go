package link

import (
	"net/netip"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/quarantine"
	"github.com/turmericshunt/turmericshunt/internal/ratelimit"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/revision"
	"github.com/turmericshunt/turmericshunt/internal/roster"
)

// Message is the content of one frame; exactly one field is set.
type Message struct {
	Heartbeat     *Heartbeat       `cbor:"1,keyasint,omitempty"` // heartbeat, in both directions
	Request       *planner.Request `cbor:"2,keyasint,omitempty"` // placement request to the planner
	Result        *Result          `cbor:"3,keyasint,omitempty"` // placement result from the planner
	Queued        string           `cbor:"4,keyasint,omitempty"` // id of a placement request that waits at the planner
	Started       *Progress        `cbor:"5,keyasint,omitempty"` // notifies the planner of a request's first event
	Ended         *Progress        `cbor:"6,keyasint,omitempty"` // notifies the planner of a request's end
	PlacementSync *PlacementSync   `cbor:"7,keyasint,omitempty"` // reports placed requests to the planner
	// ExtraWaitQuery asks the planner how much longer a silent request may be waited for; ExtraWaitReply is the
	// planner's reply.
	ExtraWaitQuery *ExtraWait `cbor:"8,keyasint,omitempty"`
	ExtraWaitReply *ExtraWait `cbor:"9,keyasint,omitempty"`
	Leaving        *Leaving   `cbor:"10,keyasint,omitempty"` // notifies the planner that a replica leaves
	// Crashes reports to a new planner which attempts broke off.
	Crashes []quarantine.Crash `cbor:"11,keyasint,omitempty"`
	// Limits reports to the planner what replicas have said of their limits.
	Limits []ratelimit.Statement `cbor:"12,keyasint,omitempty"`
	// Misdirected notifies the planner that another server has the address of a replica.
	Misdirected *replica.Location `cbor:"13,keyasint,omitempty"`
}

// Result is a placement result with the time at which the planner sent it, as far as the receiver's clock tells it.
type Result struct {
	planner.Result
	// Stamp is that of the newest heartbeat that the planner had received from the receiver; 0 if there was none.
	Stamp int64 `cbor:"5,keyasint,omitempty"`
	// SinceStamp is the time since the planner received that heartbeat. The result was sent at Stamp plus SinceStamp or
	// later.
	SinceStamp time.Duration `cbor:"6,keyasint,omitempty"`
}

// Leaving notifies the planner that a replica has announced in a response that it leaves.
type Leaving struct {
	Replica string `cbor:"1,keyasint"` // ID
	Born    int64  `cbor:"2,keyasint,omitempty"`
}

// ExtraWait is a query or reply about a silent request: a placed request whose backend server sends nothing.
type ExtraWait struct {
	ID   string        `cbor:"1,keyasint"`           // of the request
	Wait time.Duration `cbor:"2,keyasint,omitempty"` // extra wait, in a reply; 0 if the server seems to be gone
}

// Heartbeat is a heartbeat with the gossip between hosts.
type Heartbeat struct {
	Stamp   int64           `cbor:"1,keyasint"`           // boot-time clock of the sender, in nanoseconds
	Echo    int64           `cbor:"2,keyasint,omitempty"` // last Stamp received from the receiver; 0 if there is none
	Host    roster.Member   `cbor:"3,keyasint"`           // the sender
	Members []roster.Member `cbor:"4,keyasint,omitempty"` // the first hosts in the planning order; only in some replies
	// HostCount is the number of hosts that the sender knows; hosts of earlier versions omit it.
	HostCount int `cbor:"12,keyasint,omitempty"`
	// State is the sender's configuration and replicas; nil if Echo is 0. Its times are relative to a base time. For
	// the sender, that is when it received the stamp that Echo repeats; for the receiver, it is the stamp itself. The
	// latter is earlier, so the state never appears newer than it is.
	State *feed.State `cbor:"5,keyasint,omitempty"`
	// These fields identify the sender's configuration and the set of its replicas. The receiver omits from the state
	// that it sends what the sender of this heartbeat has already.
	ConfigRevision int64  `cbor:"6,keyasint,omitempty"`
	ReplicaDigest  uint64 `cbor:"7,keyasint,omitempty"`
	ConfigVersion  int64  `cbor:"9,keyasint,omitempty"`
	ConfigEra      int64  `cbor:"10,keyasint,omitempty"` // of ConfigRevision
	AcceptsChanges bool   `cbor:"11,keyasint,omitempty"` // the sender accepts changes in place of the whole
	// VerdictDigest identifies the sender's verdicts on what crashes replicas; Verdicts are these, unless the receiver's
	// last heartbeat had the same digest.
	VerdictDigest uint64               `cbor:"13,keyasint,omitempty"`
	Verdicts      []quarantine.Verdict `cbor:"14,keyasint,omitempty"`
	// LimitDigest identifies what the sender knows of the limits of replicas; Limits are these statements, unless the
	// receiver's last heartbeat had the same digest.
	LimitDigest uint64                `cbor:"15,keyasint,omitempty"`
	Limits      []ratelimit.Statement `cbor:"16,keyasint,omitempty"`
	// LostServers are the backend servers that the sender can't connect to directly, if HasLostServers is set; otherwise they
	// are those of an earlier heartbeat.
	LostServers    []netip.AddrPort `cbor:"18,keyasint,omitempty"`
	HasLostServers bool             `cbor:"20,keyasint,omitempty"`
	// Detours are hosts through which the receiver can connect to backend servers, as its planner knows; only if a host has
	// lost a path.
	Detours []netip.AddrPort `cbor:"19,keyasint,omitempty"`
	// ColdDigest identifies what the sender knows of cold replicas; Cold are these statements, unless the receiver's last
	// heartbeat had the same digest. The sender received the stamp that Echo repeats SinceEcho before it sent them.
	ColdDigest uint64                    `cbor:"30,keyasint,omitempty"`
	Cold       []ratelimit.ColdStatement `cbor:"31,keyasint,omitempty"`
	SinceEcho  time.Duration             `cbor:"32,keyasint,omitempty"`
	// SinceOther is the time since the sender last heard from an earlier planner, which may take it for a follower; 0 if that
	// isn't known.
	SinceOther time.Duration `cbor:"33,keyasint,omitempty"`
	Follows    bool          `cbor:"17,keyasint,omitempty"` // the receiver is the sender's planner
	NoReply    bool          `cbor:"8,keyasint,omitempty"`  // must not be replied to: a reply, or an unrequested report
}

// SetVersions sets the fields that identify the sender's configuration and replicas.
func (h *Heartbeat) SetVersions(v feed.Versions) {
	h.ConfigVersion = v.ConfigVersion
	h.ConfigRevision = v.ConfigRevision.Number
	h.ConfigEra = v.ConfigRevision.Era
	h.ReplicaDigest = v.ReplicaDigest
	h.AcceptsChanges = v.AcceptsChanges
}

// Versions returns what identifies the sender's configuration and replicas.
func (h *Heartbeat) Versions() feed.Versions {
	v := feed.Versions{
		ConfigVersion:  h.ConfigVersion,
		ConfigRevision: revision.New(h.ConfigEra, h.ConfigRevision),
		ReplicaDigest:  h.ReplicaDigest,
		AcceptsChanges: h.AcceptsChanges,
	}
	if h.State != nil {
		v.ReplicaRevision = revision.New(h.State.ReplicaEra, h.State.ReplicaRevision)
		v.ReplicasReadAt = time.Unix(0, h.Echo).Add(h.State.ReplicaRead)
	}
	return v
}

// Progress notifies the planner of the progress of a placed request.
type Progress struct {
	ID      string          `cbor:"1,keyasint"`           // of the request
	Outcome planner.Outcome `cbor:"2,keyasint,omitempty"` // only in Message.Ended
	Pause   time.Duration   `cbor:"3,keyasint,omitempty"` // only in Message.Ended: length of the pause that the server asked for
	Common  bool            `cbor:"4,keyasint,omitempty"` // the server has asked all hosts for the pause
}

// PlacementSync reports placed requests of a host that are in progress to the planner, so that it takes them into
// account.
type PlacementSync struct {
	Complete   bool                `cbor:"1,keyasint,omitempty"` // Placements is complete; the planner drops all others
	Placements []planner.Placement `cbor:"2,keyasint,omitempty"`
}
