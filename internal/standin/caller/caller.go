package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/chat"
	"github.com/turmericshunt/turmericshunt/internal/standin/engine"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const (
	maxLineBytes  = 1 << 20
	bytesPerToken = 4
	phrase        = "cost of a die, "
)

// Headers of the callers' interface.
const (
	headerWorkspace = "Turmericshunt-Workspace"
	headerDeadline  = "Turmericshunt-Deadline"
	headerHost      = "Turmericshunt-Host"
	headerServer    = "Turmericshunt-Backend-Server"
	headerReplayed  = "Turmericshunt-Replayed"
	headerKey       = "Idempotency-Key"
)

type (
	// Prompt is a prompt of about PromptTokens; prompts of one Prefix share their beginning.
	Prompt struct {
		Entry        string // base address of the entry host
		Workspace    string
		Model        string
		Prefix       string
		Text         string // makes the prompt differ from others of its prefix
		PromptTokens int64
		OutputTokens int64
		Stream       bool
		Deadline     time.Duration // 0 leaves it to the entry host
	}

	// Call is a call of a plain service.
	Call struct {
		Entry     string
		Workspace string
		Method    string
		Path      string // under /v1/services
		Body      string
		Key       string
		Deadline  time.Duration
	}

	// Result is what came of a request; Fault is empty when the answer is as it must be.
	Result struct {
		Status     int // 0 when there was no answer
		Outcome    outcome.Outcome
		Kind       outcome.Kind // of a refusal
		Host       string
		Server     string
		Replayed   bool
		RetryAfter time.Duration
		FirstToken time.Duration
		Total      time.Duration
		Gaps       []time.Duration // between pieces of a stream
		Body       string
		Fault      string
	}
)

// Caller sends requests; the zero value is ready.
type Caller struct {
	HTTP http.Client
}

// Send sends a prompt and checks that the whole answer to this very prompt comes back.
func (c *Caller) Send(ctx context.Context, p *Prompt) Result {
	request := p.request()
	body, err := json.Marshal(request)
	if err != nil {
		return Result{Fault: err.Error()}
	}
	began := time.Now()
	resp, err := c.post(ctx, p, string(body))
	if err != nil {
		return Result{Fault: "no answer: " + err.Error(), Total: time.Since(began)}
	}
	defer resp.Body.Close()
	r := Result{Status: resp.StatusCode}
	r.describe(resp.Header)
	if resp.StatusCode != http.StatusOK {
		r.readRefusal(resp)
		r.Total = time.Since(began)
		return r
	}
	var text string
	if p.Stream {
		text, err = r.readEvents(resp.Body, began)
	} else {
		text, err = readWhole(resp.Body)
	}
	r.Total = time.Since(began)
	r.describe(resp.Trailer)
	r.judge(text, engine.Answer(request.Prompt(), p.OutputTokens), err)
	return r
}

func (p *Prompt) request() chat.Request {
	tokens := p.OutputTokens
	return chat.Request{
		Model: p.Model, Stream: p.Stream, MaxTokens: &tokens,
		Messages: []chat.Message{{Role: "user", Content: p.content()}},
	}
}

func (p *Prompt) content() json.RawMessage {
	size := int(p.PromptTokens)*bytesPerToken - len(p.Text)
	words := strings.Repeat(p.Prefix+phrase, max(size, 0)/len(p.Prefix+phrase)+1)
	text, err := json.Marshal(words + p.Text)
	if err != nil {
		panic(err) // a string always encodes
	}
	return text
}

func (c *Caller) post(ctx context.Context, p *Prompt, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.Entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, p.Workspace, p.Deadline)
}

func (c *Caller) do(req *http.Request, workspace string, deadline time.Duration) (*http.Response, error) {
	req.Header.Set(headerWorkspace, workspace)
	if deadline > 0 {
		req.Header.Set(headerDeadline, deadline.String())
	}
	return c.HTTP.Do(req)
}

// Call calls a plain service.
func (c *Caller) Call(ctx context.Context, call *Call) Result {
	req, err := http.NewRequestWithContext(ctx, call.Method, call.Entry+"/v1/services"+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Result{Fault: err.Error()}
	}
	if call.Key != "" {
		req.Header.Set(headerKey, call.Key)
	}
	began := time.Now()
	resp, err := c.do(req, call.Workspace, call.Deadline)
	if err != nil {
		return Result{Fault: "no answer: " + err.Error(), Total: time.Since(began)}
	}
	defer resp.Body.Close()
	r := Result{Status: resp.StatusCode}
	r.describe(resp.Header)
	if r.Outcome != outcome.Completed {
		r.readRefusal(resp)
	} else if body, err := io.ReadAll(resp.Body); err != nil {
		r.Fault = "answer cut: " + err.Error()
	} else {
		r.Body = string(body)
	}
	r.Total = time.Since(began)
	return r
}

func (r *Result) describe(header http.Header) {
	if host := header.Get(headerHost); host != "" {
		r.Host = host
	}
	if server := header.Get(headerServer); server != "" {
		r.Server = server
	}
	if told := header.Get(outcome.Header); told != "" {
		r.Outcome = outcome.Outcome(told)
	}
	if header.Get(headerReplayed) != "" {
		r.Replayed = true
	}
}

func (r *Result) readRefusal(resp *http.Response) {
	var failure chat.Failure
	if err := json.NewDecoder(resp.Body).Decode(&failure); err != nil {
		r.Fault = "refusal is not JSON: " + err.Error()
		return
	}
	r.Kind = failure.Error.Kind
	r.Body = failure.Error.Message
	r.RetryAfter = time.Duration(failure.Error.RetryAfterMS) * time.Millisecond
	refused := outcome.Error{Kind: r.Kind}
	if refused.Retryable() && resp.Header.Get("Retry-After") == "" {
		r.Fault = "refusal without Retry-After: " + string(r.Kind)
	}
}

func (r *Result) judge(text, want string, err error) {
	switch {
	case r.Outcome == outcome.Completed && err != nil:
		r.Fault = "told completed, yet " + err.Error()
	case r.Outcome == outcome.Completed && text != want:
		r.Fault = "told completed, yet the answer is not the whole answer to this prompt"
	case r.Outcome != outcome.Completed && err == nil:
		r.Fault = "a whole answer, yet told " + string(r.Outcome)
	case r.Outcome == "":
		r.Fault = "answer cut: " + err.Error()
	}
}

func readWhole(body io.Reader) (string, error) {
	var whole chat.Completion
	if err := json.NewDecoder(body).Decode(&whole); err != nil {
		return "", errors.WithStack(err)
	}
	if len(whole.Choices) != 1 {
		return "", errors.Errorf("%d choices", len(whole.Choices))
	}
	return whole.Choices[0].Message.Content, nil
}

func (r *Result) readEvents(body io.Reader, began time.Time) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	done := false
	last := began
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			done = true
			continue
		}
		piece, err := r.readChunk(data)
		if err != nil {
			// The trailers come after the rest.
			_, _ = io.Copy(io.Discard, body)
			return "", err
		}
		if piece == "" {
			continue
		}
		now := time.Now()
		if r.FirstToken == 0 {
			r.FirstToken = now.Sub(began)
		} else {
			r.Gaps = append(r.Gaps, now.Sub(last))
		}
		last = now
		text.WriteString(piece)
	}
	if err := lines.Err(); err != nil {
		return "", errors.WithStack(err)
	}
	if !done {
		return "", errors.New("the stream has no end")
	}
	return text.String(), nil
}

func (r *Result) readChunk(data string) (string, error) {
	var chunk struct {
		chat.Chunk
		chat.Failure
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", errors.WithStack(err)
	}
	if kind := chunk.Error.Kind; kind != "" {
		r.Kind, r.Body = kind, chunk.Error.Message
		return "", errors.Errorf("the stream ended with %s", kind)
	}
	if len(chunk.Choices) != 1 {
		return "", errors.Errorf("not a chunk: %s", data)
	}
	return chunk.Choices[0].Delta.Content, nil
}
