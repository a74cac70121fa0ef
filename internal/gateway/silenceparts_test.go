package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

// partingReplica responds in raw bytes, with a silence between two of them.
type partingReplica struct {
	parts func(r *http.Request) (before, after string) // what it sends before and after the silence
}

func (p *partingReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	before, after := p.parts(r)
	_, _ = io.WriteString(conn, before)
	time.Sleep(silenceLength)
	_, _ = io.WriteString(conn, after)
}

// Failure: a stream of which no more attempts may be made is ended because its replica is silent in the middle of the
// head or of a chunk, while it is waited for if it is silent between two of these.
func TestSilenceInsidePartOfStreamDoesNotEndIt(t *testing.T) {
	t.Parallel()
	head := func(r *http.Request, fields string) string {
		id := r.Header.Get("Request-Id")
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: " + replica.Signature(id) + "\r\n" +
			fields + "\r\n\r\n"
	}
	chunkedStream := func(r *http.Request) string {
		text := completeStream(r.Header.Get("Request-Id"))
		return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	const chunked, closed, lastChunk = "Transfer-Encoding: chunked", "Connection: close", "0\r\n\r\n"
	for _, test := range []struct {
		name  string
		parts func(r *http.Request) (before, after string)
	}{
		{"before the head", func(r *http.Request) (string, string) {
			return "", head(r, chunked) + chunkedStream(r) + lastChunk
		}},
		{"inside the head", func(r *http.Request) (string, string) {
			text := head(r, chunked)
			return text[:len(text)/2], text[len(text)/2:] + chunkedStream(r) + lastChunk
		}},
		{"inside a chunk's length", func(r *http.Request) (string, string) {
			text := chunkedStream(r)
			return head(r, chunked) + text[:1], text[1:] + lastChunk
		}},
		{"inside a chunk", func(r *http.Request) (string, string) {
			text := chunkedStream(r)
			return head(r, chunked) + text[:len(text)/2], text[len(text)/2:] + lastChunk
		}},
		{"between two chunks", func(r *http.Request) (string, string) {
			return head(r, chunked) + chunkedStream(r), lastChunk
		}},
		{"inside the last chunk", func(r *http.Request) (string, string) {
			return head(r, chunked) + chunkedStream(r) + lastChunk[:3], lastChunk[3:]
		}},
		{"inside a stream that ends with its connection", func(r *http.Request) (string, string) {
			text := completeStream(r.Header.Get("Request-Id"))
			return head(r, closed) + text[:len(text)/2], text[len(text)/2:]
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newSilentCluster(t, &faultInjector{}, newSilence(1))
			defer c.logOnFailure()
			doc := c.configuration()
			for _, route := range doc["routes"].([]any) {
				route.(map[string]any)["maxAttempts"] = 1
			}
			c.putConfiguration(doc)
			c.eventually("the configuration is active", func() bool {
				return c.hosts[0].status().Configuration.Version == int64(c.version)
			})
			c.replace(func(*replica.Replica) http.Handler { return &partingReplica{parts: test.parts} })
			c.silentRequests(1, c.sendStream, completeStream)
		})
	}
}

// Failure: a configuration drops a service whose engines prefill long prompts; the host no longer knows how long these
// take, gives up sound engines as silent, and callers get neither a response of a replica nor a refusal.
func TestLongPromptsAreAnsweredWhenConfigurationChanges(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name                 string
		moveRoutes, dropsLLM bool
	}{
		{"new version", false, false}, {"routes moved to another service", true, false}, {"service dropped", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, &faultInjector{})
			defer c.logOnFailure()
			c.allowRetries()
			doc := c.configuration()
			if test.moveRoutes {
				for _, route := range doc["routes"].([]any) {
					route.(map[string]any)["trafficSplit"] = []any{map[string]any{"service": "desk", "weight": 1}}
				}
			}
			if test.dropsLLM {
				doc["services"] = slices.DeleteFunc(doc["services"].([]any), func(s any) bool {
					return s.(map[string]any)["name"] == "llm"
				})
			}
			c.checkLongPrompts(func() { c.putConfiguration(doc) })
		})
	}
}

// checkLongPrompts sends more long prompts at once than there are engines and calls change once engines prefill them.
// It checks that each gets the replica's complete response, or a refusal if it has not run.
func (c *cluster) checkLongPrompts(change func()) {
	c.t.Helper()
	const prompts = 6
	since := time.Now()
	var all sync.WaitGroup
	for i := range prompts {
		all.Add(1)
		go func() {
			defer all.Done()
			resp := c.do(0, http.MethodPost, fmt.Sprintf("/dossiers/%d", i), "p", http.Header{
				"Token-Usage": {"150000,500"}, "Model": {"m"}, "Timeout-Remaining": {"15000"},
			})
			c.t.Logf("%s ended after %v with status %d", resp.id, resp.took, resp.status)
			if resp.status != http.StatusServiceUnavailable || c.log.Runs(resp.id) > 0 {
				c.wantResponse(resp, completeStream(resp.id))
			}
		}()
	}
	c.eventually("an engine prefills a prompt", func() bool {
		return slices.ContainsFunc(c.replicas, func(r *replica.Replica) bool { return len(c.log.Received(r.ID, since)) > 0 })
	})
	change()
	all.Wait()
}

// A replica stalls in the middle of a stream, but sends a comment now and then. Guards against taking that for progress:
// the stream must go on at another replica long before the caller's deadline.
func TestStalledStreamWithKeepAlivesIsResumed(t *testing.T) {
	t.Parallel()
	f := &faultInjector{}
	c := newCluster(t, 1, f)
	defer c.logOnFailure()
	var stalled sync.Map // IDs of requests that have stalled
	f.set(func(_ string, r *http.Request) replica.Fault {
		if _, again := stalled.LoadOrStore(r.Header.Get("Request-Id"), true); again {
			return replica.FaultNone
		}
		return replica.FaultKeepAlive
	})
	const longest = 6 * time.Second
	resp := c.post(0, "/quotes/1", "q")
	resp.body = strings.ReplaceAll(resp.body, replica.KeepAlive, "")
	c.wantResponse(resp, completeStream(resp.id))
	if resp.took > longest {
		t.Errorf("the response took %v, want %v at most", resp.took, longest)
	}
}
