package backend

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// Helper is a replica that reads a part of the prompt.
type Helper struct {
	Address netip.AddrPort
	Ticket  string // names memory that is reserved there; empty for none
}

// Attempt is one sending of a call.
type Attempt struct {
	Replica   replica.Replica
	Left      time.Duration // the server may work so long
	Resume    bool
	LastEvent int64 // with Resume: the stream goes on after this event
	Helpers   []Helper
	Rank      int // order in the server's queue, 0 to 9; 0 is first
}

// Reply is the head of a server's answer.
type Reply struct {
	Status int
	Header http.Header // what the caller may get of it
	CallID string      // the call that it answers; empty if it doesn't say
	NotRun bool        // the server promises that it didn't run the call
	Whole  bool        // it bears what an answer of the server's must bear
	Length int64       // of the body; -1 if unknown
}

// Codec translates between the project's types and the headers of an interface to backend servers.
type Codec interface {
	// AppendHead appends the head of the request that sends c to a server, up to the empty line.
	AppendHead(b []byte, c *call.Call, a *Attempt) []byte
	// Reply decodes the head of an answer.
	Reply(r *http.Response) *Reply
}
