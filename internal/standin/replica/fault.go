package replica

import (
	"time"
)

// Fault selects how a replica misbehaves on a request.
type Fault int

// Faults of a replica. A replica that does not support a fault serves the request normally.
const (
	FaultNone       Fault = iota
	FaultRefuse           // responds with status 503 and Not-Executed, and does not run the request
	FaultError            // runs the request and responds with status 500; plain services only
	FaultTruncate         // runs the request and closes the connection halfway through the response or its third event
	FaultNoResponse       // runs the request and closes the connection without a response
	FaultSilent           // runs the request and sends no response until the client cancels it
	FaultDuplicate        // sends the response twice on the connection; plain services only
	FaultPause            // sends nothing for FaultPauseDuration after the third event; model replicas only
	FaultAskPause         // as FaultRefuse, with a Retry-After of AskedPause
)

// AskedPause is the Retry-After of a replica with FaultAskPause.
const AskedPause = 1500 * time.Millisecond

// FaultPauseDuration is the pause in the stream with FaultPause.
const FaultPauseDuration = 2500 * time.Millisecond
