package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got on one request.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool  // the body ended as its head says
	err      error // of reading
	took     time.Duration
}

// String describes the answer for the record.
func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %d ms (%v)", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes, complete %v, %d ms", a.status,
		a.header.Get("Response-Signature"), len(a.body), a.complete, a.took.Milliseconds())
}

// request is a client's request.
type request struct {
	method, path, id string
	timeout          time.Duration // that the client waits
	header           http.Header   // further headers
	key              string        // apiKey if empty
	body             []byte
}

// bytes returns the request as it is sent.
func (r *request) bytes() []byte {
	var b bytes.Buffer
	key := apiKey
	if r.key != "" {
		key = r.key
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Remaining: %d\r\nAuthorization: Bearer %s\r\n",
		r.method, r.path, callHost, r.id, r.timeout.Milliseconds(), key)
	if len(r.body) > 0 || r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	for name, values := range r.header {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

// send sends a request to a host on a new connection and reads the answer.
func send(address string, r *request) *answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return &answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(r.timeout + 2*time.Second))
	go func() { _, _ = c.Write(r.bytes()) }()
	return readAnswer(bufio.NewReader(c), r, began)
}

// readAnswer reads the answer to a request.
func readAnswer(reader *bufio.Reader, r *request, began time.Time) *answer {
	resp, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return &answer{err: err, took: time.Since(began)}
	}
	body, err := io.ReadAll(resp.Body)
	return &answer{
		status: resp.StatusCode, header: resp.Header, body: body, complete: err == nil, err: err, took: time.Since(began),
	}
}
