package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreachable Kind = "unreachable" // the host gave no answer; a change may have been accepted
	KindRefused     Kind = "refused"
)

// Error is a failed call; Failure and Status are set when the host refused it.
type Error struct {
	Op      string
	Kind    Kind
	Status  int
	Failure adminapi.Failure
	Err     error
}

// Error returns the host's message or the cause.
func (e *Error) Error() string {
	if e.Kind == KindRefused {
		return e.Op + ": " + e.Failure.Kind + ": " + e.Failure.Message
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const maxAnswerBytes = 64 << 20

// Client calls one host; its methods return an *Error.
type Client struct {
	Base  string // such as http://127.0.0.1:9000
	Token string
	HTTP  *http.Client
}

// Status tells what the host believes.
func (c *Client) Status(ctx context.Context) (adminapi.Status, error) {
	var s adminapi.Status
	return s, c.call(ctx, "get status", http.MethodGet, "/v1/status", nil, &s)
}

// Configuration lists the sections in force on the host.
func (c *Client) Configuration(ctx context.Context) (adminapi.Configuration, error) {
	var s adminapi.Configuration
	return s, c.call(ctx, "get configuration", http.MethodGet, "/v1/config", nil, &s)
}

// Section returns a section in force on the host.
func (c *Client) Section(ctx context.Context, name string) (adminapi.Section, error) {
	var s adminapi.Section
	return s, c.call(ctx, "get section", http.MethodGet, sectionPath(name), nil, &s)
}

// Apply asks for a change of a section.
func (c *Client) Apply(ctx context.Context, section string, change adminapi.Change) (adminapi.Accepted, error) {
	var a adminapi.Accepted
	return a, c.call(ctx, "apply", http.MethodPut, sectionPath(section), change, &a)
}

// History returns the latest accepted changes, the newest first.
func (c *Client) History(ctx context.Context, limit int) ([]adminapi.Record, error) {
	var records []adminapi.Record
	return records, c.call(ctx, "get history", http.MethodGet, "/v1/config/history?limit="+strconv.Itoa(limit), nil, &records)
}

// Versions returns what each live host has in force.
func (c *Client) Versions(ctx context.Context) ([]adminapi.HostVersion, error) {
	var versions []adminapi.HostVersion
	return versions, c.call(ctx, "get versions", http.MethodGet, "/v1/config/status", nil, &versions)
}

func sectionPath(name string) string { return "/v1/config/sections/" + url.PathEscape(name) }

func (c *Client) call(ctx context.Context, op, method, path string, body, into any) error {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return &Error{Op: op, Kind: KindUnreachable, Err: errors.WithStack(err)}
		}
		content = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, content)
	if err != nil {
		return &Error{Op: op, Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return &Error{Op: op, Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &Error{Op: op, Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	return decode(op, resp.StatusCode, text, into)
}

func decode(op string, status int, text []byte, into any) error {
	if status != http.StatusOK {
		e := &Error{Op: op, Kind: KindRefused, Status: status}
		if json.Unmarshal(text, &e.Failure) != nil {
			e.Failure = adminapi.Failure{Kind: "unexpected", Message: http.StatusText(status)}
		}
		return e
	}
	if err := json.Unmarshal(text, into); err != nil {
		return &Error{Op: op, Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	return nil
}
