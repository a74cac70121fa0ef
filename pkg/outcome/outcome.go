package outcome

import (
	"net/http"
	"time"
)

// Header is the response header or trailer that carries the outcome.
const Header = "Turmericshunt-Outcome"

// Outcome says what happened to a request, as far as the host that responds knows.
type Outcome string

// The outcomes that are reported to callers.
const (
	// Completed means that the complete response was delivered, or that the request had been completed by an earlier
	// attempt whose response was too large to be recorded.
	Completed Outcome = "completed"
	// NotRun means that no backend server has run the request and none will.
	NotRun Outcome = "not_run"
	// Failed means that the request has run or may have run without a complete response. It is safe to repeat it.
	Failed Outcome = "failed"
	// Unknown means that a request that must not be repeated has run or may have run.
	Unknown Outcome = "unknown"
)

// Error is the refusal or failure of a request as it is reported to the caller.
type Error struct {
	Op         string        // operation that failed, such as "read body"
	Kind       Kind          // kind of the error
	Outcome    Outcome       // what happened to the request
	Message    string        // cause, for people
	RetryAfter time.Duration // how long the caller should wait before it retries; 0 if no time is given
}

// Kind classifies an Error. Its text is part of the interface to callers.
type Kind string

// The kinds of errors that are reported to callers.
const (
	KindBadRequest         Kind = "bad_request"            // the request is not valid
	KindUnauthorized       Kind = "unauthorized"           // the workspace or its key is missing or unknown
	KindNotFound           Kind = "not_found"              // unknown path, model, adapter or service
	KindMethodNotAllowed   Kind = "method_not_allowed"     // the path does not support the HTTP method
	KindBodyTooLarge       Kind = "too_large"              // the body is over its limit in bytes
	KindPromptTooLong      Kind = "prompt_too_long"        // the prompt is over its token limit or needs too much memory
	KindWorkspaceLimit     Kind = "workspace_limit"        // the workspace is at its limit
	KindOverloaded         Kind = "overloaded"             // no capacity is free in time
	KindDeadline           Kind = "deadline_exceeded"      // the deadline has passed or would pass before a retry
	KindUnavailable        Kind = "unavailable"            // no backend server or no configuration is available
	KindCrashesServer      Kind = "crashes_backend_server" // the request has crashed backend servers and is not run again
	KindResponseIncomplete Kind = "answer_incomplete"      // the response is lost or incomplete
	KindKeyReused          Kind = "idempotency_key_reused" // the idempotency key was used for another request
	KindInProgress         Kind = "in_progress"            // an earlier attempt with the idempotency key is still running
	KindStoreUnavailable   Kind = "store_unavailable"      // the store of idempotency keys does not respond
	KindOutcomeUnknown     Kind = "outcome_unknown"        // the request may have run and must not be repeated
	KindStopping           Kind = "host_stopping"          // the host is stopping
	KindInternal           Kind = "internal_error"         // internal error of the host
)

// Error returns the operation, kind and message in one line.
func (e *Error) Error() string {
	return e.Op + ": " + string(e.Kind) + ": " + e.Message
}

// Status returns the HTTP status code of the response that reports e to the caller.
func (e *Error) Status() int {
	switch e.Kind {
	case KindBadRequest:
		return http.StatusBadRequest
	case KindUnauthorized:
		return http.StatusUnauthorized
	case KindNotFound:
		return http.StatusNotFound
	case KindMethodNotAllowed:
		return http.StatusMethodNotAllowed
	case KindBodyTooLarge, KindPromptTooLong:
		return http.StatusRequestEntityTooLarge
	case KindKeyReused, KindCrashesServer:
		return http.StatusUnprocessableEntity
	case KindInProgress:
		return http.StatusConflict
	case KindWorkspaceLimit:
		return http.StatusTooManyRequests
	case KindDeadline:
		return http.StatusGatewayTimeout
	case KindResponseIncomplete, KindOutcomeUnknown:
		return http.StatusBadGateway
	case KindInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// Retryable reports whether the caller may send the request again later.
func (e *Error) Retryable() bool {
	switch e.Kind {
	case KindBadRequest, KindUnauthorized, KindNotFound, KindMethodNotAllowed, KindBodyTooLarge, KindPromptTooLong,
		KindKeyReused, KindCrashesServer, KindOutcomeUnknown:
		return false
	default:
		return true
	}
}
