package site

import (
	"net/netip"
	"time"
)

// Settings holds the settings of one host, independent of the format of the settings file.
type Settings struct {
	Host          string // name of the host
	FailureDomain string
	Region        string            // of the host; empty if it isn't known
	Regions       map[string]string // region by failure domain, for those that are known

	CallerAddress    netip.AddrPort   // where callers connect
	ReadinessAddress netip.AddrPort   // where the load balancer checks whether the host is ready
	MetricsAddress   netip.AddrPort   // where metrics are served; invalid if the host serves none
	PeerAddress      netip.AddrPort   // where other entry hosts connect; invalid if there is no such address
	Seeds            []netip.AddrPort // peer addresses to discover the other hosts from; may be out of date

	StoreAddress netip.AddrPort // of the platform's store

	CPUCores    float64 // CPU time that the host may use, in cores
	MemoryBytes int64   // memory that the host may use
	Descriptors int     // descriptors that the host may have open; 0 means no limit

	// Limits on callers; 0 means the default.
	CallerBytes                 int64 // what callers may make the host hold, in bytes
	CallerConnections           int   // open connections of callers, and requests that replicas work on, at most
	CallerConnectionsPerAddress int   // open connections from one address at most; by default no limit
	HeaderFields                int   // header fields of a request at most; by default as many as its size allows

	GracePeriod    time.Duration // from the request to stop until the process is killed
	RevocationTime time.Duration // longest time that a revoked key remains usable; 0 means no limit
	EvacuationTime time.Duration // longest time until an evacuation is obeyed; 0 means that none is read
	RetryRatio     float64       // retries allowed for each request of a service, over all hosts
	RetrySlack     float64       // retries allowed beyond that in one RetryWindow, over all hosts
	RetryWindow    time.Duration // period over which requests and retries are counted

	// A cold replica gets at most its service's rate times ColdOver, plus ColdSlack, requests in any second.
	ColdOver  float64
	ColdSlack float64
}
