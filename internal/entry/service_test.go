package entry

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/service"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

func TestServiceCall(t *testing.T) {
	b := newBackend()
	resp := send(t, b, request{"GET", "/v1/services/orders/stock/a%20b%2Fc?q=1", "", map[string]string{
		HeaderWorkspace: "keyed", "Authorization": "Bearer secret", "Accept": "text/plain",
	}})
	body, _ := io.ReadAll(resp.Body)
	if string(body) != "stock" || resp.Header.Get(HeaderBackendServer) != "s1" || resp.Header.Get(HeaderHost) != "e1" ||
		resp.Header.Get(outcome.Header) != "completed" {
		t.Errorf("got %q, %v", body, resp.Header)
	}
	if b.call.Path != "/stock/a b/c" || b.call.Query != "q=1" || !b.call.Idempotent || b.call.Header.Get("Accept") != "text/plain" {
		t.Errorf("call %+v", b.call)
	}
	if b.call.Header.Get("Authorization") != "" || b.call.Header.Get(HeaderWorkspace) != "" {
		t.Errorf("the service received %v", b.call.Header)
	}
	b.serviceResponse.Body = nil
	if resp := send(t, b, request{"HEAD", "/v1/services/orders/stock", "", nil}); resp.Header.Get("Content-Length") != "5" {
		t.Errorf("HEAD got %v", resp.Header)
	}
}

func TestServiceFails(t *testing.T) {
	tests := []struct {
		kind service.Kind
		want outcome.Outcome
	}{{service.KindNotSent, outcome.NotRun}, {service.KindRefused, outcome.NotRun}, {service.KindBroken, outcome.Failed}}
	for _, tc := range tests {
		b := newBackend()
		b.err = &service.Error{Op: "call", Kind: tc.kind, Err: errors.New("dial tcp 10.0.0.1:80")}
		resp := send(t, b, request{"GET", "/v1/services/orders/stock", "", nil})
		f := readFailure(t, resp)
		if f.Outcome != tc.want || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerRetry) != "1" || strings.Contains(f.Message, "10.0.0.1") {
			t.Errorf("%s: got %d %+v", tc.kind, resp.StatusCode, f)
		}
	}
}

func TestOrder(t *testing.T) {
	paths := []string{"/orders", "/orders/7", "//orders", "/x/../orders", "/./orders", "/%6frders"}
	for _, p := range paths {
		b := newBackend()
		resp := send(t, b, request{"POST", "/v1/services/orders" + p, "{}", nil})
		if b.order == nil {
			t.Errorf("%s did not run as an order", p)
			continue
		}
		key := resp.Header.Get(HeaderIdempotencyKey)
		if key == "" || key != b.order.Key || resp.StatusCode != http.StatusCreated || resp.Header.Get(HeaderReplayed) != "" {
			t.Errorf("%s: got %d, %v", p, resp.StatusCode, resp.Header)
		}
	}
	b := newBackend()
	b.replayed = true
	resp := send(t, b, request{
		"POST", "/v1/services/orders/orders", "{}",
		map[string]string{HeaderIdempotencyKey: "k", HeaderResend: "true"},
	})
	if b.order.Key != "k" || !b.order.Resend || b.order.Workspace != "open" || resp.Header.Get(HeaderReplayed) != "true" {
		t.Errorf("got %+v, %v", b.order, resp.Header)
	}
	b.err = &outcome.Error{Op: "order", Kind: outcome.KindOutcomeUnknown, Outcome: outcome.Unknown}
	if resp := send(t, b, request{"POST", "/v1/services/orders/orders", "", nil}); resp.Header.Get(outcome.Header) != "unknown" || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %d, %v", resp.StatusCode, resp.Header)
	}
}
