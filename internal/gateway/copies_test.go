package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

// restartedReplica is a replica that has started again under another id at the address that it had. Requests for the id that it
// gets first are for the one that it had, and are refused. On a connection with a refusal it writes that once more.
type restartedReplica struct {
	mu       sync.Mutex
	formerID string
	runs     int
}

// serve serves one connection.
func (r *restartedReplica) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	copied := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id, expected := req.Header.Get("Request-Id"), req.Header.Get("Expected-Instance")
		if r.isFormer(expected) {
			copied = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = io.WriteString(c, copied)
			continue
		}
		text := replica.PlainResponse(req.RequestURI, "o")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id,
			replica.Signature(id), len(text), text)
		_, _ = io.WriteString(c, copied+answer)
	}
}

// isFormer reports whether the id is the one that the replica had. If not, it counts a run.
func (r *restartedReplica) isFormer(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.formerID == "" {
		r.formerID = id
	}
	if r.formerID != id {
		r.runs++
	}
	return r.formerID == id
}

// Guards against an order that is refused though it has run, or that runs twice: a replica starts again under another id, its
// former entry is still there, and what it has refused comes to it once more on the same connection, on which it writes the
// refusal again.
func TestCopyOfRefusalOfSameRequestIsNoAnswer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, &faultInjector{})
	defer c.logOnFailure()
	r := &restartedReplica{}
	address := listener.Serve(t, r.serve)
	for _, stale := range c.replicas[4:6] {
		stale.Address = address
		c.store.Put("servers/"+stale.ID, stale.Entry("ready"))
	}
	c.store.Remove("servers/" + c.replicas[6].ID)
	c.eventually("both entries are known, and no other", func() bool {
		var desks []netip.AddrPort
		for _, known := range c.hosts[0].status().Replicas {
			if known.Service == "desk" {
				desks = append(desks, known.Address)
			}
		}
		return slices.Equal(desks, []netip.AddrPort{address, address})
	})
	resp := c.post(0, "/orders/once", "o")
	if resp.status != http.StatusOK || r.runs != 1 {
		t.Errorf("status %d after %d runs, error %v", resp.status, r.runs, resp.err)
	}
}
