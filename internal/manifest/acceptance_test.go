package manifest

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/violation"
)

func TestMain(m *testing.M) {
	if err := violation.Fix(); err != nil {
		panic(err)
	}
	m.Run()
}

// store is a model of the platform's store with its faults.
type store struct {
	values    map[string]string
	revisions map[string]uint64
	revision  uint64
	manifests []Manifest        // all that were ever in the store
	bases     map[string]uint64 // by change id
	late      []Action          // swaps that were sent and have not arrived yet
}

func newStore() *store {
	s := &store{values: map[string]string{}, revisions: map[string]uint64{}, bases: map[string]uint64{}}
	s.apply(bootstrap(document.SectionServices, `[{"name":"s","deadline":"0s"}]`, Manifest{}))
	return s
}

// Returns the swap that puts a first body in place of a section; the store is given the body, too.
func bootstrap(section document.Section, body string, before Manifest) (swap, write Action) {
	digest := document.Digest([]byte(body))
	next := before.With(Change{ID: "bootstrap", Section: section, After: digest})
	return Action{Kind: ActionSwap, Key: Key, Value: next.Encode(), Manifest: next},
		Action{Kind: ActionWriteBody, Key: BodyKey(section, digest), Value: []byte(body)}
}

func (s *store) apply(actions ...Action) bool {
	done := false
	for _, a := range actions {
		if done = a.StoreRevision == math.MaxUint64 || s.revisions[a.Key] == a.StoreRevision; !done {
			continue
		}
		s.revision++
		s.values[a.Key], s.revisions[a.Key] = string(a.Value), s.revision
		if a.Key == Key {
			s.manifests = append(s.manifests, a.Manifest)
		}
	}
	return done
}

func (s *store) read(lag int) Event {
	if len(s.manifests) <= lag {
		return Event{Kind: EventUnavailable}
	}
	m := s.manifests[len(s.manifests)-1-lag]
	e := Event{Kind: EventManifest, Manifest: m, StoreRevision: s.revisions[Key]}
	if lag > 0 {
		e.StoreRevision -= uint64(lag)
	}
	return e
}

// Carries out one action under a fault, or none.
func (s *store) perform(fault string, a Action) Event {
	switch {
	case fault == "unavailable":
		return Event{Kind: EventUnavailable}
	case a.Kind == ActionRead && fault == "stale":
		return s.read(1)
	case a.Kind == ActionRead:
		return s.read(0)
	case a.Kind == ActionReadBodies:
		var bodies []document.Body
		for _, section := range a.Sections {
			text := s.values[BodyKey(section.Section, section.Digest)]
			bodies = append(bodies, document.Body{Section: section.Section, Text: []byte(text)})
		}
		return Event{Kind: EventBodies, Bodies: bodies}
	case fault == "late":
		s.late = append(s.late, a)
		return Event{Kind: EventUnknown}
	}
	if !s.apply(a) {
		return Event{Kind: EventConflict}
	}
	if fault == "lost" {
		return Event{Kind: EventUnknown}
	}
	return Event{Kind: EventWritten}
}

// The changes of teams that race; those to services and to rules contradict each other.
var changes = []struct {
	section document.Section
	body    string
}{
	{document.SectionServices, `[]`},
	{document.SectionServices, `[{"name":"s","deadline":"1s"}]`},
	{document.SectionServices, `[{"name":"s","deadline":"2s"},{"name":"t","deadline":"0s"}]`},
	{document.SectionNonIdempotent, `[{"service":"s","method":"POST","path_prefix":"/"}]`},
	{document.SectionNonIdempotent, `[]`},
	{document.SectionModels, `[{"name":"m","version":"1","adapters":[],"max_prompt_tokens":1,"max_output_tokens":1,"bytes_per_token":0,"kv_bytes_per_token":0}]`},
}

type team struct {
	*Acceptance
	action Action
	ended  bool
}

// Races of up to six changes through a faulty store, where each may crash at any step.
func race(off protections) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newStore()
		var teams []*team
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			if len(teams) < 6 && rapid.IntRange(0, 9).Draw(t, "start") == 0 || len(teams) == 0 {
				teams = append(teams, start(t, s, len(teams), off))
			}
			if len(s.late) > 0 && rapid.IntRange(0, 3).Draw(t, "arrive") == 0 {
				s.apply(s.late[0])
				s.late = s.late[1:]
			}
			teams[rapid.IntRange(0, len(teams)-1).Draw(t, "team")].step(t, s)
		}
		for _, team := range teams {
			team.finish(s)
		}
		s.apply(s.late...)
		check(t, s, teams)
	}
}

func start(t *rapid.T, s *store, n int, off protections) *team {
	change := changes[rapid.IntRange(0, len(changes)-1).Draw(t, "change")]
	seen := s.manifests[len(s.manifests)-1-rapid.IntRange(0, min(1, len(s.manifests)-1)).Draw(t, "lag")]
	id := fmt.Sprint("change", n)
	s.bases[id] = seen.Section(change.section).Revision
	a := &Acceptance{off: off, Proposal: Proposal{
		Change: Change{ID: id, Author: "team", Time: time.Unix(0, 0).UTC(), Section: change.section},
		Body:   []byte(change.body), Base: s.bases[id],
	}}
	return &team{Acceptance: a, action: a.Start()}
}

func (m *team) step(t *rapid.T, s *store) {
	if m.ended || m.action.Kind == ActionAccepted || m.action.Kind == ActionRefused {
		return
	}
	fault := rapid.SampledFrom([]string{"", "", "", "", "unavailable", "lost", "late", "stale", "crash", "stop"}).Draw(t, "fault")
	switch fault {
	case "crash":
		m.ended = rapid.Bool().Draw(t, "crash")
	case "stop":
		m.action = m.Next(Event{Kind: EventStop})
	default:
		m.action = m.Next(s.perform(fault, m.action))
	}
}

// Lets a team that has not crashed end without further faults.
func (m *team) finish(s *store) {
	for !m.ended && m.action.Kind != ActionAccepted && m.action.Kind != ActionRefused {
		m.action = m.Next(s.perform("", m.action))
	}
}

func check(t *rapid.T, s *store, teams []*team) {
	at := make(map[string]uint64)
	for i, m := range s.manifests {
		if m.Revision != uint64(i+1) {
			t.Fatalf("manifest %d has revision %d: an update was lost", i+1, m.Revision)
		}
		if at[m.Change.ID] != 0 {
			t.Fatalf("change %s was accepted twice", m.Change.ID)
		}
		at[m.Change.ID] = m.Revision
		if i > 0 {
			checkManifest(t, s, s.manifests[i-1], m)
		}
	}
	for _, team := range teams {
		checkOutcome(t, team, at[team.Proposal.Change.ID])
	}
}

func checkManifest(t *rapid.T, s *store, before, m Manifest) {
	if base := s.bases[m.Change.ID]; before.Section(m.Change.Section).Revision != base {
		t.Fatalf("change %s replaced a body that its author had not seen", m.Change.ID)
	}
	if s.values[AuditKey(before.Revision)] == "" {
		t.Fatalf("revision %d has no audit record and is superseded", before.Revision)
	}
	var bodies []document.Body
	for _, section := range m.Sections {
		text, ok := s.values[BodyKey(section.Section, section.Digest)]
		if !ok {
			t.Fatalf("revision %d names a body that does not exist", m.Revision)
		}
		bodies = append(bodies, document.Body{Section: section.Section, Text: []byte(text)})
	}
	d, err := document.Assemble(bodies)
	if err != nil || d.Check() != nil {
		t.Fatalf("revision %d is an invalid whole", m.Revision)
	}
}

// What a team was told has to be true for good, also after late writes have arrived.
func checkOutcome(t *rapid.T, m *team, revision uint64) {
	id := m.Proposal.Change.ID
	switch m.action.Kind {
	case ActionAccepted:
		same := m.action.Manifest.Section(m.Proposal.Change.Section).Digest == m.Proposal.Change.After
		if revision == 0 && !same {
			t.Fatalf("change %s was called accepted and is not", id)
		}
	case ActionRefused:
		var e *Error
		errors.As(m.action.Err, &e)
		if revision != 0 && e.Kind != KindUnknown {
			t.Fatalf("change %s was refused as %s and is accepted at revision %d", id, e.Kind, revision)
		}
	}
}

func TestRace(t *testing.T) { rapid.Check(t, race(protections{})) }

func TestRaceFailsWithoutProtection(t *testing.T) {
	for name, off := range maps.All(map[string]protections{
		"base": {base: true}, "whole": {whole: true}, "settle": {settle: true}, "cas": {cas: true}, "audit": {audit: true},
	}) {
		t.Run(name, func(t *testing.T) {
			if !violation.Found(t, race(off)) {
				t.Error("no violation was found")
			}
		})
	}
}

func TestRefusalShowsTheOtherChange(t *testing.T) {
	s := newStore()
	a := &Acceptance{Proposal: Proposal{
		Change: Change{ID: "c", Section: document.SectionServices}, Body: []byte(`[]`), Base: 7,
	}}
	a.Start()
	a.Next(s.read(0))
	bodies := []document.Body{{Section: document.SectionServices, Text: []byte(`[{"name":"s","deadline":"0s"}]`)}}
	action := a.Next(Event{Kind: EventBodies, Bodies: bodies})
	var e *Error
	if !errors.As(action.Err, &e) || e.Kind != KindConflict || e.Diff == "" {
		t.Errorf("got %+v, want a refusal with a diff", action)
	}
}
