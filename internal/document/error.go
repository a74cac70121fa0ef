package document

import (
	"fmt"
	"strings"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindSyntax  Kind = "syntax"  // the text is not valid JSON with comments
	KindField   Kind = "field"   // a field is unknown, repeated or of the wrong type
	KindInvalid Kind = "invalid" // a value is out of range or contradicts another
	KindSection Kind = "section" // there is no such section
)

// Error is an error in a document. Line and Column count from 1; they are 0 if the position in the text is not known.
type Error struct {
	Op     string
	Kind   Kind
	Line   int
	Column int
	Path   string // path of the field, such as "models[0].name"
	Err    error
}

// Error returns the operation, kind, position, field and cause in one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Op + ": " + string(e.Kind))
	if e.Line > 0 {
		fmt.Fprintf(&b, ": line %d, column %d", e.Line, e.Column)
	}
	if e.Path != "" {
		b.WriteString(": " + e.Path)
	}
	if e.Err != nil {
		b.WriteString(": " + e.Err.Error())
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
