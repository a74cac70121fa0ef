package chat

import (
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Bodies of answers, in the shape of the OpenAI interface.
type (
	// Completion is a whole answer that is not streamed.
	Completion struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []Choice        `json:"choices"`
		Usage   Usage           `json:"usage"`
		Outcome outcome.Outcome `json:"outcome"`
	}

	// Choice is the one answer of a Completion.
	Choice struct {
		Index        int    `json:"index"`
		Message      Text   `json:"message"`
		FinishReason string `json:"finish_reason"`
	}

	// Text is the assistant's message or a piece of it.
	Text struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	// Usage counts tokens.
	Usage struct {
		PromptTokens     int64         `json:"prompt_tokens"`
		CompletionTokens int64         `json:"completion_tokens"`
		TotalTokens      int64         `json:"total_tokens"`
		Details          PromptDetails `json:"prompt_tokens_details"`
	}

	// PromptDetails tells how many prompt tokens came from a prefix cache.
	PromptDetails struct {
		CachedTokens int64 `json:"cached_tokens"`
	}

	// Chunk is one event of a streamed answer; the last one carries Usage and Outcome.
	Chunk struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []Delta         `json:"choices"`
		Usage   *Usage          `json:"usage,omitempty"`
		Outcome outcome.Outcome `json:"outcome,omitempty"`
	}

	// Delta is the next piece of a streamed answer.
	Delta struct {
		Index        int     `json:"index"`
		Delta        Text    `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	}

	// Failure is the body of an error.
	Failure struct {
		Error FailureDetails `json:"error"`
	}

	// FailureDetails describes an error; RetryAfterMS is 0 when asking again does not help.
	FailureDetails struct {
		Message      string          `json:"message"`
		Type         string          `json:"type"`
		Param        string          `json:"param,omitempty"`
		Code         outcome.Kind    `json:"code"`
		Kind         outcome.Kind    `json:"kind"`
		Outcome      outcome.Outcome `json:"outcome"`
		RequestID    string          `json:"request_id"`
		RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	}
)

// NewFailure describes err to the caller of the request with the given id.
func NewFailure(err *outcome.Error, requestID, param string) Failure {
	kind := "server_error"
	if err.Status() < 500 {
		kind = "invalid_request_error"
	}
	return Failure{Error: FailureDetails{
		Message:      err.Message,
		Type:         kind,
		Param:        param,
		Code:         err.Kind,
		Kind:         err.Kind,
		Outcome:      err.Outcome,
		RequestID:    requestID,
		RetryAfterMS: err.RetryAfter.Round(time.Millisecond).Milliseconds(),
	}}
}
