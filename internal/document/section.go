package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
)

// Body is one section as canonical JSON.
type Body struct {
	Section Section
	Text    []byte
}

// Sections returns the names of all sections in the order of the document.
func Sections() []Section {
	return []Section{
		SectionModels, SectionWorkspaces, SectionNonIdempotent,
		SectionServices, SectionEngines, SectionScheduling,
	}
}

// Body returns the canonical JSON of one section. It returns an *Error if there is no such section or if a value cannot
// be encoded. An absent list is encoded as [].
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

// Assemble builds a document from accepted section bodies. It returns an *Error if a body cannot be decoded.
//
// Unlike Parse, it ignores unknown fields and sections, which come from hosts of a later version.
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

// Digest returns the SHA-256 of a body in hexadecimal, which is the name under which the body is stored.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Indent returns body formatted with one value per line, or unchanged if it is not JSON.
func Indent(body []byte) []byte {
	var b bytes.Buffer
	if err := json.Indent(&b, body, "", "  "); err != nil {
		return body
	}
	b.WriteByte('\n')
	return b.Bytes()
}

// field returns a pointer to the field that holds the section, or nil if there is no such section.
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
