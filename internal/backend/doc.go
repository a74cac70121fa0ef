// Package backend sends calls to backend servers over HTTP/1.1 and reads their answers.
//
// It writes and reads on its own connections, not through http.Transport, because it must know whether a call may have
// reached the server, must never send one twice by itself, and must tell late answers to other calls from the right one.
package backend
