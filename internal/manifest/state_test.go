package manifest

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/violation"
)

// Returns successive manifests, oldest first, and all bodies that they name.
func manifestChain() ([]Manifest, [][]byte) {
	var manifests []Manifest
	var bodies [][]byte
	var m Manifest
	for _, change := range changes[1:] {
		body := []byte(change.body)
		m = m.With(Change{ID: change.body, Section: change.section, After: document.Digest(body)})
		manifests, bodies = append(manifests, m), append(bodies, body)
	}
	return manifests, bodies
}

// Returns a property: offers of any manifests in any order, with or without their bodies, never activate an older one.
func neverReverts(allowOlder bool) func(*rapid.T) {
	return func(t *rapid.T) {
		manifests, bodies := manifestChain()
		s := &State{allowOlder: allowOlder}
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			before := s.Version().Revision
			m := manifests[rapid.IntRange(0, len(manifests)-1).Draw(t, "manifest")]
			given := bodies[rapid.IntRange(0, len(bodies)).Draw(t, "from"):]
			changed, err := s.Offer(m, given...)
			after := s.Version().Revision
			if after < before {
				t.Fatalf("revision %d was activated after %d", after, before)
			}
			if changed != (after != before) {
				t.Fatalf("changed is %v when the revision went from %d to %d", changed, before, after)
			}
			if err == nil && after < m.Revision {
				t.Fatalf("newer revision %d was ignored, active is %d", m.Revision, after)
			}
			if _, _, d := s.Active(); after > 0 && (d == nil || d.Validate() != nil) {
				t.Fatal("an invalid document is active")
			}
		}
	}
}

func TestNeverReverts(t *testing.T) { rapid.Check(t, neverReverts(false)) }

func TestNeverRevertsFailsWithoutProtection(t *testing.T) {
	if !violation.FindsCounterexample(t, neverReverts(true)) {
		t.Error("no older revision was activated, want a violation without the check")
	}
}

func TestOfferFaults(t *testing.T) {
	manifests, bodies := manifestChain()
	last := manifests[len(manifests)-1]
	other, _ := Parse([]byte(strings.Replace(string(last.Encode()), `"author":""`, `"author":"other"`, 1)))
	invalid := Manifest{}.With(Change{ID: "x", Section: document.SectionNonIdempotent, After: document.Digest(bodies[2])})
	tests := []struct {
		name         string
		offer        func(*State) error
		want         Kind
		wantRevision uint64
	}{
		{"missing body", func(s *State) error { _, err := s.Offer(last); return err }, KindMissing, 0},
		{"another body", func(s *State) error { _, err := s.Offer(manifests[0], []byte("[]")); return err }, KindMissing, 0},
		{"invalid document", func(s *State) error { _, err := s.Offer(invalid, bodies...); return err }, KindInvalid, 0},
		{"two manifests of one revision", func(s *State) error {
			if _, err := s.Offer(last, bodies...); err != nil {
				return err
			}
			_, err := s.Offer(other, bodies...)
			return err
		}, KindDiverged, last.Revision},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := new(State)
			var e *Error
			if err := test.offer(s); !errors.As(err, &e) || e.Kind != test.want {
				t.Errorf("got %v, want %s", err, test.want)
			}
			if s.Version().Revision != test.wantRevision {
				t.Errorf("revision %d is active", s.Version().Revision)
			}
		})
	}
}

// A manifest written by a later release must be forwarded with the fields that this release does not know, since its
// digest covers them.
func TestParseKeepsFieldsOfLaterVersions(t *testing.T) {
	text := []byte(`{"revision":3,"sections":[{"section":"colors","revision":3,"digest":"d","owner":"x"}],"quorum":2}`)
	m, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if string(m.Encode()) != string(text) || m.Version().Digest != document.Digest(text) {
		t.Errorf("got %s", m.Encode())
	}
}

func FuzzParse(f *testing.F) {
	manifests, bodies := manifestChain()
	for _, m := range manifests {
		f.Add(m.Encode())
	}
	f.Add([]byte(`{"revision":1,"sections":[{"section":"a","revision":2,"digest":"d"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Parse(text)
		if err != nil {
			return
		}
		s := new(State)
		if changed, _ := s.Offer(m, bodies...); changed && s.Version() != m.Version() {
			t.Errorf("%s was activated as version %v", text, s.Version())
		}
		s.Offer(manifests[0], bodies...)
		s.Missing(m)
		if next := m.With(Change{Section: "services"}); next.Revision != m.Revision+1 {
			t.Errorf("revision %d follows %d", next.Revision, m.Revision)
		}
	})
}
