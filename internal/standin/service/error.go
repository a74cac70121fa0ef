package service

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen Kind = "listen"
	KindServe  Kind = "serve"
)

// Error is a failure to run the service.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
