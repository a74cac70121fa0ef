package document

import (
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/jsonc"
)

// Parse decodes a complete document from JSON with comments. It returns an *Error if the text or a field is not valid,
// but does not check the values; see Validate.
func Parse(text []byte) (*Document, error) {
	d := new(Document)
	if err := decode("parse document", text, "", d); err != nil {
		return nil, err
	}
	return d, nil
}

// ParseSection decodes one section from JSON with comments and returns its canonical JSON. It returns an *Error if
// there is no such section, or if the text or a field is not valid.
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

// decode decodes text into target, a pointer. The path of the text in the document is used in errors.
func decode(op string, text []byte, path string, target any) error {
	parsed, err := jsonc.Parse(text)
	if err == nil {
		err = parsed.DecodeAt(path, target)
	}
	var jsonErr *jsonc.Error
	if !errors.As(err, &jsonErr) {
		return err
	}
	kind := KindField
	if jsonErr.Kind == jsonc.KindSyntax {
		kind = KindSyntax
	}
	return &Error{Op: op, Kind: kind, Line: jsonErr.Line, Column: jsonErr.Column, Path: jsonErr.Path, Err: jsonErr.Err}
}
