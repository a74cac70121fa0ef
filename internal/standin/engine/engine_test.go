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

// serve starts a fast stand-in and returns its URL.
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
		t.Fatalf("%s %s answers %s", method, url, data)
	}
	return resp.StatusCode
}

func submission(request string) engineapi.Submit {
	return engineapi.Submit{
		Owner: engineapi.Owner{Host: "h", Incarnation: 1, Request: request, Attempt: 1}, Model: "m",
		Prompt: "price of " + request, PromptTokens: 1000, MaxTokens: 20, ExpiryMS: 60_000,
	}
}

// text joins the token frames of an answer.
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
	var whole, rest string
	call(t, http.MethodPost, url+"/v1/sequences", s, &whole)
	want := Answer(s.Prompt, s.MaxTokens)
	if got := text(t, whole); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if !strings.Contains(whole, "event: end\n") || !strings.Contains(whole, `"length":20`) {
		t.Errorf("no end marker in %q", whole)
	}
	call(t, http.MethodGet, url+"/v1/sequences/a/1/stream?offset=5", nil, &rest)
	if got := text(t, rest); got != strings.TrimPrefix(want, Answer(s.Prompt, 5)) {
		t.Errorf("resumed with %q", got)
	}
	var held engineapi.Allocations
	call(t, http.MethodGet, url+"/v1/allocations", nil, &held)
	if len(held.Allocations) != 0 {
		t.Errorf("held after the end: %+v", held)
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
		t.Errorf("a canceled attempt was answered with %+v", refusal)
	}
}

func TestOrders(t *testing.T) {
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
			call(t, http.MethodPost, url+"/v1/orders", engineapi.Order{Fencing: 5, Kind: "set_role", Role: "long"}, nil)
			load := engineapi.Order{Fencing: tt.fencing, Kind: "load_model", Model: "n", Version: "2"}
			if got := call(t, http.MethodPost, url+"/v1/orders", load, nil); got != tt.want {
				t.Errorf("answered %d, want %d", got, tt.want)
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
	get := func(c *http.Client, patience time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
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
