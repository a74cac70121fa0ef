package service

import "errors"

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindNotSent  Kind = "not_sent"  // nothing was sent to any server
	KindRefused  Kind = "refused"   // the server said that it refused the call before running it
	KindBroken   Kind = "broken"    // a server may have run the call and its answer is lost
	KindTooLarge Kind = "too_large" // a server ran the call and its answer is too large
)

// Error is a call without an answer.
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

// MayHaveRun reports whether a server may have run the call that ended with err.
func MayHaveRun(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return err != nil
	}
	return e.Kind == KindBroken || e.Kind == KindTooLarge
}
