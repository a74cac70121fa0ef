package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
				{Name: "withdrawn", KeyDigests: []string{}},
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

func findWorkspace(d *document.Document, name string) *document.Workspace {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i]
		}
	}
	return nil
}
