package engine

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	standin "github.com/turmericshunt/turmericshunt/internal/standin/engine"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// startEngine starts a stand-in engine that runs 50 times as fast as by default.
func startEngine(t *testing.T) protocol.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	e := &standin.Engine{Models: []string{"m"}, Speed: 50, Heartbeat: 20 * time.Millisecond}
	go func() { done <- e.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return protocol.Server{Name: "g1", Address: netip.MustParseAddrPort(l.Addr().String())}
}

func setFaults(t *testing.T, server protocol.Server, path, body string) {
	t.Helper()
	resp, err := http.Post("http://"+server.Address.String()+path, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

func submission(tokens int64) engineapi.Submit {
	return engineapi.Submit{
		Owner: engineapi.Owner{Request: "r/1", Attempt: 2}, Model: "m", Prompt: "tender",
		PromptTokens: 1000, MaxTokens: tokens, ExpiryMS: 60_000,
	}
}

// collect reads frames up to the end frame or an error and returns their text.
func collect(t *testing.T, s *Stream) (string, error) {
	t.Helper()
	defer s.Close()
	var text strings.Builder
	for {
		event, f, err := s.Next(t.Context())
		if err != nil {
			return text.String(), err
		}
		text.WriteString(f.Text)
		if event == engineapi.FrameEnd {
			return text.String(), nil
		}
	}
}

func kind(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func TestSubmit(t *testing.T) {
	server := startEngine(t)
	c := &Client{Host: protocol.Host{Name: "e1", Incarnation: 7}}
	s := submission(30)
	stream, err := c.Submit(t.Context(), server, s)
	if err != nil {
		t.Fatal(err)
	}
	text, err := collect(t, stream)
	if want := standin.ResponseText(s.Prompt, s.MaxTokens); err != nil || text != want {
		t.Errorf("got %q, %v; want %q", text, err, want)
	}
	status, err := c.Status(t.Context(), server, s.Owner)
	if err != nil || status.State != "done" || status.Host != "e1" {
		t.Errorf("status %+v, %v", status, err)
	}
}

func TestErrorKinds(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	tests := []struct {
		name   string
		change func(*engineapi.Submit, *protocol.Server)
		want   Kind
		notRun bool
	}{
		{"unknown model", func(s *engineapi.Submit, _ *protocol.Server) { s.Model = "x" }, KindRefused, true},
		{"larger than memory", func(s *engineapi.Submit, _ *protocol.Server) { s.PromptTokens = 1e6 }, KindRefused, true},
		{"no request", func(s *engineapi.Submit, _ *protocol.Server) { s.Request = "" }, KindInvalid, true},
		{"connection refused", func(_ *engineapi.Submit, server *protocol.Server) {
			server.Address = netip.MustParseAddrPort(closed.Addr().String())
		}, KindNotConnected, true},
	}
	server := startEngine(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, target := submission(5), server
			tt.change(&s, &target)
			_, err := (&Client{}).Submit(t.Context(), target, s)
			var e *Error
			if !errors.As(err, &e) || e.Kind != tt.want || e.NotRun() != tt.notRun {
				t.Errorf("got %v, want %s", err, tt.want)
			}
		})
	}
	if _, err := (&Client{}).Status(t.Context(), server, engineapi.Owner{Request: "x"}); kind(err) != KindNotFound {
		t.Errorf("got %v", err)
	}
}

// TestSilentStream checks that a stream whose connection carries no more data ends with KindTimeout, and that the
// response can be resumed over a new connection without missing or repeated text.
func TestSilentStream(t *testing.T) {
	server := startEngine(t)
	c := &Client{FrameTimeout: time.Second}
	s := submission(3000)
	stream, err := c.Submit(t.Context(), server, s)
	if err != nil {
		t.Fatal(err)
	}
	setFaults(t, server, "/v1/faults", `{"silent_connections":true}`)
	text, err := collect(t, stream)
	if kind(err) != KindTimeout {
		t.Fatalf("got %v", err)
	}
	offset := int64(len(strings.Fields(text)))
	stream, err = c.Resume(t.Context(), server, s.Owner, offset)
	if err != nil {
		t.Fatal(err)
	}
	rest, err := collect(t, stream)
	if err != nil || text+rest != standin.ResponseText(s.Prompt, s.MaxTokens) {
		t.Errorf("resumed response of %d bytes is incomplete or wrong: %v", len(text+rest), err)
	}
}

func TestBrokenStream(t *testing.T) {
	server := startEngine(t)
	c := &Client{}
	setFaults(t, server, "/v1/faults", `{"drop_end_marker":true}`)
	stream, err := c.Submit(t.Context(), server, submission(5))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := collect(t, stream); kind(err) != KindBroken {
		t.Errorf("got %v", err)
	}
}

func TestRelease(t *testing.T) {
	server := startEngine(t)
	c := &Client{Host: protocol.Host{Name: "e1"}}
	a, err := c.Reserve(t.Context(), server, engineapi.Reserve{
		Owner: engineapi.Owner{Request: "r", Attempt: 1}, Bytes: 1 << 30, ExpiryMS: 60_000,
	})
	if err != nil || a.Host != "e1" {
		t.Fatalf("%+v, %v", a, err)
	}
	setFaults(t, server, "/v1/faults", `{"lose_releases":1}`)
	if _, err := c.Release(t.Context(), server, a.ID, false); err == nil {
		t.Error("a lost release was confirmed")
	}
	if r, err := c.Release(t.Context(), server, a.ID, true); err != nil || r.Bytes != 1<<30 {
		t.Errorf("released %+v, %v", r, err)
	}
}
