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

// MaxAnswerBytes is the largest answer body that a record keeps.
const MaxAnswerBytes = 512 << 10

const (
	maxHeaderBytes = 64 << 10
	keyPrefix      = "claims/"
)

// States of a record.
const (
	StateOpen      State = "open"      // the owner may dispatch, is waiting for the answer, or is gone
	StateCompleted State = "completed" // the request ran and its answer is recorded
	StateNotRun    State = "not_run"   // the owner never dispatched it and never will
	StateUnknown   State = "unknown"   // the request may have run and its answer was lost
)

// The records in the store and what they hold.
type (
	// State is how far the request under a claim has come.
	State string

	// Owner names the attempt that created a claim.
	Owner struct {
		Host        string `json:"host"`
		Incarnation uint64 `json:"incarnation"`
		Request     string `json:"request"`
	}

	// Record is the value of a claim in the store.
	Record struct {
		BodyDigest string  `json:"body_digest"`
		Owner      Owner   `json:"owner"`
		State      State   `json:"state"`
		Answer     *Answer `json:"answer,omitempty"`
	}

	// Answer is a service's answer to the request.
	Answer struct {
		Status  int         `json:"status"`
		Header  http.Header `json:"header,omitempty"`
		Body    []byte      `json:"body,omitempty"`
		Omitted bool        `json:"omitted,omitempty"` // Header and Body were too large to be recorded
	}
)

// Kind classifies an Error.
type Kind string

// KindInvalid is the kind of a record that can't be decoded.
const KindInvalid Kind = "invalid"

// Error is a failure to read a record.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Key returns the store's key of the claim for a workspace's idempotency key.
func Key(workspace, idempotencyKey string) string {
	h := sha256.New()
	h.Write([]byte(strconv.Itoa(len(workspace)) + ":" + workspace + ":" + idempotencyKey))
	return keyPrefix + hex.EncodeToString(h.Sum(nil))
}

// Encode returns the value of r in the store.
func (r *Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // the fields always have a JSON form
	}
	return value
}

// Decode parses the value of a record, or returns an *Error.
func Decode(value []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, &Error{Op: "decode", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	switch r.State {
	case StateOpen, StateNotRun, StateUnknown:
		return r, nil
	case StateCompleted:
		if r.Answer != nil {
			return r, nil
		}
	}
	return nil, &Error{Op: "decode", Kind: KindInvalid, Err: errors.Errorf("state %q", r.State)}
}

// Recorded returns the form of a that a record keeps, without what is too large.
func (a *Answer) Recorded() *Answer {
	size := 0
	for name, values := range a.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if len(a.Body) > MaxAnswerBytes || size > maxHeaderBytes {
		return &Answer{Status: a.Status, Omitted: true}
	}
	return a
}

// AttemptID returns the owner as the attempt that a peer is asked about.
func (o Owner) AttemptID() protocol.AttemptID {
	return protocol.AttemptID{Host: o.Host, Incarnation: o.Incarnation, Request: o.Request, Attempt: 1}
}

// OwnerOf returns the owner that an attempt stands for.
func OwnerOf(id protocol.AttemptID) Owner {
	return Owner{Host: id.Host, Incarnation: id.Incarnation, Request: id.Request}
}
