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
	KindNoResponse Kind = "unreachable" // no valid response was received; a change may have been accepted
	KindRefused    Kind = "refused"     // the host responded with an error status
)

// Error is the failure of a call.
type Error struct {
	Op      string // operation that failed, such as "get status"
	Kind    Kind
	Status  int                    // HTTP status of the response; set if Kind is KindRefused
	Failure adminapi.ErrorResponse // body of the response; set if Kind is KindRefused
	Err     error                  // cause; nil if Kind is KindRefused
}

// Error returns the operation with the host's message or the cause.
func (e *Error) Error() string {
	if e.Kind == KindRefused {
		return e.Op + ": " + e.Failure.Kind + ": " + e.Failure.Message
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause, or nil if the host refused the call.
func (e *Error) Unwrap() error { return e.Err }

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

// Client calls the operators' interface of one host. Errors of its methods are of type *Error.
type Client struct {
	BaseURL string // URL of the interface without a trailing slash, such as http://127.0.0.1:9000
	Token   string // bearer token; may be empty
	HTTP    *http.Client
}

// Status returns the state of the host and its view of the other hosts and the backend servers.
func (c *Client) Status(ctx context.Context) (adminapi.Status, error) {
	var s adminapi.Status
	return s, c.call(ctx, "get status", http.MethodGet, "/v1/status", nil, &s)
}

// Configuration lists the sections that are active on the host.
func (c *Client) Configuration(ctx context.Context) (adminapi.Configuration, error) {
	var s adminapi.Configuration
	return s, c.call(ctx, "get configuration", http.MethodGet, "/v1/config", nil, &s)
}

// Section returns the named section as it is active on the host.
func (c *Client) Section(ctx context.Context, name string) (adminapi.Section, error) {
	var s adminapi.Section
	return s, c.call(ctx, "get section", http.MethodGet, sectionPath(name), nil, &s)
}

// Apply requests a change of the named section.
func (c *Client) Apply(ctx context.Context, section string, change adminapi.Change) (adminapi.Accepted, error) {
	var a adminapi.Accepted
	return a, c.call(ctx, "apply", http.MethodPut, sectionPath(section), change, &a)
}

// History returns the latest accepted changes, newest first, and at most limit of them.
func (c *Client) History(ctx context.Context, limit int) ([]adminapi.Record, error) {
	var records []adminapi.Record
	return records, c.call(ctx, "get history", http.MethodGet, "/v1/config/history?limit="+strconv.Itoa(limit), nil, &records)
}

// Versions returns the version of the configuration that is active on each live host.
func (c *Client) Versions(ctx context.Context) ([]adminapi.HostVersion, error) {
	var versions []adminapi.HostVersion
	return versions, c.call(ctx, "get versions", http.MethodGet, "/v1/config/status", nil, &versions)
}

func sectionPath(name string) string { return "/v1/config/sections/" + url.PathEscape(name) }

// call sends body as JSON, or no body if it is nil, and decodes the response into the value that into points to.
func (c *Client) call(ctx context.Context, op, method, path string, body, into any) error {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return &Error{Op: op, Kind: KindNoResponse, Err: errors.WithStack(err)}
		}
		reader = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, reader)
	if err != nil {
		return &Error{Op: op, Kind: KindNoResponse, Err: errors.WithStack(err)}
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return &Error{Op: op, Kind: KindNoResponse, Err: errors.WithStack(err)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &Error{Op: op, Kind: KindNoResponse, Err: errors.WithStack(err)}
	}
	return decodeResponse(op, resp.StatusCode, text, into)
}

// decodeResponse decodes the body of a response with status 200 into the value that into points to. It returns an error
// of KindRefused for any other status, also if the body is not a Failure.
func decodeResponse(op string, status int, text []byte, into any) error {
	if status != http.StatusOK {
		e := &Error{Op: op, Kind: KindRefused, Status: status}
		if json.Unmarshal(text, &e.Failure) != nil {
			e.Failure = adminapi.ErrorResponse{Kind: "unexpected", Message: http.StatusText(status)}
		}
		return e
	}
	if err := json.Unmarshal(text, into); err != nil {
		return &Error{Op: op, Kind: KindNoResponse, Err: errors.WithStack(err)}
	}
	return nil
}
