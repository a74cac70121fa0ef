package dispatch

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

type (
	// Job is a prompt to run.
	Job struct {
		RequestID       string
		Workspace       string
		Model           string
		Adapter         string
		Prompt          string
		PromptTokens    int64 // length of Prompt
		MaxOutputTokens int64 // maximum number of tokens to decode
		Class           protocol.Class
		Deadline        time.Time
		Streaming       bool // pass output to the caller as it arrives
	}

	// Result describes a complete response.
	Result struct {
		Server           string // backend server that decoded it
		OutputTokens     int64
		CachedTokens     int64 // prompt tokens found in the prefix cache
		FinishReason     string
		Attempts         uint32        // number of attempts, including the successful one
		TimeToFirstToken time.Duration // time from the start of Run to the first token
	}
)

// Sink receives the output of a response in order.
type Sink interface {
	// Deliver passes text to the caller. An error ends the request, because the caller has disconnected.
	Deliver(text string) error
}
