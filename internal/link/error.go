package link

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindBroken  Kind = "broken"  // the connection ended
	KindInvalid Kind = "invalid" // a frame can't be read
	KindSlow    Kind = "slow"    // the peer doesn't take its messages
)

// Error is a failed link.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause in one line.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
