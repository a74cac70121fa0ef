package ingress

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
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
