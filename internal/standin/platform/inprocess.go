package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"

	"github.com/pkg/errors"
)

// InProcess is an http.RoundTripper that calls a Server without a socket, so that virtual time works.
type InProcess struct {
	Server *Server
}

// RoundTrip serves req, or returns an error when the server cuts the connection or the request's context ends.
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
