package retry

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
)

// Kinds of failures of an attempt.
const (
	KindNoGrant        Kind = "no_grant"        // no scheduler let the attempt run; Grant says why
	KindConnectRefused Kind = "connect_refused" // no connection came about
	KindRefused        Kind = "refused"         // the backend server said that it ran nothing; Engine says why
	KindSilent         Kind = "silent"          // the connection carried nothing for too long
	KindBroken         Kind = "broken"          // the connection broke off
	KindIncomplete     Kind = "incomplete"      // the frames do not make a whole answer
	KindEngineError    Kind = "engine_error"    // the backend server gave the attempt up
	KindCrashed        Kind = "crashed"         // the backend server's process died
)

type (
	// Kind classifies a Failure.
	Kind string

	// Failure is what is known of a failed attempt.
	Failure struct {
		Kind        Kind
		Grant       protocol.RefusalKind // with KindNoGrant
		Engine      string               // engineapi refusal kind, with KindRefused
		Server      string
		Attempt     uint32 // of this request, counted from 1
		Resumes     int    // since the last new output of this attempt
		Sent        bool   // a byte of the attempt may have left
		MayHaveRun  bool   // an earlier attempt may have run
		Delivered   int64  // output tokens handed to the caller
		Idempotent  bool
		Streaming   bool          // output goes to the caller as it comes
		NoResume    bool          // the backend server keeps no answers, as plain services do
		ServerAlive bool          // the backend server answers new connections and knows the attempt
		TimeLeft    time.Duration // until the request's deadline
		RetryAfter  time.Duration // from the refusal
		Verdict     suspect.Verdict
	}
)

// ran reports whether the failed attempt may have run.
func (f *Failure) ran() bool {
	switch f.Kind {
	case KindNoGrant, KindConnectRefused, KindRefused:
		return false
	default:
		return f.Sent
	}
}
