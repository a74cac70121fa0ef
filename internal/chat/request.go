package chat

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Error tells which field of a request is wrong.
type Error struct {
	Op    string
	Kind  outcome.Kind
	Field string
	Err   error
}

// Error returns the field and the mistake in one line.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Err.Error()
	}
	return e.Field + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// DefaultOutputTokens bounds an answer whose request sets no max_tokens.
const DefaultOutputTokens = 256

// MaxOutputTokens bounds what a request may ask for, whatever its model allows.
const MaxOutputTokens = 1 << 20

// Request is a chat request; fields that the system does not use are ignored.
type Request struct {
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens *int64    `json:"max_tokens"`
	MaxNew    *int64    `json:"max_completion_tokens"`
	Choices   *int64    `json:"n"`
	Options   Options   `json:"stream_options"`
}

// Options are what a caller wants of a streamed answer.
type Options struct {
	IncludeUsage bool `json:"include_usage"` // in an event of its own without choices
}

// Message is one turn of a chat; Content is a string or a list of text parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parse reads and checks the body of a chat request, or returns an *Error.
func Parse(body []byte) (*Request, error) {
	r := new(Request)
	if err := json.Unmarshal(body, r); err != nil {
		return nil, decodeError(err)
	}
	if r.Model == "" {
		return nil, mistake("model", "must be set")
	}
	if len(r.Messages) == 0 {
		return nil, mistake("messages", "must hold at least one message")
	}
	for i, m := range r.Messages {
		if err := m.check("messages[" + strconv.Itoa(i) + "]"); err != nil {
			return nil, err
		}
	}
	if n := r.OutputTokens(); n < 1 || n > MaxOutputTokens {
		return nil, mistake("max_tokens", "must be 1 to "+strconv.Itoa(MaxOutputTokens))
	}
	if r.Choices != nil && *r.Choices != 1 {
		return nil, mistake("n", "must be 1")
	}
	return r, nil
}

// OutputTokens returns the most tokens that the answer may have.
func (r *Request) OutputTokens() int64 {
	switch {
	case r.MaxNew != nil:
		return *r.MaxNew
	case r.MaxTokens != nil:
		return *r.MaxTokens
	default:
		return DefaultOutputTokens
	}
}

// BoundsOutput reports whether the caller says how many tokens the answer may have.
func (r *Request) BoundsOutput() bool { return r.MaxNew != nil || r.MaxTokens != nil }

// Prompt returns the text that engines run, with the role before each message.
func (r *Request) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		text, _ := m.text()
		b.WriteString(text)
		b.WriteByte('\n')
	}
	return b.String()
}

func (m Message) check(field string) error {
	switch m.Role {
	case "system", "developer", "user", "assistant", "tool":
	default:
		return mistake(field+".role", strconv.Quote(m.Role)+" is not a role")
	}
	if _, err := m.text(); err != nil {
		return mistake(field+".content", err.Error())
	}
	return nil
}

func (m Message) text() (string, error) {
	var text string
	if err := json.Unmarshal(m.Content, &text); err == nil {
		return text, nil
	}
	var parts []part
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", errors.New("must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", errors.Errorf("part of type %q is not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

func decodeError(err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return mistake("", "not JSON at byte "+strconv.FormatInt(syntax.Offset, 10)+": "+syntax.Error())
	case errors.As(err, &wrongType) && wrongType.Field == "":
		return mistake("", "must be a JSON object")
	case errors.As(err, &wrongType):
		return mistake(wrongType.Field, wrongType.Value+" is not a "+wrongType.Type.String())
	default:
		return mistake("", err.Error())
	}
}

func mistake(field, message string) *Error {
	return &Error{Op: "parse", Kind: outcome.KindBadRequest, Field: field, Err: errors.New(message)}
}
