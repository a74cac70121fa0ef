package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
)

// Body is the canonical JSON of one section.
type Body struct {
	Section Section
	Text    []byte
}

// Sections lists the names of all sections in the order of the document.
func Sections() []Section {
	return []Section{
		SectionModels, SectionWorkspaces, SectionNonIdempotent,
		SectionServices, SectionEngines, SectionScheduling,
	}
}

// Body returns the canonical JSON of one section, or an *Error.
func (d *Document) Body(section Section) ([]byte, error) {
	field := d.field(section)
	if field == nil {
		return nil, unknownSection("encode section", section)
	}
	text, err := json.Marshal(field)
	if err != nil {
		return nil, &Error{Op: "encode section", Kind: KindInvalid, Path: string(section), Err: errors.WithStack(err)}
	}
	if string(text) == "null" {
		return []byte("[]"), nil
	}
	return text, nil
}

// Assemble builds a document from accepted bodies, or returns an *Error.
//
// Unlike Parse it passes over unknown fields and sections, which come from hosts of a later version.
func Assemble(bodies []Body) (*Document, error) {
	d := new(Document)
	for _, body := range bodies {
		field := d.field(body.Section)
		if field == nil {
			continue
		}
		if err := json.Unmarshal(body.Text, field); err != nil {
			return nil, &Error{Op: "assemble document", Kind: KindField, Path: string(body.Section), Err: errors.WithStack(err)}
		}
	}
	return d, nil
}

// Digest returns the name under which a body is stored, its SHA-256 in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Indent returns a body with one value a line, or unchanged when it is not JSON.
func Indent(body []byte) []byte {
	var b bytes.Buffer
	if err := json.Indent(&b, body, "", "  "); err != nil {
		return body
	}
	b.WriteByte('\n')
	return b.Bytes()
}

func (d *Document) field(section Section) any {
	switch section {
	case SectionModels:
		return &d.Models
	case SectionWorkspaces:
		return &d.Workspaces
	case SectionNonIdempotent:
		return &d.NonIdempotent
	case SectionServices:
		return &d.Services
	case SectionEngines:
		return &d.Engines
	case SectionScheduling:
		return &d.Scheduling
	default:
		return nil
	}
}

func unknownSection(op string, section Section) *Error {
	return &Error{Op: op, Kind: KindSection, Err: errors.Errorf("no section is named %q", section)}
}
