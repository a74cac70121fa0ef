package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

// Guards against the text of an error, or a part of another run, in the middle of a stream that broke off after it had begun, and
// against such a stream that ends as if it were complete: the replica at which it is resumed must go on after the last event.
func TestReplicaThatDoesNotResumeEndsNoStream(t *testing.T) {
	t.Parallel()
	const (
		sent     = 3 // events before the stream breaks off
		noID     = "data: x\n\n"
		errorTag = "data: error\n\n"
	)
	for _, test := range []struct {
		name, status, fields string
		body                 func(id string) string
		withoutIDs           bool // the events that were sent before have none
	}{
		{"server error", "500 Internal Server Error", "Content-Length: 3", func(string) string { return "no\n" }, false},
		{"client error", "400 Bad Request", "Content-Length: 3", func(string) string { return "no\n" }, false},
		{"text as a success", "200 OK", "Content-Length: 3", func(string) string { return "no\n" }, false},
		{"head as a success", "200 OK", chunkedField, func(string) string {
			return chunkOf("HTTP/1.1 500 Internal Server Error\r\n\r\nno\n\n") + finalChunk
		}, false},
		{"error as an event", "200 OK", chunkedField, func(string) string { return chunkOf(errorTag) + finalChunk }, false},
		{"no events, length 0", "200 OK", "Content-Length: 0", func(string) string { return "" }, false},
		{"no events, chunked", "200 OK", chunkedField, func(string) string { return finalChunk }, false},
		{"no events, ends with its connection", "200 OK", "Connection: close", func(string) string { return "" }, false},
		{"begins again", "200 OK", chunkedField, func(id string) string {
			return chunkOf(eventsOf(id, 1, allEvents)) + finalChunk
		}, false},
		{"events without ids begin again", "200 OK", chunkedField, func(string) string { return chunkOf(noID+noID) + finalChunk }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			first := func(id string) string {
				if test.withoutIDs {
					return noID
				}
				return eventsOf(id, 1, sent)
			}
			c, _ := newScriptedCluster(t, 2, func(attempt int, r *http.Request, conn net.Conn) {
				id := r.Header.Get("Request-Id")
				if attempt > 1 {
					_, _ = io.WriteString(conn, scriptedHead(r, test.status, test.fields)+test.body(id))
					return
				}
				_, _ = io.WriteString(conn, scriptedHead(r, "200 OK", chunkedField)+chunkOf(first(id)))
			})
			defer c.logOnFailure()
			resp := c.post(0, "/quotes/1", "q")
			if resp.err == nil || resp.body != first(resp.id) {
				t.Errorf("status %d, error %v, body %q, want the events before the break and an error", resp.status, resp.err, resp.body)
			}
		})
	}
}

// Guards against a stream that is cut though the third replica resumes it: what the second one sent, which began again, no longer
// counts then.
func TestStreamIsResumedAfterReplicaThatBeginsAgain(t *testing.T) {
	t.Parallel()
	c, _ := newScriptedCluster(t, 3, func(attempt int, r *http.Request, conn net.Conn) {
		id := r.Header.Get("Request-Id")
		_, _ = io.WriteString(conn, scriptedHead(r, "200 OK", chunkedField))
		switch attempt {
		case 1:
			_, _ = io.WriteString(conn, chunkOf(eventsOf(id, 1, 3)))
		case 2:
			_, _ = io.WriteString(conn, chunkOf(eventsOf(id, 1, replica.EventCount(id)))+finalChunk)
		default:
			_, _ = io.WriteString(conn, chunkOf(eventsOf(id, after(r), allEvents))+finalChunk)
		}
	})
	defer c.logOnFailure()
	resp := c.post(0, "/quotes/1", "q")
	c.wantResponse(resp, completeStream(resp.id))
}
