package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/chat"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

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
		// Guards against a workspace that anybody may call as, once its last key has been taken away.
		{"workspace with no key left", prompt(hello, HeaderWorkspace, "withdrawn"), 401, outcome.KindUnauthorized, `workspace "withdrawn" needs its bearer key`},
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

func TestModelByName(t *testing.T) {
	resp := send(t, newBackend(), request{"GET", "/v1/models/m", "", nil})
	body, _ := io.ReadAll(resp.Body)
	if want := `{"id":"m","object":"model","owned_by":"turmericshunt","max_prompt_tokens":200}`; strings.TrimSpace(string(body)) != want {
		t.Errorf("got %s", body)
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
