package call

import (
	"net/http"
	"time"
)

// RetryMode says whether and how a call may be retried once a backend server may have begun to run it.
type RetryMode int

// The ways of retrying a call.
const (
	// RetryNever allows at most one run.
	RetryNever RetryMode = iota
	// RetryFromStart allows the call to be run again from the start.
	RetryFromStart
	// RetryResume allows a stream to be resumed at another backend server after the last forwarded event.
	RetryResume
)

// Call is one request of a caller. Its fields don't change once it is admitted.
type Call struct {
	ID     string
	Method string
	Host   string
	Target string // path and query as sent by the caller
	Header http.Header
	Body   []byte

	APIKey        string   // credential of the caller; empty if it sent none
	PromptTokens  int      // prompt length in tokens; 0 for calls without a prompt
	OutputTokens  int      // limit of output tokens that the caller set
	PromptParts   []uint64 // hashes of the prompt parts that other requests may share, in order
	OutputHint    int      // caller's estimate of the number of output tokens; 0 if unknown
	LastEvent     int64    // id of the last event that the caller has; valid if ResumesStream
	ChecksVersion bool     // servers with other weights than the caller wants reject the call as one that is meant for another server
	ResumesStream bool     // the caller resumes a stream after LastEvent

	Received      time.Time     // time of receipt, on the boot-time clock
	CallerTimeout time.Duration // the caller's timeout, counted from Received

	// Set on admission from the active configuration.
	Workspace     string
	Route         string
	Service       string
	RetryMode     RetryMode
	Stream        bool          // the response is a stream of events
	MaxAttempts   int           // number of replicas that may run the call, one after another or, while one is silent, beside it
	RouteTimeout  time.Duration // time limit for the end of the response, counted from Received
	FirstTarget   time.Duration // target for the response or the first event of a stream, counted from Received
	PauseTarget   time.Duration // target for pauses between events: a longer one misses it
	Priority      int           // priority; 0 is the highest
	ConfigVersion int64         // version of the configuration under which it was admitted
	// AllowedRegions are the regions outside of which it reaches no replica, and its body no host but the one that received it;
	// none for no restriction.
	AllowedRegions []string
}

// Deadline returns the time at which the caller's timeout or the route's limit ends, whichever is first.
func (c *Call) Deadline() time.Time {
	return c.Received.Add(min(c.CallerTimeout, c.RouteTimeout))
}

// Path returns the target without its query.
func (c *Call) Path() string {
	for i := 0; i < len(c.Target); i++ {
		if c.Target[i] == '?' {
			return c.Target[:i]
		}
	}
	return c.Target
}
