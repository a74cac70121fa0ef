package admin

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/spread"
	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
)

// fakeHost implements Host and ConfigurationStore, and records what it is given.
type fakeHost struct {
	ready       bool
	change      spread.Change
	limit       int
	err         error
	hasDeadline bool // Apply was called with a deadline
}

func (h *fakeHost) Ready() bool             { return h.ready }
func (h *fakeHost) Status() adminapi.Status { return adminapi.Status{Host: "e1"} }

func (h *fakeHost) Versions(context.Context) []adminapi.HostVersion {
	return []adminapi.HostVersion{{Host: "e1"}}
}
func (h *fakeHost) Current() *spread.Snapshot { return nil }

func (h *fakeHost) Apply(ctx context.Context, change spread.Change) (spread.AcceptedChange, error) {
	h.change = change
	_, h.hasDeadline = ctx.Deadline()
	return spread.AcceptedChange{ID: "c1", Revision: 7}, h.err
}

func (h *fakeHost) History(_ context.Context, limit int) ([]spread.HistoryRecord, error) {
	h.limit = limit
	return []spread.HistoryRecord{{Record: manifest.Record{
		Revision: 7,
		Change:   manifest.Change{ID: "c1", Section: "models", Time: time.Unix(0, 0)},
	}}}, nil
}

// digest returns the digest of a token in upper case, which Operator.SHA256 may have.
func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return strings.ToUpper(hex.EncodeToString(sum[:]))
}

func newServer(h *fakeHost) *Server {
	return &Server{
		Configuration: h, Host: h, Metrics: http.NotFoundHandler(),
		Operators: []Operator{
			{Name: "all", SHA256: digest("a")},
			{Name: "models-team", SHA256: digest("m"), Sections: []string{"models"}},
			{Name: "certified", Sections: []string{"models"}},
		},
	}
}

type request struct {
	method, path, body, token, certificate string
}

func send(s *Server, q request) (int, string) {
	r := httptest.NewRequest(q.method, q.path, strings.NewReader(q.body))
	if q.token != "" {
		r.Header.Set("Authorization", "Bearer "+q.token)
	}
	if q.certificate != "" {
		cert := &x509.Certificate{Subject: pkix.Name{CommonName: q.certificate}}
		r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}}
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	body, _ := io.ReadAll(w.Result().Body)
	return w.Code, strings.TrimSpace(string(body))
}

const (
	sections    = "/v1/config/sections/"
	validChange = `{"id":"c1","base":3,"reason":"r","body":"[]"}`
)

func TestAuthentication(t *testing.T) {
	tests := []struct {
		name   string
		call   request
		status int
		author string
	}{
		{"no token", request{method: "GET", path: "/v1/status"}, 401, ""},
		{"wrong token", request{method: "GET", path: "/v1/status", token: "x"}, 401, ""},
		{"empty token", request{method: "PUT", path: sections + "models", body: validChange, token: " "}, 401, ""},
		{"token", request{method: "GET", path: "/v1/status", token: "m"}, 200, ""},
		{"token changes its section", request{method: "PUT", path: sections + "models", body: validChange, token: "m"}, 200, "models-team"},
		{"token changes another section", request{method: "PUT", path: sections + "services", body: validChange, token: "m"}, 403, ""},
		{"token for all sections", request{method: "PUT", path: sections + "services", body: validChange, token: "a"}, 200, "all"},
		{"certificate reads", request{method: "GET", path: "/v1/status", certificate: "stranger"}, 200, ""},
		{"certificate that is not listed", request{method: "PUT", path: sections + "models", body: validChange, certificate: "stranger"}, 403, ""},
		{"certificate changes its section", request{method: "PUT", path: sections + "models", body: validChange, certificate: "certified"}, 200, "certified"},
		{"certificate changes another section", request{method: "PUT", path: sections + "services", body: validChange, certificate: "certified"}, 403, ""},
		{"health needs no token", request{method: "GET", path: "/healthz"}, 200, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := new(fakeHost)
			s := newServer(h)
			s.ClientCerts = tc.call.certificate != ""
			status, body := send(s, tc.call)
			if status != tc.status || h.change.Author != tc.author {
				t.Errorf("got %d by %q: %s", status, h.change.Author, body)
			}
		})
	}
}

func TestAuthenticationWithoutOperators(t *testing.T) {
	h := new(fakeHost)
	s := newServer(h)
	s.Operators = nil
	if status, _ := send(s, request{method: "PUT", path: sections + "models", body: validChange}); status != 200 || h.change.Author != "local" {
		t.Errorf("on loopback: got %d by %q", status, h.change.Author)
	}
	s.ClientCerts = true
	if status, _ := send(s, request{method: "GET", path: "/v1/status"}); status != 401 {
		t.Errorf("without a certificate: got %d", status)
	}
	if status, _ := send(s, request{method: "PUT", path: sections + "models", body: validChange, certificate: "x"}); status != 200 || h.change.Author != "x" {
		t.Errorf("with a certificate: got %d by %q", status, h.change.Author)
	}
}

func TestApply(t *testing.T) {
	conflict := &manifest.Error{Op: "accept change", Kind: manifest.KindConflict, Err: errors.New("came first"), Diff: "-a\n+b"}
	unknown := &manifest.Error{Op: "accept change", Kind: manifest.KindUnknown, Err: errors.New("may be")}
	wrong := &document.Error{Op: "check", Kind: document.KindInvalid, Path: "models[0]", Err: errors.New("bad")}
	tests := []struct {
		name, section, body string
		err                 error
		status              int
		want                string
	}{
		{"accepted", "models", validChange, nil, 200, `{"id":"c1","revision":7}`},
		{"unknown section", "x", validChange, nil, 404, `"kind":"not_found","message":"no section \"x\""`},
		{"not JSON", "models", "{", nil, 400, `"kind":"invalid"`},
		{"unknown field", "models", `{"reason":"r","bas":1}`, nil, 400, `unknown field \"bas\"`},
		{"no reason", "models", `{"base":3,"body":"[]"}`, nil, 400, `reason: must be set`},
		{"too large", "models", `{"body":"` + strings.Repeat("x", maxChangeBytes) + `"}`, nil, 413, `"kind":"too_large"`},
		{"conflict", "models", validChange, &spread.Error{Op: "apply", Kind: spread.KindRefused, Err: conflict}, 409, `"kind":"conflict","message":"came first","diff":"-a\n+b"`},
		{"unknown", "models", validChange, &spread.Error{Op: "apply", Kind: spread.KindUnknown, Err: unknown}, 503, `"kind":"unknown"`},
		{"invalid", "models", validChange, &spread.Error{Op: "apply", Kind: spread.KindRefused, Err: wrong}, 400, `"kind":"invalid"`},
		{"other error", "models", validChange, errors.New("x"), 500, `"kind":"unavailable"`},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			h := &fakeHost{err: tc.err}
			status, body := send(newServer(h), request{method: "PUT", path: sections + tc.section, body: tc.body, token: "a"})
			if status != tc.status || !strings.Contains(body, tc.want) {
				t.Errorf("got %d: %s", status, body)
			}
			if reached := h.change.ID == "c1"; reached != (tc.body == validChange && tc.section == "models") || reached && (h.change.Base != 3 || !h.hasDeadline) {
				t.Errorf("change %+v", h.change)
			}
		})
	}
}

func TestHistoryLimit(t *testing.T) {
	tests := []struct {
		query  string
		status int
		limit  int
	}{{"", 200, 20}, {"?limit=500", 200, 500}, {"?limit=501", 400, 0}, {"?limit=0", 400, 0}, {"?limit=x", 400, 0}}
	for _, tc := range tests {
		h := new(fakeHost)
		status, body := send(newServer(h), request{method: "GET", path: "/v1/config/history" + tc.query, token: "a"})
		if status != tc.status || h.limit != tc.limit {
			t.Errorf("%q: got %d with limit %d: %s", tc.query, status, h.limit, body)
		}
	}
}

func TestReady(t *testing.T) {
	h := new(fakeHost)
	if status, _ := send(newServer(h), request{method: "GET", path: "/readyz"}); status != http.StatusServiceUnavailable {
		t.Errorf("not ready: got %d", status)
	}
	h.ready = true
	if status, _ := send(newServer(h), request{method: "GET", path: "/readyz"}); status != http.StatusOK {
		t.Errorf("ready: got %d", status)
	}
}

func TestNoConfigurationYet(t *testing.T) {
	for _, path := range []string{"/v1/config", sections + "models", "/v1/config/status"} {
		status, body := send(newServer(new(fakeHost)), request{method: "GET", path: path, token: "a"})
		if status != http.StatusOK || !json.Valid([]byte(body)) {
			t.Errorf("%s: got %d: %s", path, status, body)
		}
	}
}
