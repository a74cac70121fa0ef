package manifest

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindInvalid     Kind = "invalid"      // the manifest, a body or the whole document is faulty
	KindConflict    Kind = "conflict"     // another change to the section came first
	KindMissing     Kind = "missing_body" // a body that the manifest names is not at hand
	KindDiverged    Kind = "diverged"     // another manifest has the same revision
	KindStale       Kind = "stale"        // the store answers with less than what is in force
	KindUnknown     Kind = "unknown"      // the change may have been accepted
	KindUnavailable Kind = "unavailable"  // the store did not answer and nothing was accepted
)

// Error is the refusal of a change or of a manifest; Diff is set when another change came first.
type Error struct {
	Op   string
	Kind Kind
	Err  error
	Diff string
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
