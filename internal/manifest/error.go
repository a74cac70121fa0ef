package manifest

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindInvalid     Kind = "invalid"      // the manifest, a body or the assembled document is invalid
	KindConflict    Kind = "conflict"     // another change to the section was accepted first
	KindMissing     Kind = "missing_body" // a body that the manifest names was not given and is not active
	KindDiverged    Kind = "diverged"     // a different manifest has the same revision
	KindStale       Kind = "stale"        // the store returns a revision older than the active one
	KindUnknown     Kind = "unknown"      // the change may have been accepted
	KindUnavailable Kind = "unavailable"  // the store did not answer and the change was not accepted
)

// Error is the refusal of a change or of a manifest. For KindConflict, Diff shows how the refused body differs from the
// section's accepted one.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	Diff string
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
