package document

import (
	"errors"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// digestA is a valid key digest.
const digestA = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"

func TestExampleRoundTrip(t *testing.T) {
	text, err := os.ReadFile("../../examples/document.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	d, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Validate(); err != nil {
		t.Fatal(err)
	}
	var bodies []Body
	for _, section := range Sections() {
		body, err := d.Body(section)
		if err != nil {
			t.Fatal(err)
		}
		bodies = append(bodies, Body{Section: section, Text: body})
	}
	assembled, err := Assemble(bodies)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range bodies {
		if encoded, _ := assembled.Body(b.Section); string(encoded) != string(b.Text) {
			t.Errorf("%s: got %s, want %s", b.Section, encoded, b.Text)
		}
	}
}

func TestParseErrors(t *testing.T) {
	tests := []struct{ text, want string }{
		{`{"models": [}`, `parse document: syntax: line 1, column 13: invalid character '}' at start of value`},
		{"{\n  // x\n  \"hue\": 1}", `parse document: field: line 3, column 3: hue: unknown field`},
		{`{"Models": []}`, `parse document: field: line 1, column 2: Models: unknown field`},
		{`{"models": [{"name": 3}]}`, `parse document: field: line 1, column 22: models[0].name: must be a string`},
		{`{"models": {}}`, `parse document: field: line 1, column 12: models: must be an array`},
		{`{"models": null}`, `parse document: field: line 1, column 12: models: must be an array`},
		{`{"models": [{"replicas": 1.5}]}`, `parse document: field: line 1, column 26: models[0].replicas: must be a whole number`},
		{"{\"services\": [\n{\"deadline\": \"soon\"}]}", `parse document: field: line 2, column 14: services[0].deadline: time: invalid duration "soon"`},
		{`{"engines": {"unfenced": [], "unfenced": []}}`, `parse document: field: line 1, column 30: engines.unfenced: field is given twice`},
		{`[]`, `parse document: field: line 1, column 1: must be an object`},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			_, err := Parse([]byte(test.text))
			if err == nil || err.Error() != test.want {
				t.Errorf("got  %v\nwant %s", err, test.want)
			}
		})
	}
}

func TestCheckErrors(t *testing.T) {
	model := `{"name":"m","version":"1","max_prompt_tokens":1,"max_output_tokens":1}`
	tests := []struct{ text, path string }{
		{`{}`, ""},
		{`{"models":[` + model + `]}`, ""},
		{`{"models":[` + model + `,` + model + `]}`, "models[1].name"},
		{`{"models":[{"name":"m","version":"1","max_prompt_tokens":0,"max_output_tokens":1}]}`, "models[0].max_prompt_tokens"},
		{`{"models":[{"name":"a b","version":"1","max_prompt_tokens":1,"max_output_tokens":1}]}`, "models[0].name"},
		{`{"workspaces":[{"name":"w","share":0}]}`, "workspaces[0].share"},
		{`{"workspaces":[{"name":"w","share":1,"max_in_flight":-1}]}`, "workspaces[0].max_in_flight"},
		{`{"workspaces":[{"name":"w","share":1,"key_digests":["x"]}]}`, "workspaces[0].key_digests[0]"},
		{`{"workspaces":[{"name":"a","share":1,"key_digests":["` + digestA + `"]},{"name":"b","share":1,"key_digests":["` + digestA + `"]}]}`, "workspaces[1].key_digests[0]"},
		{`{"non_idempotent":[{"service":"s","method":"POST","path_prefix":"/"}]}`, "non_idempotent[0].service"},
		{`{"services":[{"name":"s"}],"non_idempotent":[{"service":"s","method":"post","path_prefix":"/"}]}`, "non_idempotent[0].method"},
		{`{"services":[{"name":"s"}],"non_idempotent":[{"service":"s","method":"POST","path_prefix":"x"}]}`, "non_idempotent[0].path_prefix"},
		{`{"services":[{"name":"s","deadline":"-1s"}]}`, "services[0].deadline"},
		{`{"engines":{"loads_per_minute":-1}}`, "engines.loads_per_minute"},
		{`{"engines":{"unfenced":["g1","g1"]}}`, "engines.unfenced[1]"},
		{`{"scheduling":{"weight":"both"}}`, "scheduling.weight"},
		{`{"scheduling":{"batch_deadline":"48h"}}`, "scheduling.batch_deadline"},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			d, err := Parse([]byte(test.text))
			if err != nil {
				t.Fatal(err)
			}
			var checkErr *Error
			errors.As(d.Validate(), &checkErr)
			switch {
			case checkErr == nil && test.path != "":
				t.Errorf("no error at %s", test.path)
			case checkErr != nil && checkErr.Path != test.path:
				t.Errorf("got %v, want an error at %q", checkErr, test.path)
			}
		})
	}
}

func TestParseSectionIsCanonical(t *testing.T) {
	a, err := ParseSection(SectionServices, []byte("[ {\"deadline\": \"60s\", \"name\": \"s\",}, ] // x"))
	if err != nil {
		t.Fatal(err)
	}
	b, _ := ParseSection(SectionServices, []byte(`[{"name":"s","deadline":"1m"}]`))
	if string(a) != string(b) || Digest(a) != Digest(b) {
		t.Errorf("%s and %s differ", a, b)
	}
	if _, err := ParseSection("colors", nil); err == nil {
		t.Error("an unknown section was parsed")
	}
}

// Guards against a workspace that needs no key any more once its last one has been taken away.
func TestEmptyListOfKeysIsKept(t *testing.T) {
	body, err := ParseSection(SectionWorkspaces, []byte(`[{"name":"open"},{"name":"withdrawn","key_digests":[]}]`))
	if err != nil {
		t.Fatal(err)
	}
	d, err := Assemble([]Body{{Section: SectionWorkspaces, Text: body}})
	if err != nil {
		t.Fatal(err)
	}
	if d.Workspaces[0].KeyDigests != nil || d.Workspaces[1].KeyDigests == nil {
		t.Errorf("workspaces %+v of %s", d.Workspaces, body)
	}
}

func TestDiff(t *testing.T) {
	before, _ := ParseSection(SectionServices, []byte(`[{"name":"orders","deadline":"10s"},{"name":"stock","deadline":"2s"}]`))
	after, _ := ParseSection(SectionServices, []byte(`[{"name":"orders","deadline":"15s"},{"name":"stock","deadline":"2s"},{"name":"quotes","deadline":"5s"}]`))
	g := goldie.New(t)
	g.Assert(t, "diff_changed", []byte(Diff(before, after)))
	g.Assert(t, "diff_added", []byte(Diff(nil, before)))
	if d := Diff(before, before); d != "" {
		t.Errorf("equal bodies have the diff %q", d)
	}
}

func FuzzParse(f *testing.F) {
	text, err := os.ReadFile("../../examples/document.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"models":[{"name":"m"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse(text)
		if err != nil {
			return
		}
		for _, section := range Sections() {
			body, err := d.Body(section)
			if err != nil {
				t.Fatal(err)
			}
			reparsed, err := ParseSection(section, body)
			if err != nil || string(reparsed) != string(body) {
				t.Errorf("%s: %v: %s became %s", section, err, body, reparsed)
			}
		}
	})
}

func TestBaseParsesHeader(t *testing.T) {
	tests := []struct {
		text     string
		section  Section
		revision uint64
		ok       bool
	}{
		{Header(SectionModels, 7) + "\n[]", SectionModels, 7, true},
		{Header(SectionModels, 0) + "\r\n[]", SectionModels, 0, true},
		{"[]", "", 0, false},
		{"// section models, revision x", "", 0, false},
		{"// section models revision 7", SectionModels, 7, false},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			section, revision, ok := ParseHeader([]byte(test.text))
			if section != test.section || revision != test.revision || ok != test.ok {
				t.Errorf("got %q, %d, %v", section, revision, ok)
			}
		})
	}
}
