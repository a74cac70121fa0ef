package service

// Kind classifies an Error.
type Kind string

// Kinds of errors of Service.Run.
const (
	KindListen Kind = "listen" // the address can't be listened on
	KindServe  Kind = "serve"  // the HTTP server failed
)

// Error is an error of Service.Run.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause, separated by colons.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
