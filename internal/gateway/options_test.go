package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request with the target * names no path. Guards against a success that no replica has given, without any check (review/14).
func TestOptionsForWholeHostHasNoRoute(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, &faultInjector{})
	conn, err := net.Dial("tcp", c.hosts[0].settings.CallerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(eventualTimeout))
	if _, err := fmt.Fprintf(conn, "OPTIONS * HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: o1\r\nTimeout-Remaining: 2000\r\n"+
		"Authorization: Bearer %s\r\n\r\n", testKey); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNotFound || resp.Header.Get("Request-Id") != "o1" {
		t.Errorf("status %d, request ID %q, want 404 for o1", resp.StatusCode, resp.Header.Get("Request-Id"))
	}
}
