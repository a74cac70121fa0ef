package queue

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// item returns a request that was enqueued waited before start and is due at start plus due.
func item(name, workspace string, priority int, waited, due time.Duration) Item {
	return Item{
		ID: protocol.AttemptID{Request: name}, Workspace: workspace, Priority: priority,
		Enqueued: start.Add(-waited), Due: start.Add(due),
	}
}

func TestNext(t *testing.T) {
	tests := []struct {
		name   string
		items  []Item
		charge map[string]int64
		want   string
	}{
		{"less slack", []Item{item("a", "w", 1, 0, 2*time.Second), item("b", "w", 1, 0, time.Second)}, nil, "b"},
		{"shorter", []Item{item("a", "w", 1, 0, 0), item("b", "w", 3, 0, time.Second)}, nil, "b"},
		{"more urgent class", []Item{item("a", "w", 3, 0, 0), item("b", "w", ClassStep, 0, time.Second)}, nil, "b"},
		{"aged", []Item{item("a", "w", 3, 0, 0), item("b", "w", 0, DefaultAging, time.Second)}, nil, "b"},
		{"oldest of the aged", []Item{item("a", "w", 3, DefaultAging, 0), item("b", "w", 0, 2*DefaultAging, 0)}, nil, "b"},
		{"aged in a lower class", []Item{item("a", "w", ClassStep, 0, 0), item("b", "w", 0, time.Hour, 0)}, nil, "a"},
		{"over its share", []Item{item("a", "w", 3, 0, 0), item("b", "x", 0, 0, time.Second)}, map[string]int64{"w": 1_000_000, "x": 1}, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := &Queue{}
			for _, it := range tt.items {
				q.Usage.RecordRequest(start, it.Workspace)
				q.Push(it)
			}
			for w, tokens := range tt.charge {
				q.Usage.Charge(w, tokens)
			}
			got, _ := q.Next(start, nil)
			if got.ID.Request != tt.want {
				t.Errorf("Next returned %s", got.ID.Request)
			}
			if first := q.Ordered(start)[0]; first.ID != got.ID {
				t.Errorf("Ordered begins with %s", first.ID.Request)
			}
			q.Remove(got.ID)
			if q.Len() != len(tt.items)-1 {
				t.Errorf("%d requests in the queue after Remove", q.Len())
			}
		})
	}
}

func TestUsageFollowsWeights(t *testing.T) {
	u := &Usage{QuantumTokens: 1}
	u.SetShare("a", 3)
	u.RecordRequest(start, "a")
	u.RecordRequest(start, "b")
	u.Charge("a", 700)
	u.Charge("b", 300)
	if u.OverShare(start, "a") || !u.OverShare(start, "b") {
		t.Errorf("a over %v, b over %v with 700 and 300 tokens at weights 3 and 1", u.OverShare(start, "a"),
			u.OverShare(start, "b"))
	}
	later := start.Add(10 * DefaultWindow)
	u.RecordRequest(later, "b")
	if u.OverShare(later, "b") {
		t.Error("use from long before Window still counts")
	}
}
