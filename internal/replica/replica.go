package replica

import (
	"fmt"
	"io"
	"net/netip"
	"time"
)

// Replica is one backend server, as described by its entry in the store. Hosts exchange replicas under the names of
// these fields.
type Replica struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int   // requests that it runs at once at most; 0 if unknown
	Draining      bool  // takes no new requests
	Born          int64 // start time in Unix milliseconds; differs between incarnations with the same id
	// Leaving says that the backend server itself has announced in a response that it takes no new requests, whatever its
	// entry says.
	Leaving bool `cbor:",omitempty"`
	// Unlisted says that the backend server has no entry any more, which may have expired during an outage of the store.
	Unlisted bool `cbor:",omitempty"`
	// Written is the store's revision at which the entry was last changed; 0 if this host didn't read the entry itself.
	Written int64 `cbor:"-"`
	// Cold is what the entry says of how long the backend server stays cold; hosts report that to each other by other means.
	Cold Cold `cbor:"-"`
}

// Location is the address at which a replica is expected. After the replica has gone, the address may be that of another one,
// so that what is sent there names the replica.
type Location struct {
	ID      string         `cbor:"1,keyasint,omitempty"` // of the replica
	Address netip.AddrPort `cbor:"2,keyasint,omitempty"`
}

// Location returns where r is expected.
func (r Replica) Location() Location { return Location{ID: r.ID, Address: r.Address} }

// Cold is what the entry of a backend server says of how long the server stays cold after its start.
type Cold struct {
	Stated    bool          // the entry says something
	Remaining time.Duration // from when the entry was written; 0 if the server isn't cold
}

// TakesRequests reports whether new requests may be sent to the replica.
func (r Replica) TakesRequests() bool { return !r.Draining && !r.Leaving }

// print writes the replica in the form of which hosts compare digests. Earlier versions of the program don't know
// Leaving and Unlisted, so they are written only if they are set.
func (r Replica) print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "{ID:%s Service:%s Address:%v FailureDomain:%s Slots:%d Draining:%t Born:%d}\n", r.ID, r.Service,
		r.Address, r.FailureDomain, r.Slots, r.Draining, r.Born)
	if err == nil && r.Leaving {
		_, err = io.WriteString(w, "leaving\n")
	}
	if err == nil && r.Unlisted {
		_, err = io.WriteString(w, "unlisted\n")
	}
	return err
}
