package chat

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Error is the refusal of a malformed or invalid request.
type Error struct {
	Op    string
	Kind  outcome.Kind
	Field string // the wrong field, such as "messages[0].role"; empty if the error concerns the whole body
	Err   error
}

// Error returns the field, if there is one, and the cause in one line.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Err.Error()
	}
	return e.Field + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// DefaultOutputTokens is the limit on generated tokens if a request sets none.
const DefaultOutputTokens = 256

// MaxOutputTokens is the highest limit on generated tokens that a request may set, whatever its model allows.
const MaxOutputTokens = 1 << 20

// Request is a chat completion request. Fields that the system does not use are ignored.
type Request struct {
	Model               string        `json:"model"`
	Adapter             string        `json:"adapter"`
	Messages            []Message     `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"` // takes precedence over MaxTokens
	NumChoices          *int64        `json:"n"`                     // number of responses to generate; must be 1
	StreamOptions       StreamOptions `json:"stream_options"`
}

// StreamOptions are the options of a streamed response.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"` // send the token counts in a separate event without choices
}

// Message is one message of the conversation. Content is a JSON string or an array of text parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// contentPart is one element of a message whose content is an array.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Parse decodes and checks the body of a chat request. It returns an *Error if the body is not valid.
func Parse(body []byte) (*Request, error) {
	r := new(Request)
	if err := json.Unmarshal(body, r); err != nil {
		return nil, decodeError(err)
	}
	if r.Model == "" {
		return nil, newFieldError("model", "must be set")
	}
	if len(r.Messages) == 0 {
		return nil, newFieldError("messages", "must hold at least one message")
	}
	for i, m := range r.Messages {
		if err := m.check("messages[" + strconv.Itoa(i) + "]"); err != nil {
			return nil, err
		}
	}
	if n := r.OutputTokens(); n < 1 || n > MaxOutputTokens {
		return nil, newFieldError("max_tokens", "must be 1 to "+strconv.Itoa(MaxOutputTokens))
	}
	if r.NumChoices != nil && *r.NumChoices != 1 {
		return nil, newFieldError("n", "must be 1")
	}
	return r, nil
}

// OutputTokens returns the limit on generated tokens: the one that the request sets, or DefaultOutputTokens.
func (r *Request) OutputTokens() int64 {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	default:
		return DefaultOutputTokens
	}
}

// LimitsOutput reports whether the request sets a limit on generated tokens.
func (r *Request) LimitsOutput() bool { return r.MaxCompletionTokens != nil || r.MaxTokens != nil }

// Prompt returns the prompt for the engines: a line "role: content" for each message.
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

// check returns an *Error if the role is unknown or the content is not text. The field is the path of m in the request.
func (m Message) check(field string) error {
	switch m.Role {
	case "system", "developer", "user", "assistant", "tool":
	default:
		return newFieldError(field+".role", strconv.Quote(m.Role)+" is not a role")
	}
	if _, err := m.text(); err != nil {
		return newFieldError(field+".content", err.Error())
	}
	return nil
}

// text returns the content as one string, with all text parts joined.
func (m Message) text() (string, error) {
	var text string
	if err := json.Unmarshal(m.Content, &text); err == nil {
		return text, nil
	}
	var parts []contentPart
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

// decodeError converts an error of the JSON decoder into an *Error that names the field or the position.
func decodeError(err error) error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		return newFieldError("", "not JSON at byte "+strconv.FormatInt(syntaxErr.Offset, 10)+": "+syntaxErr.Error())
	case errors.As(err, &typeErr) && typeErr.Field == "":
		return newFieldError("", "must be a JSON object")
	case errors.As(err, &typeErr):
		return newFieldError(typeErr.Field, typeErr.Value+" is not a "+typeErr.Type.String())
	default:
		return newFieldError("", err.Error())
	}
}

// newFieldError returns the error for a field with a wrong value; field is empty for an error of the whole body.
func newFieldError(field, message string) *Error {
	return &Error{Op: "parse", Kind: outcome.KindBadRequest, Field: field, Err: errors.New(message)}
}
