package tunnel

// Kind classifies a tunnel that could not be opened.
type Kind string

// The kinds of errors of this package.
const (
	KindHost   Kind = "host"   // the other host can't be reached, or carries no tunnels
	KindServer Kind = "server" // the other host can't connect to the backend server
	KindBroken Kind = "broken" // the tunnel ended before the connection of the backend server did
)

// Error is a tunnel that could not be opened or has failed. With KindHost and KindServer nothing was sent to the server.
type Error struct {
	Op   string // operation that failed
	Kind Kind
	Err  error
}

// Error returns the operation and the cause, separated by a colon.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
