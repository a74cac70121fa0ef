package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// view returns a view of failure domain a with one fresh entry for each row. The FreeBytes of a passed row gives the
// number of bytes in use, of 400,000.
func view(rows ...protocol.Row) *fleet.View {
	v := &fleet.View{FailureDomain: "a"}
	for i, row := range rows {
		row.CapacityBytes, row.FreeBytes, row.BytesPerToken = 400_000, 400_000-row.FreeBytes, 1
		v.Entries = append(v.Entries, fleet.Entry{
			Server:    protocol.Server{Name: fmt.Sprintf("g%d", i), FailureDomain: "a"},
			Scheduler: protocol.Host{Name: "e"}, Row: row, RowCreatedAt: start,
		})
	}
	return v
}

func TestCandidates(t *testing.T) {
	busy := protocol.Row{Wait: 5 * time.Second, Backlog: 5 * time.Second}
	idle, long := protocol.Row{}, protocol.Row{ForLongPrompts: true}
	tests := []struct {
		name    string
		view    *fleet.View
		tokens  int64
		exclude []string
		want    string
	}{
		{"least wait", view(busy, idle, busy), 1000, nil, "g1"},
		{"short outside the long subset", view(long, idle, long), 1000, nil, "g1"},
		{"short on an idle one in the long subset", view(busy, long, busy), 1000, nil, "g1"},
		{
			"long in the long subset", view(idle, protocol.Row{ForLongPrompts: true, Backlog: 9 * time.Second}, idle), 200_000,
			nil, "g1",
		},
		{"excluded", view(idle, busy, busy), 1000, []string{"g0", "g2"}, "g1"},
		{"leaving", view(protocol.Row{Leaving: true}, busy), 1000, nil, "g1"},
		{"unhealthy", view(protocol.Row{Unhealthy: true}, busy), 1000, nil, "g1"},
		{"other model", view(protocol.Row{Models: []string{"x"}}, busy), 1000, nil, "g1"},
		{"never fits", view(idle), 500_000, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &Router{Objective: document.ObjectiveFirstToken}
			req := protocol.GrantRequest{Model: "m", PromptTokens: tt.tokens}
			got := r.Candidates(start, tt.view, req, tt.exclude)
			name := ""
			if len(got) > 0 {
				name = got[0].Server
			}
			if name != tt.want || len(got) > DefaultMaxCandidates {
				t.Errorf("got %v, want %s first", got, tt.want)
			}
		})
	}
}

func TestSpill(t *testing.T) {
	busy := protocol.Row{Wait: 5 * time.Second, Backlog: 5 * time.Second}
	tests := []struct {
		name      string
		local     protocol.Row
		aggregate protocol.Aggregate
		want      bool
	}{
		{"busy locally, idle in another failure domain", busy, protocol.Aggregate{Model: "m", Servers: 1, Best: "h0"}, true},
		{"idle locally", protocol.Row{}, protocol.Aggregate{Model: "m", Servers: 1, Best: "h0"}, false},
		{"busy everywhere", busy, protocol.Aggregate{Model: "m", Servers: 1, Best: "h0", BestWait: 6 * time.Second}, false},
		{"another model in another failure domain", busy, protocol.Aggregate{Model: "x", Servers: 1, Best: "h0"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := view(tt.local)
			v.Entries = append(v.Entries, fleet.Entry{
				Server: protocol.Server{Name: "h0", FailureDomain: "b"}, Scheduler: protocol.Host{Name: "f"},
			})
			v.Aggregates = []protocol.Aggregate{tt.aggregate}
			got := (&Router{}).Candidates(start, v, protocol.GrantRequest{Model: "m", PromptTokens: 1000}, nil)
			if spilled := got[len(got)-1].Server == "h0"; spilled != tt.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func TestOwnerMovesLittle(t *testing.T) {
	hosts := []protocol.Host{{Name: "e1"}, {Name: "e2"}, {Name: "e3"}, {Name: "e4"}}
	moved := 0
	for i := range 1000 {
		server := fmt.Sprint("g", i)
		before, _ := Owner(server, hosts)
		after, _ := Owner(server, hosts[:3])
		if before.Name != after.Name {
			moved++
			if before.Name != "e4" {
				t.Fatalf("%s moved although its owner is still in the list", server)
			}
		}
	}
	if moved < 200 || moved > 300 {
		t.Errorf("%d of 1000 backend servers moved when one of four hosts was removed, want 200 to 300", moved)
	}
	if _, ok := Owner("g", nil); ok {
		t.Error("Owner returned ok for an empty host list")
	}
}

func TestBlocks(t *testing.T) {
	a, b := HashBlocks("aaaabbbbcc", 4), HashBlocks("aaaacccc", 4)
	if len(a) != 2 || len(b) != 2 || a[0] != b[0] || a[1] == b[1] {
		t.Errorf("%v and %v", a, b)
	}
	if c := HashBlocks("bbbbbbbb", 4); c[1] == a[1] {
		t.Error("a block's hash does not cover the blocks before it")
	}
}

func benchmarkCandidates(b *testing.B, servers int) {
	rows := make([]protocol.Row, servers)
	for i := range rows {
		rows[i] = protocol.Row{
			Wait: time.Duration(i*7919%1000) * time.Millisecond, Models: []string{"m"},
			ForLongPrompts: i%3 == 0,
		}
	}
	v := view(rows...)
	r := &Router{}
	req := protocol.GrantRequest{Model: "m", PromptTokens: 2000, Blocks: []uint64{1, 2}}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if len(r.Candidates(start, v, req, nil)) == 0 {
			b.Fatal("no candidates")
		}
	}
}

func BenchmarkCandidates50(b *testing.B)  { benchmarkCandidates(b, 50) }
func BenchmarkCandidates200(b *testing.B) { benchmarkCandidates(b, 200) }
func BenchmarkCandidates810(b *testing.B) { benchmarkCandidates(b, 810) }
