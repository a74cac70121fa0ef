package chat

import (
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Response bodies, in the shape of the OpenAI API with fields of this system added.
type (
	// Completion is the complete response to a request that is not streamed.
	Completion struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []Choice        `json:"choices"`
		Usage   Usage           `json:"usage"`
		Outcome outcome.Outcome `json:"outcome"`
	}

	// Choice is the only generated message of a Completion.
	Choice struct {
		Index        int             `json:"index"`
		Message      ResponseMessage `json:"message"`
		FinishReason string          `json:"finish_reason"`
	}

	// ResponseMessage is the assistant's message, or a piece of it in a streamed response. Role is empty in all pieces
	// but the first.
	ResponseMessage struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	// Usage holds the token counts of a request.
	Usage struct {
		PromptTokens     int64         `json:"prompt_tokens"`
		CompletionTokens int64         `json:"completion_tokens"`
		TotalTokens      int64         `json:"total_tokens"`
		Details          PromptDetails `json:"prompt_tokens_details"`
	}

	// PromptDetails holds the number of prompt tokens that were taken from a prefix cache.
	PromptDetails struct {
		CachedTokens int64 `json:"cached_tokens"`
	}

	// Chunk is one event of a streamed response. Usage and Outcome are set in the event with the finish reason; the
	// event after it, if the caller asked for one, holds Usage only.
	Chunk struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []ChunkChoice   `json:"choices"`
		Usage   *Usage          `json:"usage,omitempty"`
		Outcome outcome.Outcome `json:"outcome,omitempty"`
	}

	// ChunkChoice is the next piece of a streamed response. FinishReason is nil until the response is complete.
	ChunkChoice struct {
		Index        int             `json:"index"`
		Delta        ResponseMessage `json:"delta"`
		FinishReason *string         `json:"finish_reason"`
	}

	// ErrorResponse is the body of an error response.
	ErrorResponse struct {
		Error ErrorDetails `json:"error"`
	}

	// ErrorDetails describes an error. Param names the request field that is wrong, if any. RetryAfterMS is the time
	// in milliseconds after which the caller may retry, or 0 if a retry does not help.
	ErrorDetails struct {
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

// NewErrorResponse returns the error response for err to the request with the given id; param is the request field
// that is wrong, or empty.
func NewErrorResponse(err *outcome.Error, requestID, param string) ErrorResponse {
	errorType := "server_error"
	if err.Status() < 500 {
		errorType = "invalid_request_error"
	}
	return ErrorResponse{Error: ErrorDetails{
		Message:      err.Message,
		Type:         errorType,
		Param:        param,
		Code:         err.Kind,
		Kind:         err.Kind,
		Outcome:      err.Outcome,
		RequestID:    requestID,
		RetryAfterMS: err.RetryAfter.Round(time.Millisecond).Milliseconds(),
	}}
}
