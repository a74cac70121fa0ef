package controller

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindHeld        Kind = "held"        // another host holds the lease
	KindUnavailable Kind = "unavailable" // the platform did not answer
)

// Error is a failure to hold the controller lease.
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
