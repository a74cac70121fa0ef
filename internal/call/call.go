package call

import (
	"net/http"
	"time"
)

// Repeat says what may be done again after a backend server may have begun to run a call.
type Repeat int

// The ways of repeating a call.
const (
	// RepeatNever allows one run at most.
	RepeatNever Repeat = iota
	// RepeatWhole allows the call to run again from its start.
	RepeatWhole
	// RepeatResume allows a stream to go on at another backend server after its last forwarded event.
	RepeatResume
)

// Call is one request of a caller; its fields don't change once it is admitted.
type Call struct {
	ID     string
	Method string
	Host   string
	Target string // path and query as the caller sent them
	Header http.Header
	Body   []byte

	Key          string // credential of the caller; empty if there was none
	PromptTokens int    // 0 for calls that don't read a prompt
	OutputTokens int    // the most that the caller wants
	OutputHint   int    // the caller's estimate of the output tokens, 0 if unknown
	LastEvent    int64  // the id of the last event that the caller has, valid if Resumes
	Resumes      bool

	Received time.Time     // by package steady
	Patience time.Duration // how long the caller waits, from Received

	// Set on admission from the configuration in force.
	Workspace  string
	Route      string
	Service    string
	Repeat     Repeat
	Stream     bool
	Attempts   int           // replicas that may run it
	Limit      time.Duration // the longest time to the end of the answer, from Received
	FirstAim   time.Duration // when the answer, or the first event of a stream, should be there, from Received
	GapAim     time.Duration // the longest pause between events that is on time
	Rank       int           // 0 is the most urgent
	ConfigSeen int64         // version of the configuration that admitted it
}

// Deadline returns when the caller or the route gives up, whichever is first.
func (c *Call) Deadline() time.Time {
	return c.Received.Add(min(c.Patience, c.Limit))
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
