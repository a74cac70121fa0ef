package gateway

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen Kind = "listen" // an address can't be listened on
	KindServe  Kind = "serve"  // a server ended
)

// Error is a failed gateway.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause in one line.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
