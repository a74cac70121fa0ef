package platformapi

import "net/netip"

// MaxValueBytes is the size of the largest value that the key-value service accepts, in bytes.
const MaxValueBytes = 1 << 20

// Request headers that identify the calling host, so that calls can be counted and network partitions can be simulated.
const (
	HeaderHost          = "Turmericshunt-Host"
	HeaderFailureDomain = "Turmericshunt-Failure-Domain"
)

// Kinds of hosts in the platform's host list.
const (
	KindEntry   = "entry"   // entry host
	KindEngine  = "engine"  // model engine
	KindService = "service" // server of a plain service
)

// The messages of the platform's interface.
type (
	// Entry is one key with its value and the revision of its last change.
	Entry struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
		Lease    string `json:"lease,omitempty"` // id of the lease that the key was written under; "" if none
	}

	// Entries is a list of entries as of the revision Index.
	Entries struct {
		Index   uint64  `json:"index"`
		Entries []Entry `json:"entries"`
	}

	// Written confirms a write or a deletion, which has the given revision.
	Written struct {
		Revision uint64 `json:"revision"`
	}

	// Lease is a lease and its time to live.
	Lease struct {
		ID    string `json:"id"`
		TTLMS int64  `json:"ttl_ms"`
	}

	// Host is one host of the platform's host list, which may be out of date.
	Host struct {
		Name          string         `json:"name"`
		Kind          string         `json:"kind"`
		Service       string         `json:"service,omitempty"` // name of the service; set if Kind is KindService
		Address       netip.AddrPort `json:"address"`
		FailureDomain string         `json:"failure_domain"`
		Region        string         `json:"region"`
		Leaving       bool           `json:"leaving"`
	}

	// Hosts is the list of hosts as of Index.
	Hosts struct {
		Index uint64 `json:"index"`
		Hosts []Host `json:"hosts"`
	}

	// Calls counts the calls that were received so far. A call that waits for changes counts as one watch.
	Calls struct {
		Reads   uint64            `json:"reads"`
		Writes  uint64            `json:"writes"`
		Watches uint64            `json:"watches"`
		ByHost  map[string]uint64 `json:"by_host"` // calls of each host, by its name
	}

	// Faults selects the faults that the stand-in simulates. It replaces the faults that were set before.
	Faults struct {
		Down             bool  `json:"down"`               // each call gets status 503
		Hang             bool  `json:"hang"`               // no call gets a response
		LateMS           int64 `json:"late_ms"`            // delay of each response
		LoseWriteAnswers int   `json:"lose_write_answers"` // number of writes that take effect, but get no response
		StaleReads       bool  `json:"stale_reads"`        // reads return an earlier revision

		CutOffHosts          []string `json:"cut_off_hosts"`           // hosts whose calls have no effect or response
		CutOffFailureDomains []string `json:"cut_off_failure_domains"` // the same for all hosts of failure domains
		Throttle             int      `json:"throttle"`                // number of calls that get status 429
	}
)
