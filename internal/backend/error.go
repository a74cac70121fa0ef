package backend

// Kind says what a failed exchange means for the call.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreachable Kind = "unreachable" // no connection: the call was not sent
	KindBroken      Kind = "broken"      // the call was sent and may have run; the answer is missing or not whole
	KindSilent      Kind = "silent"      // as KindBroken; nothing came for too long
	KindCanceled    Kind = "canceled"    // the context ended; the call may have run if it was sent
)

// Error is a failed exchange.
type Error struct {
	Op   string
	Kind Kind
	Sent bool // a part of the call may have reached the server
	Err  error
}

// Error returns the operation and the cause in one line.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
