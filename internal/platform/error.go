package platform

import "errors"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindNotFound    Kind = "not_found"
	KindConflict    Kind = "conflict"    // the revision is not the expected one; nothing was written
	KindLapsed      Kind = "lapsed"      // the lease has lapsed; nothing was written
	KindThrottled   Kind = "throttled"   // the rate is too high; nothing was written
	KindUnavailable Kind = "unavailable" // the platform does not answer; nothing was written
	KindUnknown     Kind = "unknown"     // a write may have taken effect
	KindInvalid     Kind = "invalid"
)

// Error is a failed call of the platform.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the *Error in err's chain, or an empty Kind if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
