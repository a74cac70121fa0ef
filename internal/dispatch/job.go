package dispatch

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

type (
	// Job is an admitted prompt.
	Job struct {
		RequestID    string
		Workspace    string
		Model        string
		Adapter      string
		Prompt       string
		PromptTokens int64
		OutputTokens int64
		Class        protocol.Class
		Deadline     time.Time
		Streaming    bool
	}

	// Answer describes a whole answer.
	Answer struct {
		Server       string
		OutputTokens int64
		CachedTokens int64
		FinishReason string
		Attempts     uint32
		FirstToken   time.Duration // from the start of Run
	}
)

// Sink takes the pieces of an answer in order; its error ends the request, because the caller is gone.
type Sink interface {
	Deliver(text string) error
}
