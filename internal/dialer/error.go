package dialer

// Kind classifies a failed connection.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreachable Kind = "unreachable" // no connection could be made, neither directly nor through other hosts
)

// Error is a connection that could not be made.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error
}

// Error returns the operation and the cause, separated by a colon.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
