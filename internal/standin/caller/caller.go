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
	maxLineBytes  = 1 << 20           // longest accepted line of an event stream
	bytesPerToken = 4                 // prompt bytes that make about one token
	fillerPhrase  = "cost of a die, " // repeated to reach the length of a prompt
)

// Headers of the API that entry hosts serve to callers.
const (
	headerWorkspace      = "Turmericshunt-Workspace"
	headerDeadline       = "Turmericshunt-Deadline"
	headerHost           = "Turmericshunt-Host"
	headerServer         = "Turmericshunt-Backend-Server"
	headerReplayed       = "Turmericshunt-Replayed"
	headerIdempotencyKey = "Idempotency-Key"
)

type (
	// Prompt is a chat completion request for an entry host. Its prompt has about PromptTokens tokens; the prompts of
	// requests with the same Prefix begin alike.
	Prompt struct {
		EntryURL     string // base URL of the entry host's listener for callers
		Workspace    string
		Model        string
		Prefix       string // beginning of the prompt, repeated with filler up to its length
		Text         string // end of the prompt, which makes it differ from others with the same Prefix
		PromptTokens int64
		OutputTokens int64         // length of the completion
		Stream       bool          // whether the completion is requested as a stream of events
		Deadline     time.Duration // time limit that is sent with the request; 0 sends none, so that the entry host sets it
	}

	// Call is a call of a plain service for an entry host.
	Call struct {
		EntryURL       string // base URL of the entry host's listener for callers
		Workspace      string
		Method         string
		Path           string // path below /v1/services: the service's name and the path at the service
		Body           string
		IdempotencyKey string        // idempotency key; empty sends none
		Deadline       time.Duration // time limit that is sent with the call; 0 sends none
	}

	// Result describes the response to a request, or its failure. Fault is empty if the response is correct; a refusal
	// in its proper form is correct too.
	Result struct {
		Status        int             // HTTP status; 0 if there was no response
		Outcome       outcome.Outcome // outcome that the entry host reported in a header or trailer
		Kind          outcome.Kind    // kind of the refusal, or of the error that ended the stream; empty if there was none
		Host          string          // entry host, as named in the response
		BackendServer string          // backend server, as named in the response
		Replayed      bool            // whether the response was recorded for an earlier call with the same idempotency key
		RetryAfter    time.Duration   // retry_after_ms of a refusal
		FirstToken    time.Duration   // time from sending to the first piece of text of a stream; 0 if there was none
		Total         time.Duration   // time from sending to the end of the response
		TokenGaps     []time.Duration // times between consecutive pieces of text of a stream
		Body          string          // body of a plain service's response, or message of a refusal or of a stream's error
		Fault         string          // what is wrong with the response; empty if nothing is
	}
)

// Caller sends requests to entry hosts. The zero value is ready for use.
type Caller struct {
	HTTP http.Client
}

// Send sends a prompt and checks the response. If the reported outcome is completed, the response must be the complete
// completion that the stand-in engine gives for this prompt; otherwise it must be a refusal in its proper form or an
// incomplete completion. Failures to send or to receive are reported in Result.Fault.
func (c *Caller) Send(ctx context.Context, p *Prompt) Result {
	request := p.request()
	body, err := json.Marshal(request)
	if err != nil {
		return Result{Fault: err.Error()}
	}
	start := time.Now()
	resp, err := c.post(ctx, p, string(body))
	if err != nil {
		return Result{Fault: "no answer: " + err.Error(), Total: time.Since(start)}
	}
	defer resp.Body.Close()
	r := Result{Status: resp.StatusCode}
	r.readHeaders(resp.Header)
	if resp.StatusCode != http.StatusOK {
		r.readRefusal(resp)
		r.Total = time.Since(start)
		return r
	}
	var text string
	if p.Stream {
		text, err = r.readEvents(resp.Body, start)
	} else {
		text, err = readCompletion(resp.Body)
	}
	r.Total = time.Since(start)
	r.readHeaders(resp.Trailer)
	r.checkResponse(text, engine.ResponseText(request.Prompt(), p.OutputTokens), err)
	return r
}

func (p *Prompt) request() chat.Request {
	tokens := p.OutputTokens
	return chat.Request{
		Model: p.Model, Stream: p.Stream, MaxTokens: &tokens,
		Messages: []chat.Message{{Role: "user", Content: p.content()}},
	}
}

// content returns the text of the prompt as a JSON string: the prefix and filler, repeated up to the length, then Text.
func (p *Prompt) content() json.RawMessage {
	size := int(p.PromptTokens)*bytesPerToken - len(p.Text)
	filler := strings.Repeat(p.Prefix+fillerPhrase, max(size, 0)/len(p.Prefix+fillerPhrase)+1)
	text, err := json.Marshal(filler + p.Text)
	if err != nil {
		panic(err) // can't happen: a string can always be encoded
	}
	return text
}

func (c *Caller) post(ctx context.Context, p *Prompt, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.EntryURL+"/v1/chat/completions",
		strings.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, p.Workspace, p.Deadline)
}

// do sends req with the headers for workspace and deadline; deadline 0 sends no deadline header.
func (c *Caller) do(req *http.Request, workspace string, deadline time.Duration) (*http.Response, error) {
	req.Header.Set(headerWorkspace, workspace)
	if deadline > 0 {
		req.Header.Set(headerDeadline, deadline.String())
	}
	return c.HTTP.Do(req)
}

// Call calls a plain service. If the reported outcome is completed, Result.Body is the body of the response; any other
// response must be a refusal in its proper form. Failures to send or to receive are reported in Result.Fault.
func (c *Caller) Call(ctx context.Context, call *Call) Result {
	req, err := http.NewRequestWithContext(ctx, call.Method, call.EntryURL+"/v1/services"+call.Path,
		strings.NewReader(call.Body))
	if err != nil {
		return Result{Fault: err.Error()}
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	start := time.Now()
	resp, err := c.do(req, call.Workspace, call.Deadline)
	if err != nil {
		return Result{Fault: "no answer: " + err.Error(), Total: time.Since(start)}
	}
	defer resp.Body.Close()
	r := Result{Status: resp.StatusCode}
	r.readHeaders(resp.Header)
	if r.Outcome != outcome.Completed {
		r.readRefusal(resp)
	} else if body, err := io.ReadAll(resp.Body); err != nil {
		r.Fault = "answer cut: " + err.Error()
	} else {
		r.Body = string(body)
	}
	r.Total = time.Since(start)
	return r
}

// readHeaders takes over the fields that are present in the headers or trailers of a response.
func (r *Result) readHeaders(header http.Header) {
	if host := header.Get(headerHost); host != "" {
		r.Host = host
	}
	if server := header.Get(headerServer); server != "" {
		r.BackendServer = server
	}
	if value := header.Get(outcome.Header); value != "" {
		r.Outcome = outcome.Outcome(value)
	}
	if header.Get(headerReplayed) != "" {
		r.Replayed = true
	}
}

// readRefusal reads a refusal. It sets Fault if the body isn't JSON, or if the refusal is of a kind that the caller
// may retry and has no Retry-After header.
func (r *Result) readRefusal(resp *http.Response) {
	var failure chat.ErrorResponse
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

// checkResponse sets Fault if the reported outcome contradicts what was received: completed requires that the text
// was read without err and that text equals want; any other outcome requires an err, and no outcome at all is a fault.
func (r *Result) checkResponse(text, want string, err error) {
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

// readCompletion reads a response that is not streamed and returns its text.
func readCompletion(body io.Reader) (string, error) {
	var completion chat.Completion
	if err := json.NewDecoder(body).Decode(&completion); err != nil {
		return "", errors.WithStack(err)
	}
	if len(completion.Choices) != 1 {
		return "", errors.Errorf("%d choices", len(completion.Choices))
	}
	return completion.Choices[0].Message.Content, nil
}

// readEvents reads an event stream, records the time to its first piece of text and the gaps between pieces, and
// returns the text. It returns an error if the stream carries an error event or ends without its end marker.
func (r *Result) readEvents(body io.Reader, start time.Time) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	endSeen := false
	lastPiece := start
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			endSeen = true
			continue
		}
		piece, err := r.readChunk(data)
		if err != nil {
			// Trailers are only available once the rest of the body has been read.
			_, _ = io.Copy(io.Discard, body)
			return "", err
		}
		if piece == "" {
			continue
		}
		now := time.Now()
		if r.FirstToken == 0 {
			r.FirstToken = now.Sub(start)
		} else {
			r.TokenGaps = append(r.TokenGaps, now.Sub(lastPiece))
		}
		lastPiece = now
		text.WriteString(piece)
	}
	if err := lines.Err(); err != nil {
		return "", errors.WithStack(err)
	}
	if !endSeen {
		return "", errors.New("the stream has no end")
	}
	return text.String(), nil
}

// readChunk returns the text in the data of one event. If the event is an error, readChunk records its kind and message
// in r and returns an error.
func (r *Result) readChunk(data string) (string, error) {
	var chunk struct {
		chat.Chunk
		chat.ErrorResponse
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
