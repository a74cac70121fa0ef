package spread

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package; those of refused changes are the kinds of package manifest.
const (
	KindInvalid     Kind = "invalid"     // what a peer or the store gave is faulty
	KindMissing     Kind = "missing"     // a peer left out a body that is not at hand
	KindDiverged    Kind = "diverged"    // two manifests have the same revision
	KindRefused     Kind = "refused"     // the change was not accepted; the cause is a *manifest.Error or *document.Error
	KindUnknown     Kind = "unknown"     // the change may have been accepted
	KindUnavailable Kind = "unavailable" // neither the platform nor a peer answered
)

// Error is a failure to accept, fetch or apply configuration.
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
