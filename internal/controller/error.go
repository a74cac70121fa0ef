package controller

// Kind classifies an Error.
type Kind string

// Kinds of an Error.
const (
	KindHeldByOther Kind = "held"        // another host holds the lease
	KindUnavailable Kind = "unavailable" // the platform did not respond, or the key was not written for another cause
)

// Error is a failure to acquire the controller lease.
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
