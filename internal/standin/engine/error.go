package engine

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	KindListen Kind = "listen" // the stand-in cannot listen on its address
	KindServe  Kind = "serve"  // the HTTP server failed
)

// Error is a failure to run the stand-in.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error // cause, never nil
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
