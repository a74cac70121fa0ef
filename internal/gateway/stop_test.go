package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a planned stop that cuts off a request that the host has just accepted and whose head isn't complete
// yet when no other request is in flight any more.
func TestPlannedStopAnswersRequestAcceptedLast(t *testing.T) {
	t.Parallel()
	const (
		acceptTime = 2400 * time.Millisecond // after the stop has begun, shortly before the host closes its listener
		headTime   = 400 * time.Millisecond  // for the rest of the head
	)
	c := newCluster(t, 2, &faultInjector{})
	defer c.logOnFailure()
	h := c.hosts[0]
	h.stop()
	time.Sleep(acceptTime)
	conn, err := net.Dial("tcp", h.settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /lookups/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: last\r\n")
	time.Sleep(headTime)
	fmt.Fprintf(conn, "Timeout-Remaining: 2000\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("the request that was accepted last got no answer: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", resp.StatusCode)
	}
	c.eventually("the host has stopped", func() bool { return len(h.done) == 1 })
}
