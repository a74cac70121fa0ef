package service

import "errors"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindNotSent          Kind = "not_sent"  // nothing was sent to any server
	KindRefused          Kind = "refused"   // the server stated that it refused the call before running it
	KindBroken           Kind = "broken"    // a server may have run the call, but its response was lost
	KindResponseTooLarge Kind = "too_large" // a server ran the call, but its response exceeds the size limit
)

// Error describes a failed call.
type Error struct {
	Op   string // name of the operation
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

// MayHaveRun reports whether a server may have run the call that failed with err. It returns true for an error other
// than an *Error, and false if err is nil.
func MayHaveRun(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return err != nil
	}
	return e.Kind == KindBroken || e.Kind == KindResponseTooLarge
}
