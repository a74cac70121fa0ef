package manifest

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// State is the configuration in force on one host; its revision never falls.
type State struct {
	manifest Manifest
	version  protocol.ManifestVersion
	bodies   []document.Body
	document *document.Document

	allowOlder bool // lets tests show that the checks find a reversion
}

// InForce returns the manifest, its bodies and the document, which must not be changed; the document is nil at first.
func (s *State) InForce() (Manifest, []document.Body, *document.Document) {
	return s.manifest, s.bodies, s.document
}

// Version returns the version in force; it is zero at first.
func (s *State) Version() protocol.ManifestVersion { return s.version }

// Missing returns the sections of m whose bodies are not at hand.
func (s *State) Missing(m Manifest) []SectionVersion {
	var missing []SectionVersion
	for _, section := range m.Sections {
		if s.body(section.Digest, nil) == nil {
			missing = append(missing, section)
		}
	}
	return missing
}

// Offer brings m into force if its revision is higher than the one in force and reports whether it did.
//
// Bodies that are in force already need not be given. It returns an *Error for a manifest that can't come into
// force; an older one is passed over without an error.
func (s *State) Offer(m Manifest, bodies ...[]byte) (bool, error) {
	version := m.Version()
	if version.Revision == s.version.Revision && version != s.version {
		return false, &Error{Op: "offer", Kind: KindDiverged, Err: errors.Errorf("two manifests of revision %d", m.Revision)}
	}
	if version.Revision <= s.version.Revision && (!s.allowOlder || version == s.version) {
		return false, nil
	}
	chosen, err := s.collect(m, bodies)
	if err != nil {
		return false, err
	}
	d, err := document.Assemble(chosen)
	if err == nil {
		err = d.Check()
	}
	if err != nil {
		return false, &Error{Op: "offer", Kind: KindInvalid, Err: err}
	}
	s.manifest, s.version, s.bodies, s.document = m, version, chosen, d
	return true, nil
}

func (s *State) collect(m Manifest, bodies [][]byte) ([]document.Body, error) {
	chosen := make([]document.Body, 0, len(m.Sections))
	for _, section := range m.Sections {
		text := s.body(section.Digest, bodies)
		if text == nil {
			return nil, &Error{Op: "offer", Kind: KindMissing, Err: errors.Errorf("no body of section %s at hand", section.Section)}
		}
		chosen = append(chosen, document.Body{Section: section.Section, Text: text})
	}
	return chosen, nil
}

// Returns the body with a digest from what is in force or from the given ones, or nil.
func (s *State) body(digest string, given [][]byte) []byte {
	for _, own := range s.manifest.Sections {
		if own.Digest != digest {
			continue
		}
		at := slices.IndexFunc(s.bodies, func(b document.Body) bool { return b.Section == own.Section })
		return s.bodies[at].Text
	}
	for _, text := range given {
		if document.Digest(text) == digest {
			return text
		}
	}
	return nil
}
