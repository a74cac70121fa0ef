package share

import (
	"maps"
	"math"
	"time"
)

const (
	// Time constant with which used time is forgotten: the length of a wave in which more comes than fits.
	timeConstant = 10 * time.Second
	// Use that is smaller than this counts as none, so that the number of workspaces in a table stays bounded.
	leastUse = time.Millisecond
)

// Table is the time that workspaces have used lately. Its zero value is ready to use.
type Table struct {
	used    map[string]time.Duration // by workspace, at updated
	updated time.Time
}

// Use records that a workspace uses an amount of time from now on.
func (t *Table) Use(now time.Time, workspace string, amount time.Duration) {
	if workspace == "" {
		return
	}
	t.decay(now)
	if t.used == nil {
		t.used = make(map[string]time.Duration)
	}
	t.used[workspace] += amount
}

// Excess returns the workspace that has used more than all others together, if there is one. While nobody else is active,
// their share is lent to it.
func (t *Table) Excess(now time.Time) (workspace string, found bool) {
	t.decay(now)
	var total time.Duration
	for _, used := range t.used {
		total += used
	}
	for workspace, used := range t.used {
		if len(t.used) > 1 && used > total/2 {
			return workspace, true
		}
	}
	return "", false
}

// decay forgets what was used long ago.
func (t *Table) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(t.updated)) / float64(timeConstant))
	t.updated = now
	for workspace, used := range t.used {
		t.used[workspace] = time.Duration(float64(used) * factor)
	}
	maps.DeleteFunc(t.used, func(_ string, used time.Duration) bool { return used < leastUse })
}
