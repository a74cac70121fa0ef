// Package backend sends calls to backend servers over HTTP/1.1 and reads their responses.
//
// It manages its own connections instead of using http.Transport, because it must know whether a call may have reached
// the server, must never resend a call on its own, and must distinguish late responses to other calls from the response
// to the current one.
package backend
