package backend

// Kind classifies a failed exchange by whether the call may have run.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreachable Kind = "unreachable" // no connection could be made; the call was not sent
	KindBroken      Kind = "broken"      // the call was sent and may have run; the response is missing or incomplete
	KindSilent      Kind = "silent"      // as KindBroken, because nothing was received for too long
	KindWithdrawn   Kind = "withdrawn"   // Attempt.MaySend has forbidden it; the call was not sent
	KindMisdirected Kind = "misdirected" // another server than the one that was named responded; it has not run anything
	KindCanceled    Kind = "canceled"    // the context ended; the call may have run if it was sent
)

// Error is a failed exchange.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Sent bool // a part of the request may have reached the server
	Err  error

	Transmission Transmission // what was sent; zero if nothing was
}

// Error returns the operation and the cause, separated by a colon.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
