package platform

import "errors"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindNotFound       Kind = "not_found"   // the requested key does not exist
	KindConflict       Kind = "conflict"    // the key does not have the expected revision; nothing was written
	KindLeaseExpired   Kind = "lapsed"      // the lease has expired; nothing was written
	KindThrottled      Kind = "throttled"   // the platform or this client limited the rate of calls; nothing was written
	KindUnavailable    Kind = "unavailable" // no response, or the circuit breaker is open; nothing was written
	KindOutcomeUnknown Kind = "unknown"     // no usable response to a write, which may have taken effect
	KindInvalid        Kind = "invalid"     // the request is invalid, or the platform rejected it for another reason
)

// Error describes a failed call to the platform.
type Error struct {
	Op   string // name of the operation, such as "swap"
	Kind Kind
	Err  error // cause; may be nil
}

// Error returns the operation, the kind and the cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first *Error in err's chain, or an empty Kind if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
