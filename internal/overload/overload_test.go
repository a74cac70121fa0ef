//go:build overload

package overload

import (
	"bytes"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// The hosts' settings. A host with fewer descriptors than a crowd has connections is one of these settings; all others
// have enough.
const (
	memoryMB         = 64
	manyDescriptors  = 4100
	fewDescriptors   = 500
	otherDescriptors = 200 // of limits.maxFds, which aren't for connections
)

// binary is the program under test.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "overload")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "turmericshunt")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/turmericshunt").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func callers(h *host) netip.AddrPort { return h.callers }
func ready(h *host) netip.AddrPort   { return h.ready }
func peers(h *host) netip.AddrPort   { return h.peers }
func metrics(h *host) netip.AddrPort { return h.metrics }

// Guards against a host that is killed because callers made it hold more memory or descriptors than it has: whatever a
// crowd sends, the process lives, stays within memoryMb and maxFds, and answers an ordinary request afterwards.
func TestCrowd(t *testing.T) {
	const route, none = "/lookups/1", "/none/1"
	tests := map[string]struct {
		target      func(h *host) netip.AddrPort
		path        string
		connections int
		shape       shape
		descriptors int // 0 for manyDescriptors
	}{
		"fields, route":              {target: callers, path: route, connections: 600, shape: fields(1900)},
		"parsed fields, route":       {target: callers, path: route, connections: 600, shape: parsedFields(1900)},
		"fields, no route":           {target: callers, path: none, connections: 600, shape: fields(1900)},
		"fields, readiness":          {target: ready, path: "/ready", connections: 150, shape: fields(20000)},
		"fields, metrics":            {target: metrics, path: "/metrics", connections: 150, shape: fields(20000)},
		"body, route":                {target: callers, path: route, connections: 600, shape: body(1<<20, 1<<20)},
		"body in pieces, route":      {target: callers, path: route, connections: 1000, shape: body(60000, 1000)},
		"body in chunks, route":      {target: callers, path: route, connections: 1000, shape: chunks(60000, 6000)},
		"body over limit, route":     {target: callers, path: route, connections: 600, shape: body(64<<20, 1<<20)},
		"chunks over limit, route":   {target: callers, path: route, connections: 150, shape: chunks(64<<20, 1<<20)},
		"body over limit, no route":  {target: callers, path: none, connections: 600, shape: body(64<<20, 1<<20)},
		"body over limit, readiness": {target: ready, path: "/ready", connections: 600, shape: body(64<<20, 1<<20)},
		"sent ahead, route":          {target: callers, path: route, connections: 800, shape: ahead(300)},
		"sent ahead, no route":       {target: callers, path: none, connections: 800, shape: ahead(3000)},
		"sent ahead, readiness":      {target: ready, path: "/ready", connections: 800, shape: ahead(3000)},
		"sent ahead, metrics":        {target: metrics, path: "/metrics", connections: 400, shape: ahead(300)},
		"slow, route":                {target: callers, path: route, connections: 3800, shape: slowly},
		"idle, readiness":            {target: ready, path: "/ready", connections: 3800, shape: ahead(1)},
		"frames, peers":              {target: peers, connections: 300, shape: frame},
		"descriptors, route":         {target: callers, path: route, connections: 700, shape: slowly, descriptors: fewDescriptors},
		"descriptors, readiness":     {target: ready, path: "/ready", connections: 700, shape: slowly, descriptors: fewDescriptors},
		"descriptors, peers":         {target: peers, connections: 700, shape: frame, descriptors: fewDescriptors},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			descriptors := manyDescriptors
			if test.descriptors > 0 {
				descriptors = test.descriptors
			}
			h := startHost(t, memoryMB, descriptors)
			stop := h.watch()
			crowd(t, test.target(h), test.connections, test.shape, head("POST", test.path))
			p := stop()
			t.Logf("peak of %.1f MB, of it %.1f MB unread; %d descriptors", float64(p.memory)/1e6, float64(p.unread)/1e6, p.descriptors)
			select {
			case <-h.exited:
				t.Fatal("the process has exited")
			default:
			}
			if p.memory > memoryMB<<20 {
				t.Errorf("%d bytes resident and unread, want %d at most", p.memory, memoryMB<<20)
			}
			if p.descriptors > descriptors-otherDescriptors {
				t.Errorf("%d descriptors, want %d at most", p.descriptors, descriptors-otherDescriptors)
			}
			h.await(answerTime, "http://"+h.callers.String()+route)
		})
	}
}

// Guards against limits that refuse an ordinary request: one with the longest body is served when there is no other load.
func TestLongestBodyIsServed(t *testing.T) {
	h := startHost(t, memoryMB, manyDescriptors)
	h.request = bytes.Repeat([]byte("x"), 4<<20)
	h.await(answerTime, "http://"+h.callers.String()+"/lookups/1")
}
