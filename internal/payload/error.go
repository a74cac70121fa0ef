package payload

// Kind classifies a payload that wasn't read.
type Kind string

// Kinds of payloads that weren't read.
const (
	KindTooLong  Kind = "too_long"  // longer than the limit for one payload
	KindNoMemory Kind = "no_memory" // the payloads that the host holds take all memory for them
	KindRead     Kind = "read"      // the payload has ended early or can't be read
)

// Error says why a payload wasn't read.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, and the cause or else the kind.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.Err }
