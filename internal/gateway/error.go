package gateway

// Kind classifies an Error.
type Kind string

// Kinds of Error.
const (
	KindListen Kind = "listen" // the host can't listen on an address of its settings
	KindServe  Kind = "serve"  // a server or background loop of the host ended with an error
)

// Error is the error type that Run returns.
type Error struct {
	Op   string // the operation that failed
	Kind Kind
	Err  error // the cause
}

// Error returns the operation and the cause in one line.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
