package ingress

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/eventlog"
)

// Messages that net/http writes to the server's error log, such as panics of handlers, get into the event log.
func TestServerErrorsAreLogged(t *testing.T) {
	var out bytes.Buffer
	log := eventlog.New(&out, "h")
	g := &Ingress{Log: log}
	g.Init()
	g.server.ErrorLog.Printf("http: panic serving %s: %s", "10.0.0.1:1", "the cause")
	log.Close()
	if text := out.String(); !strings.Contains(text, `"event":"server_error"`) || !strings.Contains(text, "the cause") {
		t.Errorf("logged %q", text)
	}
	if g.server.Handler != http.Handler(g) {
		t.Error("the server doesn't serve the ingress")
	}
}
