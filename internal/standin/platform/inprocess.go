package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// InProcess is an http.RoundTripper that calls the handler of a Server without a socket, so that tests can run it under
// virtual time.
type InProcess struct {
	Server *Server
}

// RoundTrip passes req to the Server's handler and returns its response. It returns io.ErrUnexpectedEOF if the handler
// aborts the connection, and the context's error if the request's context ends first.
func (t *InProcess) RoundTrip(req *http.Request) (*http.Response, error) {
	type result struct {
		resp *http.Response
		err  error
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	done := make(chan result, 1)
	go func() {
		defer func() {
			switch cause := recover(); cause {
			case nil:
			case http.ErrAbortHandler:
				done <- result{err: errors.WithStack(io.ErrUnexpectedEOF)}
			default:
				panic(cause)
			}
		}()
		w := httptest.NewRecorder()
		t.Server.Handler().ServeHTTP(w, req)
		done <- result{resp: w.Result()}
	}()
	select {
	case r := <-done:
		return r.resp, r.err
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}
