package share

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against a workspace that counts as over its share although nobody else wants it, or long after it has used it.
func TestUnusedSharesAreLent(t *testing.T) {
	var table Table
	table.Use(start, "large", time.Minute)
	if _, found := table.Excess(start); found {
		t.Error("a workspace is over its share, alone")
	}
	table.Use(start, "small", time.Second)
	if workspace, _ := table.Excess(start); workspace != "large" {
		t.Errorf("%q is over its share, want large", workspace)
	}
	later := start.Add(30 * time.Second)
	table.Use(later, "small", 10*time.Second)
	if workspace, _ := table.Excess(later); workspace != "small" {
		t.Errorf("%q is over its share 30 s later, want small", workspace)
	}
}
