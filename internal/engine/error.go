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
	KindRefused      Kind = "refused"   // the engine refused the call and ran nothing
	KindNotConnected Kind = "connect"   // no connection could be opened, so nothing was sent
	KindTimeout      Kind = "silent"    // no data arrived on an open connection within the timeout
	KindBroken       Kind = "broken"    // the connection broke, or the response is not one that an engine sends
	KindNotFound     Kind = "not_found" // the engine does not know the attempt or the allocation
	KindInvalid      Kind = "invalid"   // the request or the response violates the engine API
	KindCanceled     Kind = "canceled"  // the caller's context is canceled or its deadline has passed
)

// Error describes a failed call to an engine.
type Error struct {
	Op      string // name of the operation, such as "submit"
	Kind    Kind
	Server  string // name of the backend server
	Refusal string // refusal kind of engineapi that the engine sent; empty if it sent none
	NotSent bool   // no byte of the request can have been sent
	Err     error  // cause
}

// Error returns the operation, the server, the kinds of the error and of the refusal, and the cause in one line.
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

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the engine certainly did not run the call: either it refused the call, or nothing was sent.
func (e *Error) NotRun() bool { return e.Refusal != "" || e.NotSent }

var errReceiveTimeout = errors.New("no data received within the timeout")

// callError classifies err, with which an HTTP exchange under ctx failed. The context of the caller, callerCtx, is the
// parent of ctx, and mayBeSent reports whether any byte of the request may have been sent.
func callError(ctx, callerCtx context.Context, op, server string, mayBeSent bool, err error) *Error {
	e := &Error{Op: op, Kind: KindBroken, Server: server, NotSent: !mayBeSent, Err: errors.WithStack(err)}
	switch {
	case errors.Is(context.Cause(ctx), errReceiveTimeout):
		e.Kind, e.Err = KindTimeout, errReceiveTimeout
	case callerCtx.Err() != nil:
		e.Kind = KindCanceled
	}
	if !mayBeSent && e.Kind != KindCanceled {
		e.Kind = KindNotConnected
	}
	return e
}

// refusalError converts a response with another status than 200 into an *Error. The kind of the error is KindBroken if
// the body is not a refusal as engineapi defines it.
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
