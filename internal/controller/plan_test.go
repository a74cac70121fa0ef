package controller

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/violation"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

func TestMain(m *testing.M) {
	if err := violation.FixSeed(); err != nil {
		panic(err)
	}
	m.Run()
}

func server(i int) protocol.Server { return protocol.Server{Name: fmt.Sprintf("g%d", i)} }

func loaded(model, version, adapter string) engineapi.Loaded {
	return engineapi.Loaded{Model: model, Version: version, Adapter: adapter}
}

func engineWith(i int, l ...engineapi.Loaded) Engine {
	return Engine{Server: server(i), State: engineapi.State{Loaded: l}}
}

func TestPlan(t *testing.T) {
	m := document.Model{Name: "m", Version: "2", Adapters: []string{"a"}}
	doc := &document.Document{Models: []document.Model{m}}
	loading := engineWith(0)
	loading.Loading = []engineapi.Loaded{loaded("m", "2", "")}
	long := engineWith(0, loaded("m", "2", ""), loaded("m", "2", "a"))
	long.State.Role = RoleLong
	tests := []struct {
		name    string
		doc     *document.Document
		engines []Engine
		want    string
	}{
		{"empty engine", doc, []Engine{engineWith(0)}, "[g0 load_model m 2]"},
		{"model loading", doc, []Engine{loading}, "[]"},
		{"adapter follows its model", doc, []Engine{engineWith(0, loaded("m", "2", ""))}, "[g0 load_adapter m 2 a]"},
		{"converged", doc, []Engine{engineWith(0, loaded("m", "2", ""), loaded("m", "2", "a"))}, "[]"},
		{
			"no longer wanted", doc,
			[]Engine{engineWith(0, loaded("m", "2", ""), loaded("m", "2", "a"), loaded("n", "1", ""))},
			"[g0 unload_model n 1]",
		},
		{
			"adapter no longer wanted", doc,
			[]Engine{engineWith(0, loaded("m", "2", ""), loaded("m", "2", "a"), loaded("m", "2", "b"))},
			"[g0 unload_adapter m 2 b]",
		},
		{"new version on a quarter at a time", doc, []Engine{
			engineWith(0, loaded("m", "1", "")), engineWith(1, loaded("m", "1", "")),
			engineWith(2, loaded("m", "1", "")), engineWith(3, loaded("m", "1", "")),
		}, "[g0 load_model m 2]"},
		{"role left over", doc, []Engine{long}, "[g0 set_role general]"},
		{
			"long engines", &document.Document{Engines: document.Engines{LongPromptEngines: 1}},
			[]Engine{engineWith(0)},
			"[g0 set_role long]",
		},
		{"empty document", &document.Document{}, []Engine{engineWith(0, loaded("m", "1", ""))}, "[g0 unload_model m 1]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, s := range Plan(test.doc, test.engines) {
				o := s.Command
				text := s.Server.Name + " " + o.Kind
				for _, word := range []string{o.Model, o.Version, o.Adapter, o.Role} {
					if word != "" {
						text += " " + word
					}
				}
				got = append(got, text)
			}
			if fmt.Sprint(got) != test.want {
				t.Errorf("got %v, want %s", got, test.want)
			}
		})
	}
}

// An engine that is no longer chosen for a model keeps it until the chosen engines have loaded it.
func TestPlanKeepsReplicas(t *testing.T) {
	doc := &document.Document{Models: []document.Model{{Name: "m", Version: "2", Replicas: 1}}}
	engines := []Engine{engineWith(0, loaded("m", "1", "")), engineWith(1, loaded("m", "1", ""))}
	for _, s := range Plan(doc, engines) {
		if s.Command.Kind == CommandUnloadModel {
			t.Errorf("%s is told to unload before the other has the new version", s.Server.Name)
		}
	}
}

// drawDocument draws a configuration with up to three models.
func drawDocument(t *rapid.T) *document.Document {
	d := &document.Document{}
	for i := range rapid.IntRange(0, 3).Draw(t, "models") {
		m := document.Model{
			Name: fmt.Sprintf("m%d", i), Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
			Replicas: rapid.IntRange(0, 4).Draw(t, "replicas"),
		}
		if rapid.Bool().Draw(t, "adapter") {
			m.Adapters = []string{"a"}
		}
		d.Models = append(d.Models, m)
	}
	d.Engines.LongPromptEngines = rapid.IntRange(0, 2).Draw(t, "long")
	return d
}

// applyCommand changes an engine's state as the engine does when it carries out a command.
func applyCommand(s *engineapi.State, o engineapi.Command) {
	var kept []engineapi.Loaded
	for _, l := range s.Loaded {
		replaced := l.Model == o.Model && (l.Adapter == o.Adapter || o.Kind == CommandUnloadModel)
		if o.Kind == CommandSetRole || !replaced {
			kept = append(kept, l)
		}
	}
	switch o.Kind {
	case CommandLoadModel, CommandLoadAdapter:
		kept = append(kept, loaded(o.Model, o.Version, o.Adapter))
	case CommandSetRole:
		s.Role = o.Role
	}
	s.Loaded = kept
}

// convergenceProperty returns the property that the engines match the last of several configurations in the end, though
// some commands of the plans are lost or arrive late. Without readBack nothing is planned after the late commands have
// arrived, and the property must fail.
func convergenceProperty(readBack bool) func(*rapid.T) {
	return func(t *rapid.T) {
		engines := make([]Engine, rapid.IntRange(1, 5).Draw(t, "engines"))
		for i := range engines {
			engines[i].Server = server(i)
		}
		var late []Step
		var d *document.Document
		for range rapid.IntRange(1, 4).Draw(t, "documents") {
			d = drawDocument(t)
			for range rapid.IntRange(0, 4).Draw(t, "rounds") {
				for _, s := range Plan(d, engines) {
					switch rapid.IntRange(0, 3).Draw(t, "delivery") {
					case 0: // lost
					case 1:
						late = append(late, s)
					default:
						applyStep(engines, s)
					}
				}
			}
		}
		reconcileAll(d, engines)
		for _, s := range late {
			applyStep(engines, s)
		}
		if readBack {
			reconcileAll(d, engines)
		}
		if open := Plan(d, engines); len(open) > 0 {
			t.Fatalf("engines %+v still differ: %+v", engines, open)
		}
	}
}

// reconcileAll plans and carries out all commands 50 times, enough for the engines to match the configuration.
func reconcileAll(d *document.Document, engines []Engine) {
	for range 50 {
		for _, s := range Plan(d, engines) {
			applyStep(engines, s)
		}
	}
}

// applyStep carries out the step's command on its engine.
func applyStep(engines []Engine, s Step) {
	for i := range engines {
		if engines[i].Server.Name == s.Server.Name {
			applyCommand(&engines[i].State, s.Command)
		}
	}
}

func TestConverges(t *testing.T) { rapid.Check(t, convergenceProperty(true)) }

func TestConvergesFailsWithoutReadBack(t *testing.T) {
	if !violation.FindsCounterexample(t, convergenceProperty(false)) {
		t.Error("no violation was found")
	}
}
