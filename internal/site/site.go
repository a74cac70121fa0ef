package site

import (
	"net/netip"
	"time"
)

// Site is one host's settings, whatever format they came in.
type Site struct {
	Host          string
	FailureDomain string
	Region        string

	Callers   netip.AddrPort   // callers connect here
	Readiness netip.AddrPort   // the balancer asks here
	Metrics   netip.AddrPort   // monitoring reads here; invalid if the host serves none
	Peers     netip.AddrPort   // other entry hosts connect here; invalid if the host serves none
	Seeds     []netip.AddrPort // hosts that may know the others; may be out of date

	StoreAddress netip.AddrPort

	ProcessorShare float64 // of one core
	MemoryBytes    int64
	Descriptors    int

	Grace        time.Duration // from the order to stop until the process is killed
	DrainTime    time.Duration // a leaving replica may get requests so long after it says so
	RevokeTime   time.Duration // a key that was taken away may be used so long; 0 if there is no bound
	ApplyTime    time.Duration // a change of the configuration is in force everywhere after it
	MemoryIdle   time.Duration // reserved engine memory may stay unused so long
	MemoryHold   time.Duration // longest lease of reserved engine memory
	RetryRatio   float64       // repeats for each request of a service, over all hosts
	RetrySlack   float64       // repeats beyond that in one RetryWindow, over all hosts
	RetryWindow  time.Duration
	EventMaxLate time.Duration // an event must be passed on within this time
}
