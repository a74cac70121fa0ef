package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindRefused  Kind = "refused"   // the engine refused, and nothing ran
	KindConnect  Kind = "connect"   // no connection, so nothing was sent
	KindSilent   Kind = "silent"    // nothing arrived in time on an open connection
	KindBroken   Kind = "broken"    // the connection broke or the answer is no answer of an engine
	KindNotFound Kind = "not_found" // the engine does not know the attempt or allocation
	KindInvalid  Kind = "invalid"   // a message breaks the interface's rules
	KindCanceled Kind = "canceled"  // the caller's context is done
)

// Error is a failed call; Refusal is the refusal kind of engineapi when the engine sent one, and Unsent tells that
// not a byte of the call can have left.
type Error struct {
	Op      string
	Kind    Kind
	Server  string
	Refusal string
	Unsent  bool
	Err     error
}

// Error returns the operation, server, kind and cause in one line.
func (e *Error) Error() string {
	text := e.Op + " at " + e.Server + ": " + string(e.Kind)
	if e.Refusal != "" {
		text += " (" + e.Refusal + ")"
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the engine certainly did nothing: it said so itself, or nothing was sent.
func (e *Error) NotRun() bool { return e.Refusal != "" || e.Unsent }

var errSilent = errors.New("nothing received in time")

// callError classifies a failed exchange; sent tells whether anything may have been sent.
func callError(ctx, caller context.Context, op, server string, sent bool, err error) *Error {
	e := &Error{Op: op, Kind: KindBroken, Server: server, Unsent: !sent, Err: errors.WithStack(err)}
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		e.Kind, e.Err = KindSilent, errSilent
	case caller.Err() != nil:
		e.Kind = KindCanceled
	}
	if !sent && e.Kind != KindCanceled {
		e.Kind = KindConnect
	}
	return e
}

// refusalError turns an HTTP error into an *Error.
func refusalError(op, server string, resp *http.Response) *Error {
	e := &Error{Op: op, Kind: KindBroken, Server: server, Err: errors.New(resp.Status)}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		return e
	}
	var refusal engineapi.Refusal
	if json.Unmarshal(body, &refusal) != nil {
		return e
	}
	switch refusal.Kind {
	case "":
		return e
	case engineapi.RefusalNotFound:
		e.Kind = KindNotFound
	case engineapi.RefusalInvalid:
		e.Kind = KindInvalid
	default:
		e.Kind = KindRefused
	}
	e.Refusal = refusal.Kind
	e.Err = errors.New(refusal.Message)
	return e
}
