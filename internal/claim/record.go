package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// MaxResponseBytes is the size of the largest response body that is recorded.
const MaxResponseBytes = 512 << 10

const (
	maxHeaderBytes = 64 << 10 // largest response header that is recorded: names and values together
	keyPrefix      = "claims/"
)

// States of a record.
const (
	StateOpen      State = "open"      // the owner may dispatch, is waiting for the response, or has failed
	StateCompleted State = "completed" // the request ran and its response is recorded
	StateNotRun    State = "not_run"   // the request was not run under this claim and never will be
	StateUnknown   State = "unknown"   // the request may have run and its response was lost
)

// Types of the records in the store.
type (
	// State is the progress of the request under a claim.
	State string

	// Owner identifies the attempt that created a claim.
	Owner struct {
		Host        string `json:"host"`
		Incarnation uint64 `json:"incarnation"`
		Request     string `json:"request"`
	}

	// Record is the value of a claim in the store.
	Record struct {
		BodyDigest string    `json:"body_digest"`
		Owner      Owner     `json:"owner"`
		State      State     `json:"state"`
		Response   *Response `json:"answer,omitempty"`
	}

	// Response is the response of a service to the request.
	Response struct {
		Status  int         `json:"status"`
		Header  http.Header `json:"header,omitempty"`
		Body    []byte      `json:"body,omitempty"`
		Omitted bool        `json:"omitted,omitempty"` // Header and Body were too large to be recorded
	}
)

// Kind classifies an Error.
type Kind string

// KindInvalid is the kind of the error for a record that cannot be decoded.
const KindInvalid Kind = "invalid"

// Error is a failure to decode a record.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Key returns the key in the store of the claim for an idempotency key of a workspace.
func Key(workspace, idempotencyKey string) string {
	h := sha256.New()
	h.Write([]byte(strconv.Itoa(len(workspace)) + ":" + workspace + ":" + idempotencyKey))
	return keyPrefix + hex.EncodeToString(h.Sum(nil))
}

// Encode returns the JSON value of r for the store.
func (r *Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // unreachable: every value of the fields has a JSON form
	}
	return value
}

// Decode parses the value of a record. It returns an *Error if the value is not the JSON form of a record, if
// the state is unknown, or if the state is completed and there is no response.
func Decode(value []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, &Error{Op: "decode", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	switch r.State {
	case StateOpen, StateNotRun, StateUnknown:
		return r, nil
	case StateCompleted:
		if r.Response != nil {
			return r, nil
		}
	}
	return nil, &Error{Op: "decode", Kind: KindInvalid, Err: errors.Errorf("state %q: unknown or no response", r.State)}
}

// RecordedForm returns the response to record for r: r itself, or only its status if the body or the header is too
// large.
func (r *Response) RecordedForm() *Response {
	size := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if len(r.Body) > MaxResponseBytes || size > maxHeaderBytes {
		return &Response{Status: r.Status, Omitted: true}
	}
	return r
}

// AttemptID returns the ID under which the host of o is asked about the attempt.
func (o Owner) AttemptID() protocol.AttemptID {
	return protocol.AttemptID{Host: o.Host, Incarnation: o.Incarnation, Request: o.Request, Attempt: 1}
}

// OwnerFromAttemptID returns the owner that id identifies. The attempt number of id is ignored.
func OwnerFromAttemptID(id protocol.AttemptID) Owner {
	return Owner{Host: id.Host, Incarnation: id.Incarnation, Request: id.Request}
}
