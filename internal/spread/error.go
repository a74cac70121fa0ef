package spread

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package. For KindRefused, the kind of the cause, if that is a
// *manifest.Error, tells why the change was refused.
const (
	KindInvalid     Kind = "invalid"     // a peer or the store returned invalid data
	KindMissing     Kind = "missing"     // a peer omitted a body that this host does not have
	KindDiverged    Kind = "diverged"    // two manifests have the same revision
	KindRefused     Kind = "refused"     // the change was not accepted; the cause is a *manifest.Error or *document.Error
	KindUnknown     Kind = "unknown"     // the change may have been accepted
	KindUnavailable Kind = "unavailable" // neither the platform's store nor a peer gave a usable response
)

// Error reports that configuration could not be accepted, fetched or activated.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause, if there is one, on one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
