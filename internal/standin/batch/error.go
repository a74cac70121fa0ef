package batch

// Error is a refusal; its Kind is a refusal kind of engineapi, and nothing ran.
type Error struct {
	Op   string
	Kind string
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + e.Kind
	}
	return e.Op + ": " + e.Kind + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
