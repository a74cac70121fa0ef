package manifest

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// State is the active configuration of one host. Its revision never decreases.
type State struct {
	manifest Manifest
	version  protocol.ManifestVersion
	bodies   []document.Body
	document *document.Document

	allowOlder bool // accepts older revisions, so that tests show that their checks detect it
}

// Active returns the active manifest, its bodies and the document. They must not be modified. Before the first
// manifest is activated, the document is nil.
func (s *State) Active() (Manifest, []document.Body, *document.Document) {
	return s.manifest, s.bodies, s.document
}

// Version returns the active version, or the zero value before the first manifest is activated.
func (s *State) Version() protocol.ManifestVersion { return s.version }

// Missing returns the sections of m whose bodies are not in the active configuration.
func (s *State) Missing(m Manifest) []SectionVersion {
	var missing []SectionVersion
	for _, section := range m.Sections {
		if s.findBody(section.Digest, nil) == nil {
			missing = append(missing, section)
		}
	}
	return missing
}

// Offer activates m if its revision is higher than the active one, and reports whether it did.
//
// Bodies that are already active may be omitted. Offer ignores an older manifest without an error. It returns an *Error
// if a different manifest with the same revision is active, if a body is missing, or if the bodies don't form a valid
// document; the active configuration then stays as it is.
func (s *State) Offer(m Manifest, bodies ...[]byte) (bool, error) {
	version := m.Version()
	if version.Revision == s.version.Revision && version != s.version {
		return false, &Error{Op: "offer", Kind: KindDiverged, Err: errors.Errorf("two manifests of revision %d", m.Revision)}
	}
	if version.Revision <= s.version.Revision && (!s.allowOlder || version == s.version) {
		return false, nil
	}
	chosen, err := s.collectBodies(m, bodies)
	if err != nil {
		return false, err
	}
	d, err := document.Assemble(chosen)
	if err == nil {
		err = d.Validate()
	}
	if err != nil {
		return false, &Error{Op: "offer", Kind: KindInvalid, Err: err}
	}
	s.manifest, s.version, s.bodies, s.document = m, version, chosen, d
	return true, nil
}

// Returns the bodies of all sections of m, or an *Error if one is missing.
func (s *State) collectBodies(m Manifest, bodies [][]byte) ([]document.Body, error) {
	chosen := make([]document.Body, 0, len(m.Sections))
	for _, section := range m.Sections {
		text := s.findBody(section.Digest, bodies)
		if text == nil {
			return nil, &Error{Op: "offer", Kind: KindMissing, Err: errors.Errorf("no body of section %s at hand", section.Section)}
		}
		chosen = append(chosen, document.Body{Section: section.Section, Text: text})
	}
	return chosen, nil
}

// Returns the body with a digest from the active configuration or from the given bodies, or nil if neither has it.
func (s *State) findBody(digest string, given [][]byte) []byte {
	for _, active := range s.manifest.Sections {
		if active.Digest != digest {
			continue
		}
		at := slices.IndexFunc(s.bodies, func(b document.Body) bool { return b.Section == active.Section })
		return s.bodies[at].Text
	}
	for _, text := range given {
		if document.Digest(text) == digest {
			return text
		}
	}
	return nil
}
