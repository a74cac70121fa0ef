package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Key is the key of the manifest in the platform's store.
const Key = "config/manifest"

// RecentChanges bounds how many change ids a manifest keeps for settling lost answers.
const RecentChanges = 32

type (
	// Manifest names the accepted body of each section; a higher revision supersedes a lower one.
	//
	// Parse and With make manifests, which must not be changed then.
	Manifest struct {
		Revision uint64           `json:"revision"`
		Sections []SectionVersion `json:"sections"`
		Change   Change           `json:"change"`
		Recent   []Recent         `json:"recent"` // latest last

		text    []byte // as it was parsed, so that fields of a later version are passed on
		version protocol.ManifestVersion
	}

	// SectionVersion names the body of one section and the manifest revision that brought it.
	SectionVersion struct {
		Section  document.Section `json:"section"`
		Revision uint64           `json:"revision"`
		Digest   string           `json:"digest"`
	}

	// Change tells who made a manifest out of the one before, when and why.
	Change struct {
		ID      string           `json:"id"`
		Author  string           `json:"author"`
		Reason  string           `json:"reason"`
		Time    time.Time        `json:"time"`
		Section document.Section `json:"section"`
		Before  string           `json:"before,omitempty"` // digest; empty when the section is new
		After   string           `json:"after"`
	}

	// Recent is a change that was accepted lately.
	Recent struct {
		ID       string `json:"id"`
		Revision uint64 `json:"revision"`
	}

	// Record is the audit record of one acceptance.
	Record struct {
		Revision uint64 `json:"revision"`
		Change   Change `json:"change"`
	}
)

// BodyKey returns the key of a section's body in the platform's store.
func BodyKey(section document.Section, digest string) string {
	return "config/body/" + string(section) + "/" + digest
}

// AuditKey returns the key of the audit record of a revision in the platform's store.
func AuditKey(revision uint64) string {
	return fmt.Sprintf("config/audit/%020d", revision)
}

// Parse reads an encoded manifest, or returns an *Error.
func Parse(text []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return Manifest{}, &Error{Op: "parse manifest", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	seen := make(map[document.Section]bool, len(m.Sections))
	for _, s := range m.Sections {
		twice := seen[s.Section]
		seen[s.Section] = true
		if twice || s.Section == "" || s.Digest == "" || s.Revision > m.Revision {
			return Manifest{}, &Error{Op: "parse manifest", Kind: KindInvalid, Err: errors.Errorf("section %q is faulty", s.Section)}
		}
	}
	m.seal(bytes.Clone(text))
	return m, nil
}

// Encode returns the manifest as JSON, as it was parsed if it was.
func (m Manifest) Encode() []byte {
	if m.text == nil {
		return encode(m)
	}
	return m.text
}

// Version returns the revision and digest that hosts compare; it is zero for the empty manifest.
func (m Manifest) Version() protocol.ManifestVersion { return m.version }

func (m *Manifest) seal(text []byte) {
	m.text = text
	if m.Revision > 0 {
		m.version = protocol.ManifestVersion{Revision: m.Revision, Digest: document.Digest(text)}
	}
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // no field of a manifest or a record can fail to encode
	}
	return text
}

// Section returns the version of a section; it is zero when the section is absent.
func (m Manifest) Section(section document.Section) SectionVersion {
	for _, s := range m.Sections {
		if s.Section == section {
			return s
		}
	}
	return SectionVersion{Section: section}
}

// Accepted returns the revision at which a recent change was accepted, or 0.
func (m Manifest) Accepted(id string) uint64 {
	for _, r := range m.Recent {
		if r.ID == id {
			return r.Revision
		}
	}
	return 0
}

// Record returns the audit record of the manifest's own change.
func (m Manifest) Record() Record {
	return Record{Revision: m.Revision, Change: m.Change}
}

// Encode returns the record as JSON.
func (r Record) Encode() []byte { return encode(r) }

// ParseRecord reads an encoded audit record, or returns an *Error.
func ParseRecord(text []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, &Error{Op: "parse audit record", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return r, nil
}

// With returns the manifest that a change makes of m.
func (m Manifest) With(change Change) Manifest {
	next := Manifest{Revision: m.Revision + 1, Change: change, Sections: slices.Clone(m.Sections)}
	version := SectionVersion{Section: change.Section, Revision: next.Revision, Digest: change.After}
	at := slices.IndexFunc(next.Sections, func(s SectionVersion) bool { return s.Section == change.Section })
	if at < 0 {
		next.Sections = append(next.Sections, version)
	} else {
		next.Sections[at] = version
	}
	next.Recent = append(slices.Clone(m.Recent), Recent{ID: change.ID, Revision: next.Revision})
	if extra := len(next.Recent) - RecentChanges; extra > 0 {
		next.Recent = next.Recent[extra:]
	}
	next.seal(encode(next))
	return next
}
