package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/chat"
	"github.com/turmericshunt/turmericshunt/internal/dispatch"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/order"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/service"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const maxBody = 4096

// fakeBackend implements ConfigurationSource, PromptRunner and ServiceCaller, and records what it is given.
type fakeBackend struct {
	document        *document.Document
	pieces          []string
	err             error
	panics          bool
	job             *dispatch.Job
	call            *service.Call
	order           *order.Request
	serviceResponse service.Response
	replayed        bool
	onRun           func() // called while a prompt runs, if set
	deliverErr      error  // error of a piece that could not be delivered to the caller
}

func (b *fakeBackend) Document() *document.Document { return b.document }

func (b *fakeBackend) Run(_ context.Context, job *dispatch.Job, sink dispatch.Sink) (dispatch.Result, error) {
	b.job = job
	if b.onRun != nil {
		b.onRun()
	}
	for _, p := range b.pieces {
		if err := sink.Deliver(p); err != nil {
			b.deliverErr = err
			return dispatch.Result{}, err
		}
	}
	if b.panics {
		panic("a fault")
	}
	return dispatch.Result{Server: "g1", OutputTokens: 2, FinishReason: "stop"}, b.err
}

func (b *fakeBackend) Do(_ context.Context, call *service.Call) (service.Response, error) {
	b.call = call
	return b.serviceResponse, b.err
}

func (b *fakeBackend) RunOrder(_ context.Context, q *order.Request) (order.Response, error) {
	b.order = q
	if b.panics {
		panic("a fault")
	}
	return order.Response{
		Status: http.StatusCreated, Body: []byte("done"), Outcome: outcome.Completed,
		Replayed: b.replayed,
	}, b.err
}

func newBackend() *fakeBackend {
	digest := sha256.Sum256([]byte("secret"))
	return &fakeBackend{
		pieces: []string{"a\n", "b"},
		serviceResponse: service.Response{
			Status: http.StatusOK, Server: "s1", Body: []byte("stock"),
			Header: http.Header{"Content-Length": {"5"}, "Turmericshunt-Host": {"x"}},
		},
		document: &document.Document{
			Models: []document.Model{{Name: "m", MaxPromptTokens: 200, MaxOutputTokens: 100, BytesPerToken: 4}},
			Workspaces: []document.Workspace{
				{Name: "open"},
				{Name: "keyed", KeyDigests: []string{hex.EncodeToString(digest[:])}},
			},
			Services:      []document.Service{{Name: "orders"}},
			NonIdempotent: []document.NonIdempotentRule{{Service: "orders", Method: "POST", PathPrefix: "/orders"}},
		},
	}
}

func newServer(b *fakeBackend) *Server {
	return &Server{
		Host: protocol.Host{Name: "e1", Incarnation: 1}, Configuration: b, Prompts: b, Services: b,
		MaxBodyBytes: maxBody, Metrics: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	}
}

type request struct {
	method, path, body string
	header             map[string]string
}

func send(t *testing.T, b *fakeBackend, q request) *http.Response {
	t.Helper()
	r := httptest.NewRequest(q.method, q.path, strings.NewReader(q.body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderWorkspace, "open")
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	newServer(b).Handler().ServeHTTP(w, r)
	return w.Result()
}

// hello is the body of a valid chat request.
const hello = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`

// streamed returns a request for a streamed response, with rest as further JSON fields.
func streamed(rest string) request {
	return request{"POST", "/v1/chat/completions", `{"stream":true` + rest + `,"model":"m","messages":[{"role":"user","content":"hi"}]}`, nil}
}

// prompt returns a chat request with the given pairs of header names and values.
func prompt(body string, header ...string) request {
	q := request{"POST", "/v1/chat/completions", body, map[string]string{}}
	for i := 0; i < len(header); i += 2 {
		q.header[header[i]] = header[i+1]
	}
	return q
}

func readFailure(t *testing.T, resp *http.Response) chat.ErrorDetails {
	t.Helper()
	var f chat.ErrorResponse
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
		t.Fatal(err)
	}
	return f.Error
}

func TestRefusals(t *testing.T) {
	long := `{"model":"m","messages":[{"role":"user","content":"` + strings.Repeat("x", 1000) + `"}]}`
	tests := []struct {
		name    string
		request request
		status  int
		kind    outcome.Kind
		message string
	}{
		{"bad JSON", prompt(`{"model":`), 400, outcome.KindBadRequest, "not JSON at byte 9: unexpected end of JSON input"},
		{"unknown model", prompt(strings.Replace(hello, `"m"`, `"x"`, 1)), 404, outcome.KindNotFound, `model: unknown model "x"`},
		{"unknown adapter", prompt(`{"adapter":"a",` + hello[1:]), 404, outcome.KindNotFound, `adapter: the model has no adapter "a"`},
		{"too long", prompt(long), 413, outcome.KindPromptTooLong, "messages: about 252 tokens are over the model's 200"},
		{"too much output", prompt(`{"max_tokens":101,` + hello[1:]), 400, outcome.KindBadRequest, "max_tokens: over the model's 100"},
		{
			"oversized body", prompt(strings.Repeat(" ", maxBody+1)), 413, outcome.KindBodyTooLarge,
			"the body is over 4096 bytes",
		},
		{"content type", prompt(hello, "Content-Type", "text/plain"), 400, outcome.KindBadRequest, "Content-Type must be application/json"},
		{"deadline without unit", prompt(hello, HeaderDeadline, "30"), 400, outcome.KindBadRequest, "Turmericshunt-Deadline needs a unit, such as 30s or 30ms"},
		{"deadline above an hour", prompt(hello, HeaderDeadline, "2h"), 400, outcome.KindBadRequest, "Turmericshunt-Deadline must be a duration above 0 and up to 1h, such as 30s"},
		{"class", prompt(hello, HeaderClass, "fast"), 400, outcome.KindBadRequest, `Turmericshunt-Class must be interactive, standard or batch, not "fast"`},
		{"unknown workspace", prompt(hello, HeaderWorkspace, "x"), 401, outcome.KindUnauthorized, `Turmericshunt-Workspace: unknown workspace "x"`},
		{"workspace without key", prompt(hello, HeaderWorkspace, "keyed"), 401, outcome.KindUnauthorized, `workspace "keyed" needs its bearer key`},
		{"no workspace", prompt(hello, HeaderWorkspace, ""), 401, outcome.KindUnauthorized, "set Turmericshunt-Workspace or a bearer key"},
		{"unknown key", prompt(hello, HeaderWorkspace, "", "Authorization", "Bearer x"), 401, outcome.KindUnauthorized, "unknown bearer key"},
		{"unknown service", request{"GET", "/v1/services/x/y", "", nil}, 404, outcome.KindNotFound, `unknown service "x"`},
		{
			"key too long",
			request{
				"POST", "/v1/services/orders/orders", "",
				map[string]string{HeaderIdempotencyKey: strings.Repeat("k", 256)},
			},
			400, outcome.KindBadRequest,
			"Idempotency-Key is over 255 bytes",
		},
		{"resend", request{"POST", "/v1/services/orders/orders", "", map[string]string{HeaderResend: "1"}}, 400, outcome.KindBadRequest, `Turmericshunt-Resend must be true or false, not "1"`},
		{"unknown path", request{"GET", "/v2", "", nil}, 404, outcome.KindNotFound, "Not Found"},
		{
			"wrong method",
			request{"GET", "/v1/chat/completions", "", nil},
			405, outcome.KindMethodNotAllowed,
			"Method Not Allowed",
		},
		{"unknown model by path", request{"GET", "/v1/models/x", "", nil}, 404, outcome.KindNotFound, `unknown model "x"`},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := newBackend()
			resp := send(t, b, tc.request)
			f := readFailure(t, resp)
			if resp.StatusCode != tc.status || f.Kind != tc.kind || f.Message != tc.message {
				t.Errorf("got %d %s %q", resp.StatusCode, f.Kind, f.Message)
			}
			if field, _, ok := strings.Cut(tc.message, ": "); ok && !strings.Contains(field, " ") && field != HeaderWorkspace && f.Param != field {
				t.Errorf("param is %q", f.Param)
			}
			if header := resp.Header.Get(outcome.Header); header != string(outcome.NotRun) || f.Outcome != outcome.NotRun {
				t.Errorf("outcome is %q in the header and %q in the body", header, f.Outcome)
			}
			if f.RequestID == "" || f.RequestID != resp.Header.Get(HeaderRequestID) || resp.Header.Get(headerRetry) != "" {
				t.Errorf("wrong request id or Retry-After: %+v", f)
			}
			if b.job != nil || b.call != nil || b.order != nil {
				t.Error("the refused request reached the backend")
			}
		})
	}
}

func TestRetryAfter(t *testing.T) {
	kinds := []outcome.Kind{
		outcome.KindWorkspaceLimit, outcome.KindOverloaded, outcome.KindDeadline, outcome.KindUnavailable,
		outcome.KindResponseIncomplete,
		outcome.KindInProgress, outcome.KindStoreUnavailable, outcome.KindStopping, outcome.KindInternal,
	}
	for _, kind := range kinds {
		for _, after := range []time.Duration{0, 1500 * time.Millisecond} {
			b := newBackend()
			b.pieces, b.err = nil, &outcome.Error{Op: "x", Kind: kind, Outcome: outcome.NotRun, RetryAfter: after}
			resp := send(t, b, prompt(hello))
			want, f := map[time.Duration]string{0: "1", 1500 * time.Millisecond: "2"}[after], readFailure(t, resp)
			if got := resp.Header.Get(headerRetry); got != want || f.RetryAfterMS < 1 {
				t.Errorf("%s after %s: Retry-After %q, body %d ms", kind, after, got, f.RetryAfterMS)
			}
		}
	}
	b := newBackend()
	b.document = nil
	if resp := send(t, b, prompt(hello)); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(headerRetry) != "1" {
		t.Errorf("without a configuration: %d, Retry-After %q", resp.StatusCode, resp.Header.Get(headerRetry))
	}
}

func TestWorkspaceByKey(t *testing.T) {
	for _, scheme := range []string{"Bearer ", "bearer "} {
		b := newBackend()
		resp := send(t, b, prompt(hello, HeaderWorkspace, "", "Authorization", scheme+"secret"))
		if resp.StatusCode != http.StatusOK || b.job.Workspace != "keyed" {
			t.Errorf("%sgot %d, %+v", scheme, resp.StatusCode, b.job)
		}
	}
}

func TestCompleteResponse(t *testing.T) {
	b := newBackend()
	resp := send(t, b, prompt(hello, HeaderClass, "batch", HeaderDeadline, "1500ms"))
	var c chat.Completion
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	if c.Choices[0].Message.Content != "a\nb" || c.Outcome != outcome.Completed || c.ID != resp.Header.Get(HeaderRequestID) {
		t.Errorf("got %+v", c)
	}
	if resp.Header.Get(outcome.Header) != "completed" || resp.Header.Get(HeaderBackendServer) != "g1" {
		t.Errorf("got %v", resp.Header)
	}
	if b.job.MaxOutputTokens != 100 {
		t.Errorf("a request without max_tokens may have %d output tokens, want the model's 100", b.job.MaxOutputTokens)
	}
	if remaining := time.Until(b.job.Deadline); b.job.Class != protocol.ClassBatch || remaining > 1500*time.Millisecond {
		t.Errorf("class %v, %v until the deadline", b.job.Class, remaining)
	}
}

// readEvents returns the data of all server-sent events in body.
func readEvents(t *testing.T, body io.Reader) []string {
	t.Helper()
	var list []string
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			list = append(list, data)
		} else if lines.Text() != "" {
			t.Errorf("unexpected line %q", lines.Text())
		}
	}
	return list
}

func TestStreamedResponse(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		s := httptest.NewUnstartedServer(newServer(newBackend()).Handler())
		s.EnableHTTP2 = http2
		s.StartTLS()
		defer s.Close()
		r, _ := http.NewRequest(http.MethodPost, s.URL+"/v1/chat/completions", strings.NewReader(streamed(`,"stream_options":{"include_usage":true}`).body))
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set(HeaderWorkspace, "open")
		resp, err := s.Client().Do(r)
		if err != nil {
			t.Fatal(err)
		}
		list := readEvents(t, resp.Body)
		if len(list) != 5 || list[4] != "[DONE]" || !strings.Contains(list[0], `"content":"a\n"`) {
			t.Fatalf("got %q", list)
		}
		if !strings.Contains(list[2], `"outcome":"completed"`) || !strings.Contains(list[3], `"choices":[],"usage":{`) {
			t.Errorf("last events %q", list[2:])
		}
		if resp.Trailer.Get(outcome.Header) != "completed" || resp.Trailer.Get(HeaderBackendServer) != "g1" ||
			(resp.ProtoMajor == 2) != http2 {
			t.Errorf("%s trailer %v", resp.Proto, resp.Trailer)
		}
	}
}

func TestStreamBreaks(t *testing.T) {
	b := newBackend()
	b.err = &outcome.Error{Op: "run", Kind: outcome.KindResponseIncomplete, Outcome: outcome.Failed, Message: "broke off"}
	resp := send(t, b, streamed(""))
	list := readEvents(t, resp.Body)
	last := list[len(list)-1]
	if resp.StatusCode != http.StatusOK || !strings.Contains(last, `"kind":"answer_incomplete","outcome":"failed"`) || resp.Trailer.Get(outcome.Header) != "failed" {
		t.Errorf("got %q, trailer %v", last, resp.Trailer)
	}
	b.pieces = nil
	if resp := send(t, b, streamed("")); resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Trailer") != "" ||
		readFailure(t, resp).Kind != outcome.KindResponseIncomplete {
		t.Errorf("failure before the first piece: got %d", resp.StatusCode)
	}
}

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

func TestPanic(t *testing.T) {
	b := newBackend()
	b.panics = true
	resp := send(t, b, prompt(hello))
	if f := readFailure(t, resp); resp.StatusCode != http.StatusInternalServerError || f.Kind != outcome.KindInternal || f.Outcome != outcome.Failed {
		t.Errorf("prompt: got %d %+v", resp.StatusCode, f)
	}
	resp = send(t, b, request{"POST", "/v1/services/orders/orders", "{}", nil})
	if f := readFailure(t, resp); resp.StatusCode != http.StatusInternalServerError || f.Outcome != outcome.Unknown {
		t.Errorf("order: got %d %+v", resp.StatusCode, f)
	}
	defer func() {
		if cause, ok := recover().(error); !ok || !errors.Is(cause, http.ErrAbortHandler) {
			t.Errorf("a panic during a stream ended with %v, want http.ErrAbortHandler", cause)
		}
	}()
	send(t, b, streamed(""))
}

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

func TestModelByName(t *testing.T) {
	resp := send(t, newBackend(), request{"GET", "/v1/models/m", "", nil})
	body, _ := io.ReadAll(resp.Body)
	if want := `{"id":"m","object":"model","owned_by":"turmericshunt","max_prompt_tokens":200}`; strings.TrimSpace(string(body)) != want {
		t.Errorf("got %s", body)
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

func FuzzHeaders(f *testing.F) {
	f.Add("30s", "batch", "open", "Bearer secret")
	f.Add("30", "", "", "Basic x")
	d := newBackend().document
	f.Fuzz(func(t *testing.T, deadline, class, workspace, authorization string) {
		h := http.Header{HeaderDeadline: {deadline}, HeaderClass: {class}, HeaderWorkspace: {workspace}, "Authorization": {authorization}}
		if timeout, err := requestTimeout(h, time.Second); err == nil && (timeout <= 0 || timeout > maxDeadline) {
			t.Errorf("deadline %q gives %s", deadline, timeout)
		}
		if c, err := classOf(h, 1); err == nil && class == "" && c != protocol.ClassInteractive {
			t.Errorf("class %v", c)
		}
		if name, err := workspaceOf(d, h); err == nil && findWorkspace(d, name) == nil {
			t.Errorf("workspace %q", name)
		} else if err != nil && len(err.Error()) > 1000 {
			t.Errorf("the error message has %d bytes", len(err.Error()))
		}
	})
}

func findWorkspace(d *document.Document, name string) *document.Workspace {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i]
		}
	}
	return nil
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
