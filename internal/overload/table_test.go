//go:build overload && table

package overload

import (
	"flag"
	"testing"
)

var connections = flag.Int("connections", 400, "connections of each crowd")

// TestTable measures the table of docs/design/intake.md at a host of 136 MB. It has a build tag of its own, and sets no bound but
// the host's memory.
func TestTable(t *testing.T) {
	n := *connections
	const memory = 136
	for name, test := range map[string]struct {
		ready bool
		shape shape
	}{
		"ready, 20000 fields":     {true, fields(20000)},
		"ready, 3000 fields":      {true, fields(3000)},
		"route, 1900 fields":      {false, parsedFields(1900)},
		"route, 1 MB bodies":      {false, body(1<<20, 1<<20)},
		"route, 60 kB bodies":     {false, body(60000, 60000)},
		"route, 65 kB bodies":     {false, body(65000, 65000)},
		"route, 300 sent ahead":   {false, ahead(300)},
		"route, 4 MB in chunks":   {false, chunks(4<<20, 1<<16)},
		"route, idle connections": {false, ahead(0)},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, memory, manyDescriptors)
			stop := h.watch()
			target, path := h.callers, "/lookups/1"
			if test.ready {
				target, path = h.ready, "/ready"
			}
			crowd(t, target, n, test.shape, head("POST", path))
			p := stop()
			t.Logf("%d connections: peak of %.0f MB, of it %.0f MB unread", n, float64(p.memory)/1e6, float64(p.unread)/1e6)
			if p.memory > memory<<20 {
				t.Error("over the host's memory")
			}
			h.await(answerTime, "http://"+h.callers.String()+"/lookups/1")
		})
	}
}
