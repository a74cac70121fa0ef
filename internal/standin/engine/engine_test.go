package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// serve starts a stand-in that runs at 100 times real time and has the model m loaded. It returns the stand-in's URL.
func serve(t *testing.T, e *Engine) string {
	t.Helper()
	e.Models = []string{"m"}
	e.Speed = 100
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- e.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return "http://" + l.Addr().String()
}

// call sends a request with a JSON body and returns the status of the response. It decodes the body of the response
// into into, or copies it if into is a *string.
func call(t *testing.T, method, url string, body, into any) int {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, _ := http.NewRequest(method, url, bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ = io.ReadAll(resp.Body)
	if s, ok := into.(*string); ok {
		*s = string(data)
	} else if into != nil && json.Unmarshal(data, into) != nil {
		t.Fatalf("%s %s: body is not the expected JSON: %s", method, url, data)
	}
	return resp.StatusCode
}

// submission returns a submission of the first attempt of a request, with the request's name in its prompt.
func submission(request string) engineapi.Submit {
	return engineapi.Submit{
		Owner: engineapi.Owner{Host: "h", Incarnation: 1, Request: request, Attempt: 1}, Model: "m",
		Prompt: "price of " + request, PromptTokens: 1000, MaxTokens: 20, ExpiryMS: 60_000,
	}
}

// text returns the joined text of all frames of a response.
func text(t *testing.T, events string) string {
	t.Helper()
	var b strings.Builder
	for line := range strings.Lines(events) {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var f engineapi.Frame
		if err := json.Unmarshal([]byte(data), &f); err != nil {
			t.Fatal(err)
		}
		b.WriteString(f.Text)
	}
	return b.String()
}

func TestSubmitAndResume(t *testing.T) {
	url := serve(t, &Engine{})
	s := submission("a")
	var full, rest string
	call(t, http.MethodPost, url+"/v1/sequences", s, &full)
	want := ResponseText(s.Prompt, s.MaxTokens)
	if got := text(t, full); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if !strings.Contains(full, "event: end\n") || !strings.Contains(full, `"length":20`) {
		t.Errorf("no end marker in %q", full)
	}
	call(t, http.MethodGet, url+"/v1/sequences/a/1/stream?offset=5", nil, &rest)
	if got := text(t, rest); got != strings.TrimPrefix(want, ResponseText(s.Prompt, 5)) {
		t.Errorf("resumed with %q", got)
	}
	var remaining engineapi.Allocations
	call(t, http.MethodGet, url+"/v1/allocations", nil, &remaining)
	if len(remaining.Allocations) != 0 {
		t.Errorf("allocations left after the sequence has ended: %+v", remaining)
	}
}

func TestPrefillExportRelease(t *testing.T) {
	url := serve(t, &Engine{})
	s := submission("a")
	s.PrefillOnly = true
	call(t, http.MethodPost, url+"/v1/sequences", s, new(string))
	var export engineapi.Allocation
	call(t, http.MethodPost, url+"/v1/sequences/a/1/export", nil, &export)
	if export.ID != "a.1.export" || export.Bytes != 1000*128<<10 || export.Host != "h" {
		t.Errorf("export %+v", export)
	}
	var released engineapi.Released
	call(t, http.MethodDelete, url+"/v1/allocations/a.1.export", nil, &released)
	if released.Bytes != export.Bytes {
		t.Errorf("released %+v", released)
	}
}

func TestLateSubmitAfterCancel(t *testing.T) {
	url := serve(t, &Engine{})
	call(t, http.MethodDelete, url+"/v1/sequences/a/1", nil, nil)
	var refusal engineapi.Refusal
	call(t, http.MethodPost, url+"/v1/sequences", submission("a"), &refusal)
	if refusal.Kind != engineapi.RefusalInvalid {
		t.Errorf("submission of a canceled attempt: got refusal %+v", refusal)
	}
}

func TestCommands(t *testing.T) {
	tests := []struct {
		name    string
		engine  *Engine
		fencing uint64
		want    int
	}{
		{"checks, old number", &Engine{ChecksFencing: true}, 4, http.StatusConflict},
		{"checks, same number", &Engine{ChecksFencing: true}, 5, http.StatusOK},
		{"does not check, old number", &Engine{}, 4, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			url := serve(t, tt.engine)
			call(t, http.MethodPost, url+"/v1/orders", engineapi.Command{Fencing: 5, Kind: "set_role", Role: "long"}, nil)
			load := engineapi.Command{Fencing: tt.fencing, Kind: "load_model", Model: "n", Version: "2"}
			if got := call(t, http.MethodPost, url+"/v1/orders", load, nil); got != tt.want {
				t.Errorf("command: status %d, want %d", got, tt.want)
			}
			var s engineapi.State
			call(t, http.MethodGet, url+"/v1/state", nil, &s)
			if s.Role != "long" || (len(s.Loaded) == 2) != (tt.want == http.StatusOK) {
				t.Errorf("state %+v", s)
			}
		})
	}
}

func TestCrashOnPrompt(t *testing.T) {
	code := make(chan int, 1)
	url := serve(t, &Engine{Exit: func(c int) { code <- c }})
	call(t, http.MethodPost, url+"/v1/faults", engineapi.Faults{CrashOn: "poison"}, nil)
	s := submission("poison")
	call(t, http.MethodPost, url+"/v1/sequences", s, new(string))
	if got := <-code; got != crashExitCode {
		t.Errorf("exit code %d", got)
	}
}

func TestSilentConnections(t *testing.T) {
	url := serve(t, &Engine{})
	old := &http.Client{Transport: &http.Transport{}}
	get := func(c *http.Client, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/load", nil)
		resp, err := c.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		return err
	}
	if err := get(old, time.Minute); err != nil {
		t.Fatal(err)
	}
	call(t, http.MethodPost, url+"/v1/faults", engineapi.Faults{SilentConnections: true}, nil)
	if get(old, 100*time.Millisecond) == nil {
		t.Error("an old connection still works")
	}
	if err := get(&http.Client{Transport: &http.Transport{}}, time.Minute); err != nil {
		t.Errorf("a new connection fails: %v", err)
	}
}
