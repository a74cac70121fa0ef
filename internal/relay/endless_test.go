package relay_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/metrics"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/payload"
)

// liveHeap collects garbage and returns the size of the heap after that.
func liveHeap() uint64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// kept returns the most memory that some samples in a row show. What is allocated while one is taken counts as live in that one,
// though it may be garbage.
func kept(samples []uint64) uint64 {
	const inRow = 4
	var most uint64
	for i := inRow; i <= len(samples); i++ {
		most = max(most, slices.Min(samples[i-inRow:i]))
	}
	return most
}

// shortFields returns a megabyte of header fields without values, no two of which are alike.
func shortFields() string {
	var b strings.Builder
	for n := 0; b.Len() < 1<<20; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// Guards against LOST: a replica in trouble sends bytes without end, in the head of a response or in an event of a stream, and the
// host keeps them until it has no memory left, so that the requests of other callers end with it. The bytes are short of the limit of
// one response, so that the host waits for more.
func TestResponsesWithoutEndTakeBoundedMemory(t *testing.T) {
	const (
		calls = 40
		limit = 4 << 20 // bytes of all payloads together
		each  = 256 << 10
	)
	for name, text := range map[string]string{
		"fields":         "HTTP/1.1 200 OK\r\n" + shortFields()[:1000<<10],
		"line":           "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 1000<<10),
		"event":          lengthless + "id: 1\ndata: " + strings.Repeat("x", 1000<<10),
		"intermediate":   strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 30000),
		"other response": strings.Repeat("HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 900000\r\n\r\n"+strings.Repeat("x", 900000), 2),
	} {
		t.Run(name, func(t *testing.T) {
			sent := []byte(text) // once for all connections, since it counts as memory of the process
			r := rawWorld(t, func(c *net.TCPConn) {
				_, _ = c.Write(sent)
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			})
			r.Payloads = &payload.Budget{Limit: limit}
			before := liveHeap()
			var all sync.WaitGroup
			for range calls {
				all.Go(func() { serveBody(r, call.RetryResume, true, nil) })
			}
			var samples []uint64
			done := make(chan struct{})
			go func() { all.Wait(); close(done) }()
			for ended := false; !ended; {
				select {
				case <-done:
					ended = true
				case <-time.After(50 * time.Millisecond):
					samples = append(samples, liveHeap())
				}
			}
			most := max(before, kept(samples))
			if grown, allowed := most-before, uint64(calls*each+2*limit); grown > allowed {
				t.Errorf("the memory grew by %d MiB, want at most %d MiB; samples %v", grown>>20, allowed>>20, samples)
			} else {
				t.Logf("the memory grew by %d KiB", grown>>10)
			}
			if used := r.Payloads.Used(); used != 0 {
				t.Errorf("%d bytes are still counted", used)
			}
		})
	}
}
