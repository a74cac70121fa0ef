package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/site"
	"github.com/turmericshunt/turmericshunt/internal/standin/listener"
	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
	"github.com/turmericshunt/turmericshunt/pkg/hoststatus"
)

const (
	silenceLength    = 1300 * time.Millisecond // a sound replica may fall silent for so long, by the users' pages
	eventsBeforeHush = 3                       // events of a stream before the silence of its replica
)

// silence is a time in which replicas of a cluster that are sound send nothing. It begins when the given number of
// responses has come so far that it may begin; until then, these wait.
type silence struct {
	responses  int    // number of responses that must have come so far
	beforeHead bool   // the silence begins before the head of the responses, not after eventsBeforeHush events
	everywhere bool   // all replicas fall silent, not only those of the responses
	breakAgain bool   // a stream that is resumed breaks off inside its first event
	onBegin    func() // called when the silence begins; may be nil

	mu      sync.Mutex
	reached map[string]int // number of responses that have come so far, by replica ID
	total   int            // sum of reached
	begun   chan struct{}
	ends    time.Time // valid once begun is closed
}

func newSilence(responses int) *silence {
	return &silence{responses: responses, begun: make(chan struct{}), reached: make(map[string]int)}
}

// reach is called when a response of the replica has come so far that the silence may begin. It returns when the
// silence is over.
func (s *silence) reach(ctx context.Context, id string) {
	s.mu.Lock()
	if s.total < s.responses {
		s.total++
		s.reached[id]++
		if s.total == s.responses {
			s.ends = time.Now().Add(silenceLength)
			close(s.begun)
			if s.onBegin != nil {
				s.onBegin()
			}
		}
	}
	s.mu.Unlock()
	select {
	case <-s.begun:
	case <-ctx.Done():
	}
	s.await(ctx, id)
}

// await returns when the replica isn't silent.
func (s *silence) await(ctx context.Context, id string) {
	select {
	case <-s.begun:
	default:
		return
	}
	s.mu.Lock()
	silent := s.everywhere || s.reached[id] > 0
	s.mu.Unlock()
	if !silent {
		return
	}
	select {
	case <-time.After(time.Until(s.ends)):
	case <-ctx.Done():
	}
}

// replicas returns the IDs of the replicas of the responses at which the silence began, sorted.
func (s *silence) replicas() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.reached))
	for id := range s.reached {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// pausingReplica is a replica that takes part in a silence.
type pausingReplica struct {
	*replica.Replica
	silence *silence
}

func (p *pausingReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/silent") {
		p.Replica.ServeHTTP(w, r)
		return
	}
	if p.silence.beforeHead {
		p.silence.reach(r.Context(), p.ID)
	}
	p.silence.await(r.Context(), p.ID)
	resumed := r.Header.Get("Last-Event-Id") != ""
	p.Replica.ServeHTTP(&pausingWriter{ResponseWriter: w, replica: p, ctx: r.Context(), resumed: resumed}, r)
}

// pausingWriter writes a response of a pausingReplica.
type pausingWriter struct {
	http.ResponseWriter
	replica *pausingReplica
	ctx     context.Context // of the request
	writes  int             // one for each event
	resumed bool            // the stream is resumed
}

func (w *pausingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *pausingWriter) Write(b []byte) (int, error) {
	s := w.replica.silence
	if w.writes == eventsBeforeHush && !s.beforeHead {
		s.reach(w.ctx, w.replica.ID)
	}
	w.writes++
	s.await(w.ctx, w.replica.ID)
	if s.breakAgain && w.resumed {
		_, _ = w.ResponseWriter.Write(b[:len(b)/2])
		_ = http.NewResponseController(w.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(b)
}

// newSilentCluster starts a cluster of one host whose replicas take part in s for requests of paths that end in
// /silent.
func newSilentCluster(t *testing.T, f *faultInjector, s *silence) *cluster {
	t.Helper()
	c := newCluster(t, 1, f)
	c.allowRetries()
	c.replace(func(r *replica.Replica) http.Handler { return &pausingReplica{Replica: r, silence: s} })
	return c
}

// allowRetries gives the hosts a retry budget that suffices for each request of a test.
func (c *cluster) allowRetries() {
	for _, h := range c.hosts {
		h.gateway.Reload(&site.Settings{
			RetryRatio: 10, RetrySlack: 20000, RetryWindow: 10 * time.Second, RevocationTime: time.Hour,
		})
	}
}

// replace serves each replica by the handler that handlerOf returns for it, at a new address, and returns when the
// hosts know the addresses.
func (c *cluster) replace(handlerOf func(r *replica.Replica) http.Handler) {
	c.t.Helper()
	addresses := make(map[string]netip.AddrPort)
	for _, r := range c.replicas {
		r.Address = listener.ServeHTTP(c.t, handlerOf(r))
		addresses[r.ID] = r.Address
		c.store.Put("servers/"+r.ID, r.Entry("ready"))
	}
	c.eventually("the hosts know the replicas' addresses", func() bool {
		for _, h := range c.hosts {
			known := h.status().Replicas
			if len(known) != len(addresses) ||
				slices.ContainsFunc(known, func(r hoststatus.Replica) bool { return r.Address != addresses[r.ID] }) {
				return false
			}
		}
		return true
	})
}

// configuration returns the configuration in the store.
func (c *cluster) configuration() map[string]any {
	store := c.hosts[0].settings.StoreAddress.String()
	resp, err := http.Get("http://" + store + "/kv-key?key=" + url.QueryEscape("op/config"))
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	var item struct {
		Value []byte `json:"value"`
	}
	doc := make(map[string]any)
	if err := json.NewDecoder(resp.Body).Decode(&item); err != nil {
		c.t.Fatal(err)
	}
	if err := json.Unmarshal(item.Value, &doc); err != nil {
		c.t.Fatal(err)
	}
	return doc
}

// putConfiguration stores doc as the next version of the configuration.
func (c *cluster) putConfiguration(doc map[string]any) {
	c.version++
	doc["version"] = c.version
	data, err := json.Marshal(doc)
	if err != nil {
		c.t.Error(err)
	}
	c.store.Put("op/config", data)
}

// setRoutes sets a field of all routes and waits until all hosts have the configuration.
func (c *cluster) setRoutes(field string, value int) {
	c.t.Helper()
	doc := c.configuration()
	for _, route := range doc["routes"].([]any) {
		route.(map[string]any)[field] = value
	}
	c.putConfiguration(doc)
	c.eventually("the configuration is active", func() bool {
		for _, h := range c.hosts {
			if h.status().Configuration.Version != int64(c.version) {
				return false
			}
		}
		return true
	})
}

// changes are changes that may happen while replicas are silent. Each function returns one, made ready for c.
var changes = []struct {
	name string
	make func(c *cluster) func()
}{
	{"no change", func(*cluster) func() { return nil }},
	{"new version", func(c *cluster) func() {
		doc := c.configuration()
		return func() { c.putConfiguration(doc) }
	}},
}

// silentRequests sends n requests at once and checks that each gets the replica's complete response.
func (c *cluster) silentRequests(n int, send func() response, want func(id string) string) {
	c.t.Helper()
	var all sync.WaitGroup
	for range n {
		all.Add(1)
		go func() {
			defer all.Done()
			resp := send()
			c.wantResponse(resp, want(resp.id))
			c.t.Logf("%s ended after %v", resp.id, resp.took)
		}()
	}
	all.Wait()
}

func (c *cluster) sendStream() response { return c.post(0, "/quotes/silent", "q") }

// leaveOnly makes all replicas of the service but the one with the given ID unusable in one of several ways.
func (c *cluster) leaveOnly(id, service, way string) {
	for _, r := range c.replicas {
		if r.ID == id || r.Service != service {
			continue
		}
		switch way {
		case "draining":
			c.store.Put("servers/"+r.ID, r.Entry("draining"))
		case "gone":
			c.store.Remove("servers/" + r.ID)
		}
	}
	c.eventually("the hosts know that the replicas leave", func() bool {
		for _, h := range c.hosts {
			for _, r := range h.status().Replicas {
				if r.Service == service && r.ID != id && !r.Draining {
					return false
				}
			}
		}
		return true
	})
}

// Failure: sound replicas fall silent at the same time, their streams are given up one after the other, no replica is
// left to resume them at, and callers get neither the rest of the stream nor a refusal.
func TestStreamsAreCompleteAfterAllReplicasWereSilent(t *testing.T) {
	t.Parallel()
	for _, change := range changes {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			const streams = 8
			s := newSilence(streams)
			s.everywhere = true
			c := newSilentCluster(t, &faultInjector{}, s)
			defer c.logOnFailure()
			s.onBegin = change.make(c)
			c.silentRequests(streams, c.sendStream, completeStream)
			if n := len(s.replicas()); n < 2 {
				t.Errorf("the streams were at %d replicas, want several", n)
			}
		})
	}
}

// Failure: a stream is given up because its replica is silent, although no other replica can resume it.
func TestStreamOfOnlyUsableReplicaIsCompleteAfterSilence(t *testing.T) {
	t.Parallel()
	for _, change := range changes {
		for _, way := range []string{"draining", "gone", "refusing"} {
			t.Run(fmt.Sprintf("others %s, %s", way, change.name), func(t *testing.T) {
				t.Parallel()
				f := &faultInjector{}
				s := newSilence(1)
				c := newSilentCluster(t, f, s)
				defer c.logOnFailure()
				s.onBegin = change.make(c)
				if way == "refusing" {
					f.set(func(id string, _ *http.Request) replica.Fault {
						if id == "i-0" {
							return replica.FaultNone
						}
						return replica.FaultRefuse
					})
				} else {
					c.leaveOnly("i-0", "llm", way)
				}
				c.silentRequests(1, c.sendStream, completeStream)
				if got := s.replicas(); len(got) != 1 || got[0] != "i-0" {
					t.Errorf("silent replicas %v, want only i-0", got)
				}
			})
		}
	}
}

// Failure: a stream is given up because its replica is silent, the replica that resumes it breaks off inside its first
// event, and the caller gets nothing more although the first replica went on. Once an event of the second replica is
// forwarded, the first can't follow: a stream doesn't join events of two runs but at the last event that is known.
func TestStreamIsCompleteAfterSilenceIfRetryBreaksOff(t *testing.T) {
	t.Parallel()
	for _, change := range changes {
		t.Run(change.name, func(t *testing.T) {
			t.Parallel()
			s := newSilence(1)
			s.breakAgain = true
			c := newSilentCluster(t, &faultInjector{}, s)
			defer c.logOnFailure()
			s.onBegin = change.make(c)
			c.silentRequests(1, c.sendStream, completeStream)
		})
	}
}

// Failure: a request is given up because its replica is silent before the head of its response, although no other
// replica can serve it, and the caller gets an error although the replica went on in time.
func TestRequestOfOnlyUsableReplicaIsAnsweredAfterSilence(t *testing.T) {
	t.Parallel()
	for _, change := range changes {
		t.Run("stream, "+change.name, func(t *testing.T) {
			t.Parallel()
			s := newSilence(1)
			s.beforeHead = true
			c := newSilentCluster(t, &faultInjector{}, s)
			defer c.logOnFailure()
			s.onBegin = change.make(c)
			c.leaveOnly("i-0", "llm", "draining")
			c.silentRequests(1, c.sendStream, completeStream)
		})
		t.Run("plain, "+change.name, func(t *testing.T) {
			t.Parallel()
			s := newSilence(1)
			s.beforeHead = true
			c := newSilentCluster(t, &faultInjector{}, s)
			defer c.logOnFailure()
			s.onBegin = change.make(c)
			c.leaveOnly("i-4", "desk", "draining")
			const path = "/lookups/silent"
			c.silentRequests(1, func() response { return c.get(0, path, nil) },
				func(string) string { return replica.PlainResponse(path, "") })
		})
	}
}
