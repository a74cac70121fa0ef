package retry

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/suspect"
)

// Kinds of failures of an attempt.
const (
	KindNoGrant        Kind = "no_grant"        // no scheduler granted the attempt; Failure.GrantRefusal says why
	KindConnectRefused Kind = "connect_refused" // no connection could be established
	KindRefused        Kind = "refused"         // the engine refused and ran nothing; Failure.EngineRefusal says why
	KindSilent         Kind = "silent"          // nothing arrived on the connection for too long
	KindBroken         Kind = "broken"          // the connection broke
	KindIncomplete     Kind = "incomplete"      // the frames do not form a complete response
	KindEngineError    Kind = "engine_error"    // the engine gave up the attempt
	KindCrashed        Kind = "crashed"         // the backend server's process ended
)

type (
	// Kind classifies a Failure.
	Kind string

	// Failure describes a failed attempt and the state of its request.
	Failure struct {
		Kind          Kind
		GrantRefusal  protocol.RefusalKind // refusal by the scheduler; with KindNoGrant
		EngineRefusal string               // refusal kind of engineapi; with KindRefused
		Server        string               // backend server of the attempt; empty if there was none
		Attempt       uint32               // number of the attempt within its request, from 1
		Resumes       int                  // number of resumes of the attempt since its last new output
		Sent          bool                 // a byte of the attempt may have been sent to the backend server
		MayHaveRun    bool                 // an earlier attempt of the request may have run
		OutputTokens  int64                // output tokens of the attempt; with Streaming they have reached the caller
		Idempotent    bool                 // the request may run more than once
		Streaming     bool                 // output is passed to the caller as it arrives
		NoResume      bool                 // the backend server keeps no responses, as plain services do
		ServerAlive   bool                 // the backend server accepts new connections and knows the attempt
		TimeLeft      time.Duration        // time until the request's deadline
		RetryAfter    time.Duration        // time after which the refusal allows a retry; 0 if it names none
		Verdict       suspect.Verdict      // verdict on whether the prompt content may crash backend servers
	}
)

// attemptMayHaveRun reports whether the failed attempt may have run.
func (f *Failure) attemptMayHaveRun() bool {
	switch f.Kind {
	case KindNoGrant, KindConnectRefused, KindRefused:
		return false
	default:
		return f.Sent
	}
}
