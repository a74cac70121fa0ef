package document

import (
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/jsonc"
)

// Parse reads a whole document written as JSON with comments, or returns an *Error.
func Parse(text []byte) (*Document, error) {
	d := new(Document)
	if err := decode("parse document", text, "", d); err != nil {
		return nil, err
	}
	return d, nil
}

// ParseSection reads one section written as JSON with comments and returns its canonical JSON, or an *Error.
func ParseSection(section Section, text []byte) ([]byte, error) {
	d := new(Document)
	target := d.field(section)
	if target == nil {
		return nil, unknownSection("parse section", section)
	}
	if err := decode("parse section", text, string(section), target); err != nil {
		return nil, err
	}
	return d.Body(section)
}

// Fills target, a pointer, from text; path names the text's place in the document.
func decode(op string, text []byte, path string, target any) error {
	parsed, err := jsonc.Parse(text)
	if err == nil {
		err = parsed.DecodeAt(path, target)
	}
	var mistake *jsonc.Error
	if !errors.As(err, &mistake) {
		return err
	}
	kind := KindField
	if mistake.Kind == jsonc.KindSyntax {
		kind = KindSyntax
	}
	return &Error{Op: op, Kind: kind, Line: mistake.Line, Column: mistake.Column, Path: mistake.Path, Err: mistake.Err}
}
