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
	if err := violation.FixSeed(); err != nil {
		panic(err)
	}
	m.Run()
}

// store is a model of the platform's store and its faults.
type store struct {
	values    map[string]string
	revisions map[string]uint64
	revision  uint64
	manifests []Manifest        // all manifests that were ever in the store, in order
	bases     map[string]uint64 // base revision of each change, by change ID
	delayed   []Action          // writes that were sent but have not reached the store yet
}

func newStore() *store {
	s := &store{values: map[string]string{}, revisions: map[string]uint64{}, bases: map[string]uint64{}}
	s.apply(bootstrap(document.SectionServices, `[{"name":"s","deadline":"0s"}]`, Manifest{}))
	return s
}

// Returns the swap of the manifest that introduces a section's first body, and the write of that body.
func bootstrap(section document.Section, body string, before Manifest) (swap, write Action) {
	digest := document.Digest([]byte(body))
	next := before.With(Change{ID: "bootstrap", Section: section, After: digest})
	return Action{Kind: ActionSwap, Key: Key, Value: next.Encode(), Manifest: next},
		Action{Kind: ActionWriteBody, Key: BodyKey(section, digest), Value: []byte(body)}
}

func (s *store) apply(actions ...Action) bool {
	applied := false
	for _, a := range actions {
		if applied = a.StoreRevision == math.MaxUint64 || s.revisions[a.Key] == a.StoreRevision; !applied {
			continue
		}
		s.revision++
		s.values[a.Key], s.revisions[a.Key] = string(a.Value), s.revision
		if a.Key == Key {
			s.manifests = append(s.manifests, a.Manifest)
		}
	}
	return applied
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

// Performs one action under the given fault and returns its result; no fault is the empty string.
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
		s.delayed = append(s.delayed, a)
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

// The changes that the teams choose from. Some changes to services and some to rules are invalid together.
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
	action  Action
	crashed bool
}

// Returns a property: up to six teams change the configuration concurrently through a store with faults, and each may
// crash at any step.
func race(disabled protections) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newStore()
		var teams []*team
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			if len(teams) < 6 && rapid.IntRange(0, 9).Draw(t, "start") == 0 || len(teams) == 0 {
				teams = append(teams, start(t, s, len(teams), disabled))
			}
			if len(s.delayed) > 0 && rapid.IntRange(0, 3).Draw(t, "arrive") == 0 {
				s.apply(s.delayed[0])
				s.delayed = s.delayed[1:]
			}
			teams[rapid.IntRange(0, len(teams)-1).Draw(t, "team")].step(t, s)
		}
		for _, team := range teams {
			team.finish(s)
		}
		s.apply(s.delayed...)
		checkHistory(t, s, teams)
	}
}

func start(t *rapid.T, s *store, n int, disabled protections) *team {
	change := changes[rapid.IntRange(0, len(changes)-1).Draw(t, "change")]
	baseManifest := s.manifests[len(s.manifests)-1-rapid.IntRange(0, min(1, len(s.manifests)-1)).Draw(t, "lag")]
	id := fmt.Sprint("change", n)
	s.bases[id] = baseManifest.Section(change.section).Revision
	a := &Acceptance{disabled: disabled, Proposal: Proposal{
		Change: Change{ID: id, Author: "team", Time: time.Unix(0, 0).UTC(), Section: change.section},
		Body:   []byte(change.body), Base: s.bases[id],
	}}
	return &team{Acceptance: a, action: a.Start()}
}

func (m *team) step(t *rapid.T, s *store) {
	if m.crashed || m.action.Kind == ActionAccepted || m.action.Kind == ActionRefused {
		return
	}
	fault := rapid.SampledFrom([]string{"", "", "", "", "unavailable", "lost", "late", "stale", "crash", "stop"}).Draw(t, "fault")
	switch fault {
	case "crash":
		m.crashed = rapid.Bool().Draw(t, "crash")
	case "stop":
		m.action = m.Next(Event{Kind: EventTimeout})
	default:
		m.action = m.Next(s.perform(fault, m.action))
	}
}

// Lets a team that has not crashed complete its change without further faults.
func (m *team) finish(s *store) {
	for !m.crashed && m.action.Kind != ActionAccepted && m.action.Kind != ActionRefused {
		m.action = m.Next(s.perform("", m.action))
	}
}

// Checks that no update was lost, that no change was accepted twice, and that each manifest and outcome is correct.
func checkHistory(t *rapid.T, s *store, teams []*team) {
	acceptedAt := make(map[string]uint64)
	for i, m := range s.manifests {
		if m.Revision != uint64(i+1) {
			t.Fatalf("manifest %d has revision %d: an update was lost", i+1, m.Revision)
		}
		if acceptedAt[m.Change.ID] != 0 {
			t.Fatalf("change %s was accepted twice", m.Change.ID)
		}
		acceptedAt[m.Change.ID] = m.Revision
		if i > 0 {
			checkManifest(t, s, s.manifests[i-1], m)
		}
	}
	for _, team := range teams {
		checkOutcome(t, team, acceptedAt[team.Proposal.Change.ID])
	}
}

func checkManifest(t *rapid.T, s *store, before, m Manifest) {
	if base := s.bases[m.Change.ID]; before.Section(m.Change.Section).Revision != base {
		t.Fatalf("change %s replaced a body other than the one its author edited", m.Change.ID)
	}
	if s.values[AuditKey(before.Revision)] == "" {
		t.Fatalf("revision %d was superseded before its audit record was written", before.Revision)
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
	if err != nil || d.Validate() != nil {
		t.Fatalf("the document of revision %d is invalid", m.Revision)
	}
}

// Checks that the outcome that a team got is correct, including after delayed writes have reached the store.
func checkOutcome(t *rapid.T, m *team, revision uint64) {
	id := m.Proposal.Change.ID
	switch m.action.Kind {
	case ActionAccepted:
		same := m.action.Manifest.Section(m.Proposal.Change.Section).Digest == m.Proposal.Change.After
		if revision == 0 && !same {
			t.Fatalf("change %s was reported as accepted but was not", id)
		}
	case ActionRefused:
		var e *Error
		errors.As(m.action.Err, &e)
		if revision != 0 && e.Kind != KindUnknown {
			t.Fatalf("change %s was refused with kind %s but was accepted at revision %d", id, e.Kind, revision)
		}
	}
}

func TestRace(t *testing.T) { rapid.Check(t, race(protections{})) }

func TestRaceFailsWithoutProtection(t *testing.T) {
	for name, off := range maps.All(map[string]protections{
		"base": {baseCheck: true}, "document": {documentCheck: true}, "outcome": {outcomeCheck: true}, "cas": {compareAndSwap: true}, "audit": {auditRecord: true},
	}) {
		t.Run(name, func(t *testing.T) {
			if !violation.FindsCounterexample(t, race(off)) {
				t.Error("no violation was found with the protection disabled")
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
