package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const configurationSample = "../../examples/platform/configuration.json"

// runProgram runs the program with the arguments and without environment variables. It returns the output, standard
// output and standard error together, and the exit code.
func runProgram(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	p := &Program{Out: &out, Err: &out, Getenv: func(string) string { return "" }}
	code := p.Run(t.Context(), args)
	return out.String(), code
}

func TestCheckConfig(t *testing.T) {
	out, code := runProgram(t, "gateway", "check-config", configurationSample)
	if code != ExitOK {
		t.Errorf("exit code %d", code)
	}
	goldie.New(t).Assert(t, "check_config", []byte(out))
}

func TestCheckConfigNamesWhatIsWrong(t *testing.T) {
	sample, err := os.ReadFile(configurationSample)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, old, replacement, want string
		code                         int
	}{
		{"type", `"version": 1`, `"version": "one"`, "version", ExitInvalid},
		{"service", `"service": "quote-llm"`, `"service": "quote-lm"`, `service "quote-lm" is not in the document`, ExitOK},
		{"field", `"priority": 2`, `"priorty": 2`, "routes[].priorty", ExitOK},
	}
	for _, tt := range tests {
		file := filepath.Join(t.TempDir(), "configuration.json")
		if err := os.WriteFile(file, []byte(strings.ReplaceAll(string(sample), tt.old, tt.replacement)), 0o600); err != nil {
			t.Fatal(err)
		}
		out, code := runProgram(t, "gateway", "check-config", file)
		if code != tt.code || !strings.Contains(out, tt.want) {
			t.Errorf("%s: exit code %d, want %d and %q in\n%s", tt.name, code, tt.code, tt.want, out)
		}
	}
}

func TestGatewayStatus(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(`{"host": "front-1", "planner": "10.1.0.4:8001", "configuration": {"version": 12}}`))
	}))
	defer server.Close()
	out, code := runProgram(t, "gateway", "status", strings.TrimPrefix(server.URL, "http://"))
	if code != ExitOK || !strings.Contains(out, "10.1.0.4:8001") || !strings.Contains(out, "version 12") {
		t.Errorf("exit code %d\n%s", code, out)
	}
	if _, code := runProgram(t, "gateway", "status", "nowhere"); code != ExitUsage {
		t.Errorf("exit code %d for a wrong address", code)
	}
	server.Close()
	if _, code := runProgram(t, "gateway", "status", strings.TrimPrefix(server.URL, "http://")); code != ExitFailed {
		t.Errorf("exit code %d for a host that is down", code)
	}
}

// Guards against a price that makes a host prefer other failure domains, or never leave its own.
func TestInvalidCrossingPriceIsRejected(t *testing.T) {
	for _, price := range []string{"-1", "NaN", "+Inf"} {
		out, code := runProgram(t, "gateway", "--crossing-price", price)
		if code != ExitUsage || !strings.Contains(out, "--crossing-price "+price) {
			t.Errorf("price %s: exit code %d and\n%s", price, code, out)
		}
	}
}
