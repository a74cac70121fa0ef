package batch

// Error says that the engine refused an operation; nothing ran.
type Error struct {
	Op   string // operation that was refused
	Kind string // one of the refusal kinds of package engineapi
	Err  error  // cause; nil if there is none
}

// Error returns the operation, the kind and, if there is one, the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + e.Kind
	}
	return e.Op + ": " + e.Kind + ": " + e.Err.Error()
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.Err }
