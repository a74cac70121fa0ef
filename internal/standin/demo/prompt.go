package demo

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
)

const (
	maxLineBytes = 1 << 20
	phrase       = "cost of a die, "
)

// Sends a prompt of about the given length and checks that the whole answer to this very prompt comes back.
func (d *Demo) prompt(ctx context.Context, name string, i int, tokens int64, streamed bool) {
	r := row{request: name}
	defer func() { d.rows = append(d.rows, r) }()
	limit := int64(answerTokens)
	request := chat.Request{
		Model: d.Model, Stream: streamed, MaxTokens: &limit,
		Messages: []chat.Message{{Role: "user", Content: content(name, tokens)}},
	}
	body, err := json.Marshal(request)
	if err != nil {
		r.fault = err.Error()
		return
	}
	began := time.Now()
	resp, err := d.send(ctx, http.MethodPost, d.entry(i)+"/v1/chat/completions", string(body), "")
	if err != nil {
		r.fault = err.Error()
		return
	}
	defer resp.Body.Close()
	text, err := d.readAnswer(resp, &r, began, streamed)
	r.total = time.Since(began)
	r.describe(resp.Header)
	r.describe(trailers(resp))
	switch {
	case err != nil:
		r.fault = err.Error()
	case text != engine.Answer(request.Prompt(), limit):
		r.fault = "the answer is not the whole answer to this prompt"
	case r.outcome != "completed":
		r.fault = "outcome " + r.outcome
	}
}

func content(name string, tokens int64) json.RawMessage {
	words := strings.Repeat(phrase, int(tokens)*bytesPerToken/len(phrase)+1)
	text, err := json.Marshal(name + ": " + words)
	if err != nil {
		panic(err) // a string always encodes
	}
	return text
}

// The host's header stays known when only trailers are left.
func trailers(resp *http.Response) http.Header {
	merged := resp.Trailer.Clone()
	if merged == nil {
		merged = http.Header{}
	}
	merged.Set("Turmericshunt-Host", resp.Header.Get("Turmericshunt-Host"))
	return merged
}

func (d *Demo) readAnswer(resp *http.Response, r *row, began time.Time, streamed bool) (string, error) {
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return "", errors.Errorf("%s: %s", resp.Status, text)
	}
	if streamed {
		return readEvents(resp.Body, r, began)
	}
	var whole chat.Completion
	if err := json.NewDecoder(resp.Body).Decode(&whole); err != nil {
		return "", errors.WithStack(err)
	}
	if len(whole.Choices) != 1 {
		return "", errors.Errorf("%d choices", len(whole.Choices))
	}
	return whole.Choices[0].Message.Content, nil
}

func readEvents(body io.Reader, r *row, began time.Time) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	done := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk chat.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", errors.WithStack(err)
		}
		if len(chunk.Choices) != 1 {
			return "", errors.Errorf("not a chunk: %s", data)
		}
		if r.first == 0 {
			r.first = time.Since(began)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	if !done {
		return "", errors.New("the stream has no end")
	}
	return text.String(), errors.WithStack(lines.Err())
}
