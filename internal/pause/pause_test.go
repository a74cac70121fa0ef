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
