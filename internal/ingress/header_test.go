package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/account"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/relay"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// limitedCache holds a configuration without routes that limits the header of a request.
type limitedCache struct{ limit int }

func (c limitedCache) Active() (*catalog.Configuration, time.Time) {
	return catalog.New(1, catalog.Limits{MaxHeaderBytes: c.limit}, nil, nil, nil, false), steady.Now()
}

// Guards against DENIED: the configuration allows longer headers than the server itself, which refuses them with 431.
func TestConfiguredHeaderLimitHolds(t *testing.T) {
	for _, test := range []struct{ limit, header, want int }{
		{0, 60 << 10, http.StatusNotFound},
		{0, 80 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{16 << 10, 12 << 10, http.StatusNotFound},
		{16 << 10, 40 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{128 << 10, 90_000, http.StatusNotFound},
		{128 << 10, 126 << 10, http.StatusNotFound},
		{128 << 10, 140 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{1 << 30, 1000 << 10, http.StatusNotFound},
	} {
		log := eventlog.New(io.Discard, "h")
		g := &Ingress{
			Cache: limitedCache{test.limit}, Decoder: keyDecoder{}, Log: log, Metrics: tally.NoopScope,
			Account: &account.Account{Bytes: 64 << 20}, Relay: &relay.Relay{Marker: noMarker{}, Log: log, Metrics: tally.NoopScope},
		}
		g.Init()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = g.Run(l) }()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/1", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Note", strings.Repeat("x", test.header))
		resp, err := http.DefaultTransport.RoundTrip(req)
		switch {
		case err != nil && test.want == http.StatusRequestHeaderFieldsTooLarge: // closed while the caller still writes
		case err != nil:
			t.Errorf("limit %d, header of %d bytes: %v", test.limit, test.header, err)
		case resp.StatusCode != test.want:
			t.Errorf("limit %d, header of %d bytes: status %d, want %d", test.limit, test.header, resp.StatusCode, test.want)
		}
		if err == nil {
			_ = resp.Body.Close()
		}
		_ = l.Close()
		log.Close()
	}
}
