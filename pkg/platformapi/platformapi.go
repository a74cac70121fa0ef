package platformapi

import "net/netip"

// MaxValueBytes is the largest value that the key-value service holds.
const MaxValueBytes = 1 << 20

// Request headers that name the caller, so that calls can be counted and partitions can be simulated.
const (
	HeaderHost          = "Turmericshunt-Host"
	HeaderFailureDomain = "Turmericshunt-Failure-Domain"
)

// Kinds of hosts in the platform's list.
const (
	KindEntry   = "entry"
	KindEngine  = "engine"
	KindService = "service"
)

// The messages of the platform's interface.
type (
	// Entry is one key with its value and the revision of its last change.
	Entry struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
		Lease    string `json:"lease,omitempty"`
	}

	// Entries is a list of entries as of Index.
	Entries struct {
		Index   uint64  `json:"index"`
		Entries []Entry `json:"entries"`
	}

	// Written confirms a write.
	Written struct {
		Revision uint64 `json:"revision"`
	}

	// Lease is a lease and its time to live.
	Lease struct {
		ID    string `json:"id"`
		TTLMS int64  `json:"ttl_ms"`
	}

	// Host is one row of the platform's lagging list of hosts.
	Host struct {
		Name          string         `json:"name"`
		Kind          string         `json:"kind"`
		Service       string         `json:"service,omitempty"`
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

	// Calls counts the calls that were made so far; a waiting watch counts as one.
	Calls struct {
		Reads   uint64            `json:"reads"`
		Writes  uint64            `json:"writes"`
		Watches uint64            `json:"watches"`
		ByHost  map[string]uint64 `json:"by_host"`
	}

	// Faults switches misbehavior of the stand-in on and off.
	Faults struct {
		Down             bool  `json:"down"`               // each call answers 503
		Hang             bool  `json:"hang"`               // no call is answered
		LateMS           int64 `json:"late_ms"`            // delay of each answer
		LoseWriteAnswers int   `json:"lose_write_answers"` // this many writes take effect and their connection is cut
		StaleReads       bool  `json:"stale_reads"`        // reads lag by some revisions

		CutOffHosts          []string `json:"cut_off_hosts"`           // callers whose calls get no answer and no effect
		CutOffFailureDomains []string `json:"cut_off_failure_domains"` // the same by the caller's failure domain
		Throttle             int      `json:"throttle"`                // this many calls answer 429
	}
)
