package cli

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
)

const checkConfigFolder = "testdata/checkconfig/"

// Guards against a fault that isn't found, at the wrong position or reported with the wrong exit code, and against a warning about
// a configuration that is correct.
func TestCheckConfigFindsFaults(t *testing.T) {
	for _, test := range []struct {
		name         string
		code, strict int // exit codes without and with --strict
	}{
		{"correct", ExitOK, ExitOK},
		{"syntax", ExitInvalid, ExitInvalid},
		{"type", ExitInvalid, ExitInvalid},
		{"no_version", ExitInvalid, ExitInvalid},
		{"hidden_route", ExitOK, ExitRefused},
		{"prefix", ExitOK, ExitRefused},
		{"services", ExitOK, ExitRefused},
		{"keys", ExitOK, ExitRefused},
		{"regions", ExitOK, ExitRefused},
		{"limits", ExitOK, ExitRefused},
		{"cold", ExitOK, ExitRefused},
	} {
		arguments := []string{
			"gateway", "check-config", "--settings", checkConfigFolder + "settings.toml",
			checkConfigFolder + test.name + ".json",
		}
		out, code := runProgram(t, arguments...)
		if code != test.code {
			t.Errorf("%s: exit code %d, want %d", test.name, code, test.code)
		}
		goldie.New(t).Assert(t, "checkconfig/"+test.name, []byte(out))
		if _, code := runProgram(t, append(arguments, "--strict")...); code != test.strict {
			t.Errorf("%s: exit code %d with --strict, want %d", test.name, code, test.strict)
		}
	}
}

// Guards against warnings that need the settings of a host and are given without them.
func TestCheckConfigWithoutSettings(t *testing.T) {
	if out, code := runProgram(t, "gateway", "check-config", "--strict", checkConfigFolder+"correct.json"); code != ExitOK {
		t.Errorf("exit code %d\n%s", code, out)
	}
	out, _ := runProgram(t, "gateway", "check-config", checkConfigFolder+"limits.json")
	if strings.Contains(out, "host") && strings.Contains(out, "stops within") || strings.Contains(out, "budget") {
		t.Errorf("limits of a host are named without its settings:\n%s", out)
	}
}

// Guards against differences from the active version that are missing, or that show the keys of workspaces, and against another
// output for a program than for people.
func TestCheckConfigShowsDifferences(t *testing.T) {
	active, err := os.ReadFile(checkConfigFolder + "correct.json")
	if err != nil {
		t.Fatal(err)
	}
	store := &metastore.Store{}
	store.Put("op/config", active)
	server := httptest.NewServer(store)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	fromStore, code := runProgram(t, "gateway", "check-config", "--against", address, checkConfigFolder+"keys.json")
	if code != ExitOK {
		t.Errorf("exit code %d", code)
	}
	goldie.New(t).Assert(t, "checkconfig/differences", []byte(fromStore))
	fromFile, _ := runProgram(t, "gateway", "check-config", "--against", checkConfigFolder+"correct.json", checkConfigFolder+"keys.json")
	if fromFile != fromStore {
		t.Errorf("from a file:\n%s", fromFile)
	}
	out, code := runProgram(t, "gateway", "check-config", "--json", "--against", address, checkConfigFolder+"keys.json")
	if code != ExitOK {
		t.Errorf("exit code %d with --json", code)
	}
	goldie.New(t).Assert(t, "checkconfig/differences_json", []byte(out))
	if strings.Contains(fromStore+out, "demo-key") {
		t.Error("a key is shown")
	}
	same, code := runProgram(t, "gateway", "check-config", "--against", address, checkConfigFolder+"correct.json")
	if code != ExitOK || !strings.Contains(same, "no difference") {
		t.Errorf("exit code %d for the active version\n%s", code, same)
	}
	server.Close()
	for _, against := range []string{address, filepath.Join(t.TempDir(), "missing.json")} {
		if _, code := runProgram(t, "gateway", "check-config", "--against", against, checkConfigFolder+"correct.json"); code != ExitFailed {
			t.Errorf("exit code %d for an active version that can't be read", code)
		}
	}
}
