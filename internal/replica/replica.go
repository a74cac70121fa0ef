package replica

import "net/netip"

// Replica is one backend server, as described by its entry in the store. Hosts exchange replicas under the names of
// these fields and compare digests of their printed form, so names and order must stay.
type Replica struct {
	ID            string
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int   // requests that it runs at once at most; 0 if unknown
	Draining      bool  // takes no new requests
	Born          int64 // start time in Unix milliseconds; differs between incarnations with the same id
}
