package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

// script serves the attempts of requests in raw bytes: attempt counts those that reached any replica, from 1.
type script func(attempt int, r *http.Request, conn net.Conn)

// scriptedReplica is a replica whose requests are served by a script. It serves other paths as usual.
type scriptedReplica struct {
	*replica.Replica
	attempts *attemptCounter
	script   script
}

// attemptCounter counts the attempts of each request at all replicas.
type attemptCounter struct {
	mu    sync.Mutex
	count map[string]int // by Request-Id
}

func (a *attemptCounter) add(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count[id]++
	return a.count[id]
}

func (a *attemptCounter) of(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count[id]
}

func (s *scriptedReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/order" || r.URL.Path == "/health" {
		s.Replica.ServeHTTP(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt := s.attempts.add(r.Header.Get("Request-Id"))
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	s.script(attempt, r, conn)
}

// newScriptedCluster starts a cluster of one host with the given maxAttempts, whose replicas follow s.
func newScriptedCluster(t *testing.T, maxAttempts int, s script) (*cluster, *attemptCounter) {
	t.Helper()
	return newScriptedHosts(t, 1, maxAttempts, s)
}

// newScriptedHosts starts a cluster of the given number of hosts.
func newScriptedHosts(t *testing.T, hosts, maxAttempts int, s script) (*cluster, *attemptCounter) {
	t.Helper()
	c := newCluster(t, hosts, &faultInjector{})
	c.allowRetries()
	c.setRoutes("maxAttempts", maxAttempts)
	counter := &attemptCounter{count: make(map[string]int)}
	c.replace(func(r *replica.Replica) http.Handler {
		return &scriptedReplica{Replica: r, attempts: counter, script: s}
	})
	return c, counter
}

// untilClosed returns when the host has closed the connection.
func untilClosed(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(12 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
}

func scriptedHead(r *http.Request, status, fields string) string {
	id := r.Header.Get("Request-Id")
	return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\nResponse-Signature: " + replica.Signature(id) + "\r\n" +
		fields + "\r\n\r\n"
}

// eventsOf returns the events with the given numbers; to is limited to the number of events.
func eventsOf(id string, from, to int) string {
	var b strings.Builder
	for n := from; n <= min(to, replica.EventCount(id)); n++ {
		b.WriteString(replica.EventText(id, n))
	}
	return b.String()
}

func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const (
	chunkedField  = "Transfer-Encoding: chunked"
	finalChunk    = "0\r\n\r\n"
	allEvents     = 1 << 10
	hushLength    = 1800 * time.Millisecond // longer than the limit of a silence and the start of another attempt
	pieceInterval = 50 * time.Millisecond
)

// after returns the number of the first event that the caller of r lacks.
func after(r *http.Request) int {
	n := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &n)
	return n + 1
}

// sendPieces sends the events of a stream from the number from on, each in a chunk of its own.
func sendPieces(conn net.Conn, r *http.Request, from int) {
	id := r.Header.Get("Request-Id")
	_, _ = io.WriteString(conn, scriptedHead(r, "200 OK", chunkedField))
	for n := from; n <= replica.EventCount(id); n++ {
		_, _ = io.WriteString(conn, chunkOf(replica.EventText(id, n)))
		time.Sleep(pieceInterval)
	}
	_, _ = io.WriteString(conn, finalChunk)
}

// Failure: a replica is silent inside a chunk after complete events. Once the hedge has begun, these events arrive
// together with the time-out, cancel the hedge, and then the attempt itself is given up: the stream is cut although both
// replicas would have completed it.
func TestSilenceAfterEventsInsideChunk(t *testing.T) {
	t.Parallel()
	c, _ := newScriptedCluster(t, 2, func(attempt int, r *http.Request, conn net.Conn) {
		id := r.Header.Get("Request-Id")
		if attempt > 1 {
			sendPieces(conn, r, after(r))
			return
		}
		text := chunkOf(eventsOf(id, 1, allEvents))
		early := strings.Index(text, replica.EventText(id, 3))
		_, _ = io.WriteString(conn, scriptedHead(r, "200 OK", chunkedField)+text[:early])
		time.Sleep(hushLength)
		_, _ = io.WriteString(conn, text[early:]+finalChunk)
	})
	defer c.logOnFailure()
	c.silentRequests(1, func() response { return c.post(0, "/quotes/1", "q") }, completeStream)
}

// Failure: the complete response of a hedge that arrives together with its end counts as broken off.
func TestWholeResponseOfHedge(t *testing.T) {
	t.Parallel()
	for _, framing := range []string{"length", "chunk"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			c, _ := newScriptedCluster(t, 2, func(attempt int, r *http.Request, conn net.Conn) {
				text := eventsOf(r.Header.Get("Request-Id"), after(r), allEvents)
				switch {
				case attempt == 1:
					untilClosed(conn)
				case framing == "length":
					_, _ = io.WriteString(conn, scriptedHead(r, "200 OK", fmt.Sprintf("Content-Length: %d", len(text)))+text)
				default:
					_, _ = io.WriteString(conn, scriptedHead(r, "200 OK", chunkedField)+chunkOf(text)+finalChunk)
				}
			})
			defer c.logOnFailure()
			c.silentRequests(1, func() response { return c.post(0, "/quotes/1", "q") }, completeStream)
		})
	}
}

// Failure: a sound replica that is silent is given up for a hedge whose response can't continue the stream.
func TestUnusableHedge(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, status, fields, body string }{
		{"client error", "400 Bad Request", "Content-Length: 3", "no\n"},
		{"no events, length 0", "200 OK", "Content-Length: 0", ""},
		{"no events, chunked", "200 OK", chunkedField, finalChunk},
		{"no events, ends with its connection", "200 OK", "Connection: close", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c, _ := newScriptedCluster(t, 2, func(attempt int, r *http.Request, conn net.Conn) {
				id := r.Header.Get("Request-Id")
				if attempt > 1 {
					_, _ = io.WriteString(conn, scriptedHead(r, test.status, test.fields)+test.body)
					return
				}
				_, _ = io.WriteString(conn, scriptedHead(r, "200 OK", chunkedField)+chunkOf(eventsOf(id, 1, 3)))
				time.Sleep(hushLength)
				_, _ = io.WriteString(conn, chunkOf(eventsOf(id, 4, allEvents))+finalChunk)
			})
			defer c.logOnFailure()
			c.silentRequests(1, func() response { return c.post(0, "/quotes/1", "q") }, completeStream)
		})
	}
}

// Failure: two replicas hang, and the third attempt that the route allows is never made.
func TestThirdAttemptAfterTwoSilentReplicas(t *testing.T) {
	t.Parallel()
	for _, first := range []string{"hangs", "breaks off while the hedge hangs"} {
		t.Run("first "+first, func(t *testing.T) {
			t.Parallel()
			c, counter := newScriptedCluster(t, 3, func(attempt int, r *http.Request, conn net.Conn) {
				switch {
				case attempt > 2:
					sendPieces(conn, r, after(r))
				case attempt == 1 && first != "hangs":
					time.Sleep(hushLength)
				default:
					untilClosed(conn)
				}
			})
			defer c.logOnFailure()
			c.silentRequests(1, func() response {
				resp := c.post(0, "/quotes/1", "q")
				t.Logf("%d attempts", counter.of(resp.id))
				return resp
			}, completeStream)
		})
	}
}

// Failure: a call that runs at a hedge when its deadline passes is refused with the promise that it hasn't run.
func TestCallThatRunsAtHedgeIsNotRefused(t *testing.T) {
	t.Parallel()
	c, _ := newScriptedCluster(t, 2, func(attempt int, r *http.Request, conn net.Conn) {
		if attempt > 1 {
			untilClosed(conn)
			return
		}
		time.Sleep(hushLength)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: "+r.Header.Get("Request-Id")+
			"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	})
	defer c.logOnFailure()
	resp := c.do(0, http.MethodPost, "/quotes/1", "q", http.Header{"Timeout-Remaining": {"3000"}})
	if resp.err != nil || resp.status == http.StatusServiceUnavailable {
		t.Errorf("status %d, error %v, %q after %v", resp.status, resp.err, resp.body, resp.took)
	}
}

// Failure: a response with a status that can't be forwarded ends the handler by a panic, and the attempt is never ended:
// memory at helpers stays reserved and the exchange stays open.
func TestAttemptEndsAfterInvalidStatus(t *testing.T) {
	t.Parallel()
	c, _ := newScriptedCluster(t, 2, func(_ int, r *http.Request, conn net.Conn) {
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(conn, scriptedHead(r, "042 Odd", chunkedField)+chunkOf(replica.EventText(r.Header.Get("Request-Id"), 1)))
		untilClosed(conn)
	})
	defer c.logOnFailure()
	reserved := func() int {
		sum := 0
		for _, r := range c.replicas {
			sum += r.Reserved()
		}
		return sum
	}
	var most int
	done := make(chan response, 1)
	go func() {
		done <- c.do(0, http.MethodPost, "/dossiers/huge", "p", http.Header{"Token-Usage": {"400000,500"}, "Model": {"m"}})
	}()
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		most = max(most, reserved())
	}
	resp := <-done
	time.Sleep(2 * time.Second)
	if left := reserved(); left != 0 || most == 0 {
		t.Errorf("status %d, error %v: at most %d tokens were reserved, %d still are", resp.status, resp.err, most, left)
	}
}

// Failure: a caller that reads nothing for some seconds, well before its deadline, loses its stream, since the kernel ends
// the connection once its window has been closed for the limit of unacknowledged data.
func TestCallerThatPausesReading(t *testing.T) {
	t.Parallel()
	padding := strings.Repeat("x", 1000)
	const events = 400
	c, _ := newScriptedCluster(t, 2, func(_ int, r *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, scriptedHead(r, "200 OK", chunkedField+"\r\nConnection: close"))
		for n := 1; n <= events; n++ {
			_, _ = io.WriteString(conn, chunkOf(fmt.Sprintf("id: %d\ndata: %s\n\n", n, padding)))
		}
		_, _ = io.WriteString(conn, finalChunk)
	})
	defer c.logOnFailure()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := dialer.Dial("tcp", c.hosts[0].settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /dossiers/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: pausing\r\nTimeout-Remaining: 14000\r\n"+
		"Authorization: Bearer "+testKey+"\r\nToken-Usage: 100,100\r\nModel: m\r\nContent-Length: 1\r\n\r\nq")
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(4500 * time.Millisecond)
	body, err := io.ReadAll(resp.Body)
	if got := strings.Count(string(body), "id: "); err != nil || got != events {
		t.Errorf("%d of %d events, %v", got, events, err)
	}
}
