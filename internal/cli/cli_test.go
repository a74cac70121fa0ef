package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
)

const settingsSample = "../../examples/settings.jsonc"

// fakeHost serves the operators' interface of a host with fixed responses, and records the changes that it receives.
type fakeHost struct {
	changes   []adminapi.Change
	responses []func(w http.ResponseWriter) // to changes, in order; the last one is repeated
	versions  []adminapi.HostVersion
	token     string // Authorization header of the last request

	mu sync.Mutex
}

func accept(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(adminapi.Accepted{ID: "c1", Revision: 7})
}

func refuse(status int, f adminapi.ErrorResponse) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(f)
	}
}

// dropConnection closes the connection without a response, as if the response were lost on the network.
func dropConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The client may retry before the handler whose response was lost has returned.
	h.mu.Lock()
	defer h.mu.Unlock()
	h.token = r.Header.Get("Authorization")
	section := adminapi.Section{Section: "services", Revision: 3, Digest: strings.Repeat("ab", 32), Body: "[\n  {\"name\": \"orders\"}\n]"}
	changeTime := time.Date(2026, 12, 3, 21, 0, 0, 0, time.UTC)
	var response any
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/config":
		response = adminapi.Configuration{Revision: 7, Digest: strings.Repeat("cd", 32), Sections: []adminapi.Section{section}}
	case "GET /v1/config/sections/services":
		response = section
	case "GET /v1/config/history":
		response = []adminapi.Record{{Revision: 7, Section: "services", Author: "orders-team", Time: changeTime, Reason: "faster", ID: "c1", Diff: "-a\n+b\n"}}
	case "GET /v1/config/status":
		response = h.versions
	case "GET /v1/status":
		response = sampleStatus()
	case "PUT /v1/config/sections/services":
		var change adminapi.Change
		_ = json.NewDecoder(r.Body).Decode(&change)
		n := min(len(h.changes), len(h.responses)-1)
		h.changes = append(h.changes, change)
		h.responses[n](w)
		return
	default:
		refuse(http.StatusNotFound, adminapi.ErrorResponse{Kind: "not_found", Message: "no such path"})(w)
		return
	}
	_ = json.NewEncoder(w).Encode(response)
}

func sampleStatus() adminapi.Status {
	return adminapi.Status{
		Host: "e1", FailureDomain: "ne-1", Ready: true, Edge: true, ActiveRequests: 2, Configuration: adminapi.HostVersion{Revision: 7},
		Members: []adminapi.Member{{Host: "e1", FailureDomain: "ne-1", Address: "127.0.0.1:7000", State: "alive"}},
		BackendServers: []adminapi.BackendServer{
			{Name: "g1", FailureDomain: "ne-1", Scheduler: "e1", Models: []string{"a", "b"}, WaitMS: 12, FreeBytes: 1 << 30, Running: 3},
			{Name: "g2", FailureDomain: "ne-1", Scheduler: "e1", Unhealthy: true},
			{Name: "g3", FailureDomain: "ne-1", Scheduler: "e1", AgeMS: -1},
			{Name: "g4", FailureDomain: "ne-1", Scheduler: "e1", ForLongPrompts: true},
			{Name: "g5", FailureDomain: "ne-2", Scheduler: "e3", AgeMS: -1},
			{Name: "g6", FailureDomain: "ne-1", Scheduler: "e1", Leaving: true},
		},
	}
}

func newFakeHost() *fakeHost {
	return &fakeHost{
		responses: []func(http.ResponseWriter){accept},
		versions: []adminapi.HostVersion{
			{Host: "e1", FailureDomain: "ne-1", Revision: 7, Digest: strings.Repeat("cd", 32)},
			{Host: "e2", FailureDomain: "ne-2", Revision: 7, Digest: strings.Repeat("cd", 32)},
		},
	}
}

type result struct {
	code     int
	out, err string
}

// runAgainstHost runs the program with the address of h and a token in the environment. If h is nil, no host listens at
// the address. The output has http://HOST in place of the address.
func runAgainstHost(t *testing.T, h http.Handler, stdin string, args ...string) result {
	t.Helper()
	address := "http://127.0.0.1:1" // no server listens there
	if h != nil {
		s := httptest.NewServer(h)
		defer s.Close()
		address = s.URL
	}
	var out, failure bytes.Buffer
	p := &Program{Version: "1", Out: &out, Err: &failure, Stdin: strings.NewReader(stdin), retryDelay: time.Microsecond, Getenv: func(name string) string {
		return map[string]string{addressVariable: address, tokenVariable: "secret"}[name]
	}}
	code := p.Run(context.Background(), args)
	return result{code, strings.ReplaceAll(out.String(), address, "http://HOST"), strings.ReplaceAll(failure.String(), address, "http://HOST")}
}

// writeSectionFile writes text to a temporary file and returns its path.
func writeSectionFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "section.jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

const servicesText = "// section services, revision 3\n" + `[{"name": "orders"}, /* new */ {"name": "stock", "deadline": "2s"}]`

func TestOutputs(t *testing.T) {
	file := writeSectionFile(t, servicesText)
	commands := map[string][]string{
		"help":                {"--help"},
		"help_serve":          {"serve", "--help"},
		"help_check":          {"check", "--help"},
		"help_config":         {"config"},
		"help_config_apply":   {"config", "apply", "--help"},
		"version":             {"version"},
		"status":              {"status"},
		"status_json":         {"status", "--output", "json"},
		"config_get":          {"config", "get"},
		"config_get_section":  {"config", "get", "services"},
		"config_get_json":     {"config", "get", "services", "-o", "json"},
		"config_diff":         {"config", "diff", "services", file},
		"config_history":      {"config", "history"},
		"config_history_json": {"config", "history", "-o", "json"},
		"config_status":       {"config", "status"},
		"config_apply":        {"config", "apply", "services", file, "--reason", "r"},
		"config_apply_json":   {"config", "apply", "services", file, "--reason", "r", "-o", "json"},
		"check":               {"check", "--settings", settingsSample},
	}
	g := goldie.New(t)
	for name, args := range commands {
		t.Run(name, func(t *testing.T) {
			r := runAgainstHost(t, newFakeHost(), "", args...)
			if r.code != ExitOK || r.err != "" {
				t.Fatalf("exit code %d: %s", r.code, r.err)
			}
			if strings.Contains(r.out, "secret") {
				t.Error("the token is printed")
			}
			g.Assert(t, name, []byte(r.out))
		})
	}
}

func TestFailures(t *testing.T) {
	file := writeSectionFile(t, servicesText)
	apply := []string{"config", "apply", "services", file, "--reason", "r"}
	tests := []struct {
		name     string
		response func(http.ResponseWriter)
		args     []string
		code     int
		err      string
	}{
		{"unknown command", nil, []string{"x"}, ExitUsage, `unknown command "x" for "turmericshunt"`},
		{"unknown subcommand", nil, []string{"config", "x"}, ExitUsage, `unknown command "x" for "turmericshunt config"`},
		{"unknown flag", nil, []string{"status", "--x"}, ExitUsage, "unknown flag: --x"},
		{"missing argument", nil, []string{"config", "diff", "services"}, ExitUsage, "accepts 2 arg(s), received 1"},
		{"output", nil, []string{"status", "-o", "xml"}, ExitUsage, `--output must be json or table, not "xml"`},
		{"key file", nil, []string{"status", "--ca-file", "absent"}, ExitUsage, "open absent: no such file"},
		{"no base", nil, []string{"config", "apply", "services", writeSectionFile(t, "[]"), "--reason", "r"}, ExitUsage, "the file does not tell which revision it started from"},
		{"no reason", nil, apply[:4], ExitUsage, `required flag(s) "reason" not set`},
		{"absent file", nil, []string{"config", "diff", "services", "absent"}, ExitUsage, "open absent: no such file"},
		{"unknown section", nil, []string{"config", "diff", "x", file}, ExitInvalid, "x"},
		{"wrong section", nil, []string{"config", "diff", "models", file}, ExitInvalid, "unknown field"},
		{"absent path", nil, []string{"config", "get", "x"}, ExitRefused, "get x: not_found: no such path"},
		{"conflict", refuse(http.StatusConflict, adminapi.ErrorResponse{
			Kind: "conflict", Message: "came first",
			Diff: "-a\n+b",
		}), apply, ExitRefused, "apply services: conflict: came first\n-a\n+b"},
		{
			"unauthorized", refuse(http.StatusUnauthorized, adminapi.ErrorResponse{Kind: "unauthorized", Message: "no"}),
			apply, ExitRefused, "unauthorized: no",
		},
		{
			"invalid", refuse(http.StatusBadRequest, adminapi.ErrorResponse{Kind: "invalid", Message: "bad"}), apply,
			ExitInvalid, "invalid: bad",
		},
		{"unavailable", refuse(http.StatusServiceUnavailable,
			adminapi.ErrorResponse{Kind: "unavailable", Message: "store down"}), apply, ExitFailed, "unavailable: store down"},
		{"settings", nil, []string{"check", "--settings", "absent"}, ExitInvalid, "open absent: no such file"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newFakeHost()
			if tc.response != nil {
				h.responses = []func(http.ResponseWriter){tc.response}
			}
			r := runAgainstHost(t, h, "", tc.args...)
			if r.code != tc.code || !strings.Contains(r.err, tc.err) || !strings.HasPrefix(r.err, "turmericshunt: ") {
				t.Errorf("exit code %d, want %d: %s", r.code, tc.code, r.err)
			}
		})
	}
	if r := runAgainstHost(t, nil, "", "status"); r.code != ExitFailed {
		t.Errorf("no host: exit code %d: %s", r.code, r.err)
	}
}

func TestCheckNamesPlace(t *testing.T) {
	sample, err := os.ReadFile(settingsSample)
	if err != nil {
		t.Fatal(err)
	}
	file := writeSectionFile(t, strings.Replace(string(sample), `"frame_gap": "1s"`, `"frame_gap": "1"`, 1))
	r := runAgainstHost(t, nil, "", "check", "--settings", file)
	want := "turmericshunt: settings: " + file + `: line 60, column 18: timing.frame_gap: "1" is not a duration such as "30s"` + "\n"
	if r.code != ExitInvalid || r.err != want {
		t.Errorf("exit code %d\ngot  %swant %s", r.code, r.err, want)
	}
}

func TestApplyWithLostAnswers(t *testing.T) {
	unknown := refuse(http.StatusServiceUnavailable, adminapi.ErrorResponse{Kind: "unknown", Message: "may be"})
	conflict := refuse(http.StatusConflict, adminapi.ErrorResponse{Kind: "conflict", Message: "came first"})
	down := refuse(http.StatusServiceUnavailable, adminapi.ErrorResponse{Kind: "unavailable", Message: "down"})
	tests := []struct {
		name      string
		responses []func(http.ResponseWriter)
		code      int
		attempts  int
		isUnknown bool
	}{
		{"lost once", []func(http.ResponseWriter){dropConnection, accept}, ExitOK, 2, false},
		{"unknown, then accepted", []func(http.ResponseWriter){unknown, accept}, ExitOK, 2, false},
		{"lost, then refused", []func(http.ResponseWriter){dropConnection, conflict}, ExitRefused, 2, false},
		{"always lost", []func(http.ResponseWriter){dropConnection}, ExitFailed, maxAttempts, true},
		{"lost, then down", []func(http.ResponseWriter){dropConnection, down}, ExitFailed, maxAttempts, true},
		{"always down", []func(http.ResponseWriter){down}, ExitFailed, maxAttempts, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := newFakeHost()
			h.responses = tc.responses
			r := runAgainstHost(t, h, servicesText, "config", "apply", "services", "-", "--reason", "r")
			if r.code != tc.code || len(h.changes) != tc.attempts {
				t.Fatalf("exit code %d after %d attempts: %s", r.code, len(h.changes), r.err)
			}
			for _, c := range h.changes {
				if c.ID == "" || c != h.changes[0] || c.BaseRevision != 3 || c.Body != servicesText {
					t.Errorf("sent %+v", c)
				}
			}
			saysUnknown := strings.Contains(r.err, "unknown: the change may have been accepted; send it again with --id "+h.changes[0].ID+" --base 3")
			if saysUnknown != tc.isUnknown {
				t.Errorf("got %s", r.err)
			}
		})
	}
}

func TestApplyNamesLaggingHosts(t *testing.T) {
	h := newFakeHost()
	h.versions[1].Revision = 6
	r := runAgainstHost(t, h, servicesText, "config", "apply", "services", "-", "--reason", "r", "--wait", "1ns", "--id", "c1", "--base", "0")
	want := "accepted as revision 7 (change c1)\nin force on 1 of 2 hosts; lagging: e2\n"
	if r.code != ExitLagging || r.out != want || h.changes[0].ID != "c1" || h.changes[0].BaseRevision != 0 {
		t.Errorf("exit code %d: %s%s", r.code, r.out, r.err)
	}
}

func TestTokenIsSent(t *testing.T) {
	h := newFakeHost()
	runAgainstHost(t, h, "", "status")
	fromVariable := h.token
	runAgainstHost(t, h, "", "status", "--token", "other")
	if fromVariable != "Bearer secret" || h.token != "Bearer other" {
		t.Errorf("sent %q and %q", fromVariable, h.token)
	}
}

func TestCompletion(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		if r := runAgainstHost(t, nil, "", "completion", shell); r.code != ExitOK || !strings.Contains(r.out, "turmericshunt") {
			t.Errorf("%s: exit code %d: %s", shell, r.code, r.err)
		}
	}
	r := runAgainstHost(t, nil, "", "__complete", "config", "apply", "")
	if !strings.Contains(r.out, "non_idempotent\n") || r.code != ExitOK {
		t.Errorf("sections are not completed: %s", r.out)
	}
}
