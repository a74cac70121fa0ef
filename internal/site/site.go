package site

import (
	"net/netip"
	"time"
)

// Site is one host's settings, whatever format they came in.
type Site struct {
	Host          string
	FailureDomain string

	Callers   netip.AddrPort   // callers connect here
	Readiness netip.AddrPort   // the balancer asks here
	Metrics   netip.AddrPort   // monitoring reads here; invalid if the host serves none
	Peers     netip.AddrPort   // other entry hosts connect here; invalid if the host serves none
	Seeds     []netip.AddrPort // hosts that may know the others; may be out of date

	StoreAddress netip.AddrPort

	ProcessorShare float64 // of one core
	MemoryBytes    int64

	Grace       time.Duration // from the order to stop until the process is killed
	RevokeTime  time.Duration // a key that was taken away may be used so long; 0 if there is no bound
	RetryRatio  float64       // repeats for each request of a service, over all hosts
	RetrySlack  float64       // repeats beyond that in one RetryWindow, over all hosts
	RetryWindow time.Duration
}
