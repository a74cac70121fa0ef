package pause

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

func TestPauseEndsInTimeOrWithIncarnation(t *testing.T) {
	var table Table
	start := time.Unix(1000, 0)
	r := replica.Replica{ID: "i-1", Born: 1}
	table.Add(start, r, start.Add(2*time.Second))
	table.Add(start, r, start.Add(time.Second))
	if !table.Paused(start.Add(1900*time.Millisecond), r) || len(table.IDs(start)) != 1 {
		t.Error("a pause ended before the time that the replica asked for")
	}
	if table.Paused(start, replica.Replica{ID: "i-1", Born: 2}) {
		t.Error("the pause holds for a new incarnation of the replica")
	}
	if end := start.Add(2 * time.Second); table.Paused(end, r) || len(table.IDs(end)) != 0 {
		t.Error("the pause holds after its end")
	}
}

// Guards against a replica that is excluded for a pause which it asked for before it started again.
func TestRestartEndsPause(t *testing.T) {
	var table Table
	start := time.Unix(1000, 0)
	table.Add(start, replica.Replica{ID: "i-1", Born: 1}, start.Add(time.Minute))
	table.Add(start, replica.Replica{ID: "i-2", Born: 5}, start.Add(time.Minute))
	table.Restarted([]replica.Replica{{ID: "i-1", Born: 2}, {ID: "i-2", Born: 5}})
	if ids := table.IDs(start); len(ids) != 1 || ids[0] != "i-2" {
		t.Errorf("paused are %v, want i-2 alone", ids)
	}
}
