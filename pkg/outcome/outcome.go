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
	KindBadRequest     Kind = "bad_request"
	KindUnauthorized   Kind = "unauthorized"
	KindNotFound       Kind = "not_found"
	KindMethod         Kind = "method_not_allowed"
	KindTooLarge       Kind = "too_large"
	KindTooLong        Kind = "prompt_too_long"
	KindQuota          Kind = "workspace_limit"
	KindOverloaded     Kind = "overloaded"
	KindDeadline       Kind = "deadline_exceeded"
	KindUnavailable    Kind = "unavailable"
	KindCrashing       Kind = "crashes_backend_server"
	KindBroken         Kind = "answer_incomplete"
	KindKeyReused      Kind = "idempotency_key_reused"
	KindInProgress     Kind = "in_progress"
	KindStoreDown      Kind = "store_unavailable"
	KindOutcomeUnknown Kind = "outcome_unknown"
	KindStopping       Kind = "host_stopping"
	KindInternal       Kind = "internal_error"
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
	case KindMethod:
		return http.StatusMethodNotAllowed
	case KindTooLarge, KindTooLong:
		return http.StatusRequestEntityTooLarge
	case KindKeyReused, KindCrashing:
		return http.StatusUnprocessableEntity
	case KindInProgress:
		return http.StatusConflict
	case KindQuota:
		return http.StatusTooManyRequests
	case KindDeadline:
		return http.StatusGatewayTimeout
	case KindBroken, KindOutcomeUnknown:
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
	case KindBadRequest, KindUnauthorized, KindNotFound, KindMethod, KindTooLarge, KindTooLong,
		KindKeyReused, KindCrashing, KindOutcomeUnknown:
		return false
	default:
		return true
	}
}
