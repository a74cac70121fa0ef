package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/payload"
	"github.com/turmericshunt/turmericshunt/internal/relay"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// Messages that net/http writes to the server's error log, such as panics of handlers, get into the event log.
func TestServerErrorsAreLogged(t *testing.T) {
	var out bytes.Buffer
	log := eventlog.New(&out, "h")
	g := &Ingress{Log: log}
	g.Init()
	g.server.HTTP.ErrorLog.Printf("http: panic serving %s: %s", "10.0.0.1:1", "the cause")
	log.Close()
	if text := out.String(); !strings.Contains(text, `"event":"server_error"`) || !strings.Contains(text, "the cause") {
		t.Errorf("logged %q", text)
	}
	if g.server.HTTP.Handler != http.Handler(g) {
		t.Error("the server doesn't serve the ingress")
	}
}

// revokingCache holds a configuration that was verified too long ago. As soon as that has been read, a newer
// configuration without the key replaces it and is verified.
type revokingCache struct{ reads int }

func (c *revokingCache) Active() (*catalog.Configuration, time.Time) {
	c.reads++
	routes := []*catalog.Route{{Name: "r", Host: "a.example", Prefix: "/"}}
	if c.reads == 1 {
		keys := map[string]*catalog.Workspace{"k": {Name: "w"}}
		return catalog.New(1, catalog.Limits{}, routes, nil, keys, true), steady.Now().Add(-time.Minute)
	}
	return catalog.New(2, catalog.Limits{}, routes, nil, nil, true), steady.Now()
}

// keyDecoder decodes every request as a call with the key k.
type keyDecoder struct{}

func (keyDecoder) DecodeRequestHead(r *http.Request, received time.Time) (*call.Call, error) {
	return &call.Call{ID: "1", Method: r.Method, Host: r.Host, Target: "/1", APIKey: "k", Received: received}, nil
}

// noMarker sets no request ID in responses.
type noMarker struct{}

func (noMarker) SetRequestID(http.Header, string) {}

// A configuration that arrives while a request is being admitted must not vouch for the keys of the one before it: the
// verified time belongs to the configuration that the request is checked against.
func TestNewerConfigurationDoesNotVouchForRevokedKey(t *testing.T) {
	log := eventlog.New(io.Discard, "h")
	t.Cleanup(log.Close)
	g := &Ingress{
		Cache: &revokingCache{}, Decoder: keyDecoder{}, Log: log, Metrics: tally.NoopScope,
		Relay: &relay.Relay{Marker: noMarker{}, Log: log, Metrics: tally.NoopScope},
	}
	g.SetRevocationTime(5 * time.Second)
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://a.example/1", http.NoBody))
	if w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), "out of date") {
		t.Errorf("status %d, %q; want a refusal because the configuration may be out of date", w.Code, w.Body.String())
	}
}

// Guards against bodies that together take more memory than the host has, so that the process is killed with all its requests (review
// case 2): what doesn't fit is refused, with the connection kept, and what is small isn't refused for it.
func TestBodiesWithoutMemoryAreRefused(t *testing.T) {
	const limit = 1 << 20
	log := eventlog.New(io.Discard, "h")
	t.Cleanup(log.Close)
	g := &Ingress{
		Cache: &revokingCache{}, Log: log, Metrics: tally.NoopScope, Payloads: &payload.Budget{Limit: limit},
		Relay: &relay.Relay{Marker: noMarker{}, Log: log, Metrics: tally.NoopScope},
	}
	held, err := g.Payloads.Read(strings.NewReader(strings.Repeat("x", limit)), limit, limit)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call.Call{CallerTimeout: 5 * time.Second}
		if g.readBody(w, r, c, catalog.Limits{}) {
			_, _ = fmt.Fprint(w, len(c.Body))
			g.Payloads.Release(c.Body)
		}
	}))
	t.Cleanup(server.Close)
	var connections int
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			connections++
		}
	}})
	// send sends a body of the given size, in chunks if its length isn't told.
	send := func(size int, chunked bool) (status int, body, retryAfter string) {
		t.Helper()
		var reader io.Reader = strings.NewReader(strings.Repeat("y", size))
		if chunked {
			reader = struct{ io.Reader }{reader}
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, reader)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := server.Client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text), resp.Header.Get("Retry-After")
	}
	for _, chunked := range []bool{false, true} {
		if status, _, retryAfter := send(limit/2, chunked); status != http.StatusServiceUnavailable || retryAfter == "" {
			t.Errorf("chunked %v: status %d, Retry-After %q; want a refusal", chunked, status, retryAfter)
		}
		if status, body, _ := send(1000, chunked); status != http.StatusOK || body != "1000" {
			t.Errorf("chunked %v: a small body got status %d, %q", chunked, status, body)
		}
	}
	g.Payloads.Release(held)
	if status, body, _ := send(limit/2, false); status != http.StatusOK || body != fmt.Sprint(limit/2) {
		t.Errorf("status %d, %q once there is memory", status, body)
	}
	if connections != 1 {
		t.Errorf("%d connections, want 1", connections)
	}
	if used := g.Payloads.Used(); used != 0 {
		t.Errorf("%d bytes are in use at the end", used)
	}
}

// Guards against a workspace whose regions widen those of a route, or the other way round, and against a call that goes anywhere
// since no region is left (incident HOME).
func TestRegionsOfRouteAndWorkspaceBothApply(t *testing.T) {
	for _, test := range []struct {
		route, workspace, want []string
		ok                     bool
	}{
		{nil, nil, nil, true},
		{[]string{"n"}, nil, []string{"n"}, true},
		{nil, []string{"n", "s"}, []string{"n", "s"}, true},
		{[]string{"n", "e"}, []string{"s", "n"}, []string{"n"}, true},
		{[]string{"n"}, []string{"s"}, nil, false},
	} {
		got, ok := allowedRegions(&catalog.Route{AllowedRegions: test.route}, &catalog.Workspace{AllowedRegions: test.workspace})
		if !slices.Equal(got, test.want) || ok != test.ok {
			t.Errorf("route %v, workspace %v: %v, %v", test.route, test.workspace, got, ok)
		}
	}
	if got, ok := allowedRegions(&catalog.Route{AllowedRegions: []string{"n"}}, nil); !ok || !slices.Equal(got, []string{"n"}) {
		t.Errorf("without a workspace: %v, %v", got, ok)
	}
	log := eventlog.New(io.Discard, "h")
	t.Cleanup(log.Close)
	g := &Ingress{Log: log, Metrics: tally.NoopScope, Relay: &relay.Relay{Marker: noMarker{}, Log: log, Metrics: tally.NoopScope}}
	routes := []*catalog.Route{{Name: "r", Host: "a.example", Prefix: "/", AllowedRegions: []string{"n"}}}
	keys := map[string]*catalog.Workspace{"k": {Name: "w", AllowedRegions: []string{"s"}}}
	w := httptest.NewRecorder()
	c := &call.Call{ID: "1", Host: "a.example", Target: "/1", APIKey: "k", Received: steady.Now()}
	admitted := g.admit(w, c, catalog.New(1, catalog.Limits{}, routes, nil, keys, true), steady.Now())
	if admitted || w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("admitted %v, status %d, Retry-After %q", admitted, w.Code, w.Header().Get("Retry-After"))
	}
}
