package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// deadlineRecorder is a connection that counts how often a write deadline is set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines int
}

func (w *deadlineRecorder) SetWriteDeadline(time.Time) error { w.deadlines++; return nil }

func TestEachResponseSetsWriteDeadline(t *testing.T) {
	requests := []request{prompt(hello), prompt("{"), streamed(""), {"GET", "/v1/services/orders/stock", "", nil}, {"GET", "/v1/models/m", "", nil}}
	for _, q := range requests {
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		r := httptest.NewRequest(q.method, q.path, strings.NewReader(q.body))
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set(HeaderWorkspace, "open")
		newServer(newBackend()).Handler().ServeHTTP(w, r)
		if w.deadlines == 0 {
			t.Errorf("%s %s: no write deadline was set", q.method, q.path)
		}
	}
}

func TestCallerDisconnects(t *testing.T) {
	b := newBackend()
	server := newServer(b)
	s := httptest.NewServer(server.Handler())
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nTurmericshunt-Workspace: open\r\nContent-Length: 100\r\n\r\n{")
	conn.Close()
	s.Close() // waits for the request
	if server.Active() != 0 || b.job != nil {
		t.Errorf("%d requests active, job %v", server.Active(), b.job)
	}
}

// blockedWriter is a connection whose peer does not read, so that each write exceeds its deadline.
type blockedWriter struct{ deadlineRecorder }

func (w *blockedWriter) Write([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

func TestCallerStopsReading(t *testing.T) {
	b := newBackend()
	w := &blockedWriter{deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}}
	q := streamed("")
	r := httptest.NewRequest(q.method, q.path, strings.NewReader(q.body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderWorkspace, "open")
	newServer(b).Handler().ServeHTTP(w, r)
	if !errors.Is(b.deliverErr, os.ErrDeadlineExceeded) {
		t.Errorf("Deliver returned %v", b.deliverErr)
	}
}

func TestBodiesInProgressAreLimited(t *testing.T) {
	b := newBackend()
	server := newServer(b)
	server.MaxTotalBodyBytes = int64(len(hello)) + 10
	post := func() *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(hello))
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set(HeaderWorkspace, "open")
		w := httptest.NewRecorder()
		server.Handler().ServeHTTP(w, r)
		return w
	}
	var inner *httptest.ResponseRecorder
	b.onRun = func() {
		b.onRun = nil
		inner = post()
	}
	if outer := post(); outer.Code != http.StatusOK {
		t.Errorf("the first request got %d", outer.Code)
	}
	if inner.Code != http.StatusServiceUnavailable || inner.Header().Get(headerRetry) != "1" || inner.Header().Get(outcome.Header) != "not_run" {
		t.Errorf("a request during the first got %d, %v", inner.Code, inner.Header())
	}
	b.panics = true
	post()
	if reserved := server.reservedBodyBytes.Load(); reserved != 0 {
		t.Errorf("%d bytes are still reserved", reserved)
	}
}
