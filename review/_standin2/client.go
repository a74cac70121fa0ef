package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client has seen of one request.
type answer struct {
	id       string
	path     string // "order" for a request that must not be repeated
	host     string
	kept     bool // the request came on a connection that had carried another one
	sentAt   time.Time
	endedAt  time.Time
	status   int    // 0 if no head has come
	signed   bool   // the head bears a replica's signature
	body     string // as far as it has come
	complete bool   // the body has come to its end
	err      error
}

func (a *answer) String() string {
	end := "complete"
	if !a.complete {
		end = fmt.Sprintf("not complete: %v", a.err)
	}
	if a.status == 0 {
		end = fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("answer  %s  host %s  status %d  signed %v  %d bytes  %.0f ms  %s", a.id, a.host, a.status, a.signed,
		len(a.body), a.endedAt.Sub(a.sentAt).Seconds()*1000, end)
}

// client keeps one connection to a host.
type client struct {
	record *record
	host   *host
	conn   net.Conn
	reader *bufio.Reader
}

// request is what a client sends.
type request struct {
	id, method, path, key string
	timeoutMS             int
	tokens                string // Token-Usage; "" for none
	parts                 string // Prompt-Prefix
	body                  string
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// do sends a request and reads its answer.
func (c *client) do(q request) *answer {
	a := &answer{id: q.id, host: c.host.name, kept: c.conn != nil, sentAt: time.Now()}
	if strings.HasPrefix(q.path, "/orders/") {
		a.path = "order"
	}
	defer func() {
		a.endedAt = time.Now()
		c.record.line("%s", a)
		if a.err != nil {
			c.close()
		}
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.front, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	key := q.key
	if key == "" {
		key = apiKey
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Remaining: %d\r\nAuthorization: Bearer %s\r\n",
		q.method, q.path, routeHost, q.id, q.timeoutMS, key)
	if q.tokens != "" {
		head += "Model: m\r\nToken-Usage: " + q.tokens + "\r\nPrompt-Prefix: " + q.parts + "\r\n"
	}
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	c.record.line("send    %s  %s %s to host %s", q.id, q.method, q.path, c.host.name)
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(q.timeoutMS)*time.Millisecond + 500*time.Millisecond))
	if _, a.err = io.WriteString(c.conn, head+"\r\n"+q.body); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signed = resp.StatusCode, resp.Header.Get("Response-Signature") == signature(q.id)
	body, err := io.ReadAll(resp.Body)
	a.body = string(body)
	a.err = err
	a.complete = err == nil
	if resp.Close && c.conn != nil {
		c.close()
	}
	return a
}

// answers collects what clients have seen.
type answers struct {
	mu  sync.Mutex
	all []*answer
}

func (l *answers) add(a *answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

// completeStream returns the text of a whole stream.
func completeStream(id string) string {
	var b strings.Builder
	for n := 1; n <= eventCount; n++ {
		b.WriteString(eventText(id, n))
	}
	return b.String()
}
