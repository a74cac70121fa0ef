package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// onceBody hides from the transport that a body could be sent again.
type onceBody struct{ io.ReadCloser }

// Send passes a request to a plain service at most once; only the server's address replaces the URL's.
//
// The transport would send a request again by itself when a reused connection breaks if the request has an
// Idempotency-Key header and an empty or repeatable body, so the body is made one that it can't repeat.
func (c *Client) Send(ctx context.Context, server protocol.Server, req *http.Request) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	out := req.Clone(httptrace.WithClientTrace(ctx, trace))
	out.URL.Scheme, out.URL.Host = "http", server.Address.String()
	out.RequestURI = ""
	out.GetBody = nil
	if out.Body == nil {
		out.Body = http.NoBody
	}
	if req.Method != http.MethodGet && req.Method != http.MethodHead {
		out.Body = onceBody{out.Body}
	}
	resp, err := c.transport(&exchange{server: server}).RoundTrip(out)
	if err != nil {
		return nil, callError(ctx, ctx, "send", server.Name, sent.Load(), err)
	}
	return resp, nil
}
