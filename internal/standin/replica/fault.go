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

	FaultSilentStart         // sends nothing for the time Silence before the response
	FaultSilentMiddle        // sends nothing for the time Silence halfway through the response or its third event
	FaultNoLength            // sends the complete response with neither a length nor chunks; the connection ends it
	FaultEndInEvent          // ends the response properly halfway through its third event; model replicas only
	FaultEndInEventNoLength  // as FaultEndInEvent, with neither a length nor chunks; model replicas only
	FaultEndlessLine         // sends bytes without any line break in place of a response
	FaultEndlessHead         // sends the head of a response without end
	FaultEndlessIntermediate // sends intermediate responses (1xx) without end
	FaultEndlessBody         // sends the head of a valid response and a body without end; it is no stream of events
	FaultKeepAlive           // sends only KeepAlive, at intervals, after the third event; model replicas only
)

// KeepAlive is what a replica with FaultKeepAlive sends: a comment, which is no event.
const KeepAlive = ": keep-alive\n\n"

// keepAliveInterval is the pause between two of them.
const keepAliveInterval = 200 * time.Millisecond

// AskedPause is the Retry-After of a replica with FaultAskPause.
const AskedPause = 1500 * time.Millisecond

// FaultPauseDuration is the pause in the stream with FaultPause.
const FaultPauseDuration = 2500 * time.Millisecond

// DefaultSilence is the duration of FaultSilentStart and FaultSilentMiddle if Replica.Silence is 0.
const DefaultSilence = 1200 * time.Millisecond

func (p *Replica) silence() time.Duration {
	if p.Silence == 0 {
		return DefaultSilence
	}
	return p.Silence
}

// withoutLength reports whether the fault is a response with neither a length nor chunks.
func (f Fault) withoutLength() bool { return f == FaultNoLength || f == FaultEndInEventNoLength }

// endsInEvent reports whether the fault ends a stream properly in the middle of an event.
func (f Fault) endsInEvent() bool { return f == FaultEndInEvent || f == FaultEndInEventNoLength }
