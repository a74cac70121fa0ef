package link

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindBroken  Kind = "broken"  // the connection failed or was closed
	KindInvalid Kind = "invalid" // a message can't be encoded or decoded, or a frame is too long
	KindSlow    Kind = "slow"    // the queue is full because the peer doesn't read fast enough
)

// Error describes why a link failed.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error
}

// Error returns the operation and its cause in one line.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
