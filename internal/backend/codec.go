package backend

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// Helper is a helper replica: it prefills a part of the prompt for the replica that decodes the request.
type Helper struct {
	Address netip.AddrPort
	Ticket  string // names the memory reserved for the call at the helper; empty if none is reserved
}

// Attempt holds the parameters of sending a call once.
type Attempt struct {
	Replica   replica.Replica
	TimeLeft  time.Duration // time limit for the server
	Resume    bool          // the stream was begun in an earlier attempt
	LastEvent int64         // with Resume: id of the event after which the stream is to continue
	Helpers   []Helper
	Priority  int // priority in the server's queue, 0 to 9; 0 is the highest
	// NewConnection says that the call was sent to the address before, so that no kept connection may carry it.
	NewConnection bool
	// MaySend, if not nil, reports whether the call may still be sent. It is called when the connection is there, since
	// making one takes time, and right before the first byte is sent.
	MaySend func() bool
	// Passes, if not nil, reports whether the call may be sent through another host.
	Passes func(host netip.AddrPort) bool
}

// ResponseHead is the decoded status line and header of a server's response.
type ResponseHead struct {
	Status    int
	Header    http.Header // the part of the header that is forwarded to the caller
	RequestID string      // ID of the call, a request of a caller, that the response belongs to; empty if it names none
	NotRun    bool        // the server states that it didn't run the call
	Responder string      // ID of the server that responded; empty if the response doesn't say
	AtFault   string      // ID or address of the server because of which the call wasn't run; empty if the response doesn't say
	// Misdirected says that another server than the planned one may have responded, which hasn't run the call.
	Misdirected bool
	Valid       bool          // the response has the headers that a response of a backend server must have
	Leaving     bool          // the server announces that it leaves and takes no new requests
	Pause       time.Duration // the server wants no requests from this host for so long; 0 if it doesn't say so
	Limited     bool          // the server limits the rate of requests to Limit, until a response doesn't say so
	Limit       float64       // requests a second that it takes from all hosts together; only if Limited
	NamesCold   bool          // the server says for how long it stays cold
	Cold        time.Duration // that time; 0 if it isn't cold
	Length      int64         // length of the body in bytes; -1 if unknown
}

// Codec translates between calls and responses of this package and the HTTP headers that backend servers use.
type Codec interface {
	// AppendRequestHead appends to b the request line and header of c, including the empty line that ends them, and
	// returns the extended slice.
	AppendRequestHead(b []byte, c *call.Call, a *Attempt) []byte
	// DecodeResponseHead decodes the status line and header of a response.
	DecodeResponseHead(r *http.Response) *ResponseHead
}
