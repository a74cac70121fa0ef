package replica

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// PlainResponse returns the body with which a plain service responds to a request with the given target and body.
func PlainResponse(target, body string) string { return "answer to " + target + " " + body }

// servePlain responds as a plain service, after the time ServiceTime.
func (p *Replica) servePlain(w http.ResponseWriter, r *http.Request, id, body string, fault Fault) {
	select {
	case <-time.After(p.ServiceTime):
	case <-r.Context().Done():
		return
	}
	if fault == FaultSilentStart {
		time.Sleep(p.silence())
	}
	text := PlainResponse(r.RequestURI, body)
	w.Header().Set("Response-Signature", Signature(id))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch fault {
	case FaultError:
		text = "failed"
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.WriteHeader(http.StatusInternalServerError)
	case FaultTruncate:
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case FaultSilentMiddle:
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(p.silence())
		text = text[len(text)/2:]
	case FaultNoLength:
		w.Header().Del("Content-Length")
		omitLength(w)
	case FaultDuplicate:
		p.sendTwice(w, id, text)
		return
	default:
	}
	_, _ = io.WriteString(w, text)
}

// sendTwice writes the same response twice to the connection and closes the connection 200 ms later.
func (p *Replica) sendTwice(w http.ResponseWriter, id, text string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	limit := ""
	if value := w.Header().Get(headerLimit); value != "" {
		limit = headerLimit + ": " + value + "\r\n"
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		id, Signature(id), limit, len(text), text)
	_, _ = buffered.WriteString(response + response)
	_ = buffered.Flush()
	time.Sleep(200 * time.Millisecond)
}

// omitLength makes the end of the connection the end of the response, which has neither a length nor chunks.
func omitLength(w http.ResponseWriter) { w.Header().Set("Transfer-Encoding", "identity") }
