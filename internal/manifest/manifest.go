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

// Key is the manifest's key in the platform's store.
const Key = "config/manifest"

// MaxRecentChanges is the number of change IDs that a manifest keeps, by which the outcome of a swap without a
// response is determined.
const MaxRecentChanges = 32

type (
	// Manifest names the accepted body of each section. A manifest with a higher revision supersedes one with a lower.
	//
	// Manifests are made by Parse and With and must not be modified afterwards.
	Manifest struct {
		Revision uint64           `json:"revision"`
		Sections []SectionVersion `json:"sections"`
		Change   Change           `json:"change"`
		Recent   []RecentChange   `json:"recent"` // last accepted changes, oldest first; at most MaxRecentChanges

		encoded []byte // JSON as it was parsed, so that fields added by later releases are preserved
		version protocol.ManifestVersion
	}

	// SectionVersion identifies the body of one section by its digest and the manifest revision that introduced it.
	SectionVersion struct {
		Section  document.Section `json:"section"`
		Revision uint64           `json:"revision"`
		Digest   string           `json:"digest"`
	}

	// Change records who changed which section, when and why, to make a manifest from its predecessor.
	Change struct {
		ID      string           `json:"id"`
		Author  string           `json:"author"`
		Reason  string           `json:"reason"`
		Time    time.Time        `json:"time"`
		Section document.Section `json:"section"`
		Before  string           `json:"before,omitempty"` // digest of the old body; empty if the section is new
		After   string           `json:"after"`            // digest of the new body
	}

	// RecentChange is a change among the last accepted ones, with the manifest revision that introduced it.
	RecentChange struct {
		ID       string `json:"id"`
		Revision uint64 `json:"revision"`
	}

	// Record is the audit record of one accepted change.
	Record struct {
		Revision uint64 `json:"revision"`
		Change   Change `json:"change"`
	}
)

// BodyKey returns the key of a section's body in the platform's store, which contains the body's digest.
func BodyKey(section document.Section, digest string) string {
	return "config/body/" + string(section) + "/" + digest
}

// AuditKey returns the key of a revision's audit record in the platform's store. The keys sort by revision.
func AuditKey(revision uint64) string {
	return fmt.Sprintf("config/audit/%020d", revision)
}

// Parse decodes a manifest. It returns an *Error if the JSON is invalid, if a section occurs twice or has no name or
// digest, or if a section's revision is higher than the manifest's.
func Parse(text []byte) (Manifest, error) {
	var m Manifest
	if err := json.Unmarshal(text, &m); err != nil {
		return Manifest{}, &Error{Op: "parse manifest", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	seen := make(map[document.Section]bool, len(m.Sections))
	for _, s := range m.Sections {
		duplicate := seen[s.Section]
		seen[s.Section] = true
		if duplicate || s.Section == "" || s.Digest == "" || s.Revision > m.Revision {
			return Manifest{}, &Error{Op: "parse manifest", Kind: KindInvalid, Err: errors.Errorf("section %q is faulty", s.Section)}
		}
	}
	m.setEncoded(bytes.Clone(text))
	return m, nil
}

// Encode returns the manifest as JSON. For a parsed manifest it returns the text that was parsed.
func (m Manifest) Encode() []byte {
	if m.encoded == nil {
		return encode(m)
	}
	return m.encoded
}

// Version returns the revision and the digest of the encoded manifest, which hosts compare. It is zero for the empty
// manifest.
func (m Manifest) Version() protocol.ManifestVersion { return m.version }

// Sets the encoded text and the version that follows from it.
func (m *Manifest) setEncoded(text []byte) {
	m.encoded = text
	if m.Revision > 0 {
		m.version = protocol.ManifestVersion{Revision: m.Revision, Digest: document.Digest(text)}
	}
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: no field of a manifest or a record can fail to encode
	}
	return text
}

// Section returns the version of a section. Its revision and digest are zero if the section is absent.
func (m Manifest) Section(section document.Section) SectionVersion {
	for _, s := range m.Sections {
		if s.Section == section {
			return s
		}
	}
	return SectionVersion{Section: section}
}

// AcceptedRevision returns the revision at which the change with an ID was accepted, or 0 if the change is not among
// the recent ones.
func (m Manifest) AcceptedRevision(id string) uint64 {
	for _, r := range m.Recent {
		if r.ID == id {
			return r.Revision
		}
	}
	return 0
}

// Record returns the audit record of the change that made this manifest.
func (m Manifest) Record() Record {
	return Record{Revision: m.Revision, Change: m.Change}
}

// Encode returns the record as JSON.
func (r Record) Encode() []byte { return encode(r) }

// ParseRecord decodes an audit record. It returns an *Error if the JSON is invalid.
func ParseRecord(text []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, &Error{Op: "parse audit record", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return r, nil
}

// With returns the successor of m to which the change is applied; m stays as it is.
func (m Manifest) With(change Change) Manifest {
	next := Manifest{Revision: m.Revision + 1, Change: change, Sections: slices.Clone(m.Sections)}
	version := SectionVersion{Section: change.Section, Revision: next.Revision, Digest: change.After}
	at := slices.IndexFunc(next.Sections, func(s SectionVersion) bool { return s.Section == change.Section })
	if at < 0 {
		next.Sections = append(next.Sections, version)
	} else {
		next.Sections[at] = version
	}
	next.Recent = append(slices.Clone(m.Recent), RecentChange{ID: change.ID, Revision: next.Revision})
	if extra := len(next.Recent) - MaxRecentChanges; extra > 0 {
		next.Recent = next.Recent[extra:]
	}
	next.setEncoded(encode(next))
	return next
}
