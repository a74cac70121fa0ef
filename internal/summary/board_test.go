package summary

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

func row(server, scheduler string, revision uint64, age time.Duration) protocol.Row {
	return protocol.Row{Server: server, Scheduler: scheduler, Revision: revision, Age: age}
}

func TestPostKeepsNewest(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name          string
		first, second protocol.Row
		want          uint64
	}{
		{"newer revision", row("g", "a", 1, 0), row("g", "a", 2, 0), 2},
		{"older revision arrives late", row("g", "a", 2, 0), row("g", "a", 1, 0), 2},
		{"new scheduler restarts its revisions", row("g", "a", 9, time.Second), row("g", "b", 1, 0), 1},
		{"late row of the old scheduler", row("g", "b", 1, 0), row("g", "a", 9, time.Second), 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := &Table{Hosts: 2}
			b.Merge(now, []protocol.Row{tc.first})
			b.Merge(now, []protocol.Row{tc.second})
			if got := b.Rows(now)[0].Revision; got != tc.want {
				t.Errorf("kept revision %d, want %d", got, tc.want)
			}
		})
	}
}

func TestPickLimitsSendsPerRow(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &Table{Hosts: 7}
	b.Merge(now, []protocol.Row{row("g1", "a", 1, 0), row("g2", "a", 1, 0), row("g3", "a", 1, 0)})
	sent := 0
	for rows := b.NextRows(now, 2); len(rows) > 0; rows = b.NextRows(now, 2) {
		sent += len(rows)
	}
	if want := 3 * sendsPerDoubling * 3; sent != want {
		t.Errorf("sent %d rows, want %d", sent, want)
	}
	if got := b.Rows(now.Add(2 * retention)); len(got) != 0 {
		t.Errorf("%d rows are kept after the retention period", len(got))
	}
}

func TestPostAggregatesKeepsNewest(t *testing.T) {
	now := time.Unix(1000, 0)
	var b Table
	first := protocol.Aggregate{FailureDomain: "d", Model: "m", Servers: 2}
	older := protocol.Aggregate{FailureDomain: "d", Model: "m", Servers: 9, Age: time.Second}
	b.MergeAggregates(now, []protocol.Aggregate{first, {FailureDomain: "d", Model: "n"}})
	b.MergeAggregates(now, []protocol.Aggregate{older})
	kept := b.RemoteAggregates(now)
	if len(kept) != 2 || kept[0].Servers != 2 {
		t.Errorf("an older aggregate replaced a newer one: %+v", kept)
	}
	picked := len(b.NextAggregates(now, 1)) + len(b.NextAggregates(now, 1)) + len(b.NextAggregates(now, 1))
	if again := len(b.NextAggregates(now.Add(minAggregateInterval), 1)); picked != 2 || again != 1 {
		t.Errorf("%d aggregates sent at first, %d after the interval, want 2 and 1", picked, again)
	}
	if kept := b.RemoteAggregates(now.Add(2 * retention)); len(kept) != 0 {
		t.Errorf("%d aggregates are kept after the retention period", len(kept))
	}
}

func TestBriefRows(t *testing.T) {
	now := time.Unix(1000, 0)
	full := row("g", "a", 1, 0)
	full.CapacityBytes = 100
	brief := row("g", "a", 2, 0)
	brief.Partial = true
	b := &Table{Hosts: 2}
	b.Merge(now, []protocol.Row{brief})
	if len(b.Rows(now)) != 0 {
		t.Error("a brief row of an unknown backend server was kept")
	}
	b.Merge(now, []protocol.Row{full})
	b.Merge(now, []protocol.Row{brief})
	if got := b.Rows(now)[0]; got.Revision != 2 || got.CapacityBytes != 100 {
		t.Errorf("a brief row was not completed: %+v", got)
	}
	fullSends := 0
	for i := range uint64(100) {
		b.Merge(now, []protocol.Row{{Server: "g", Scheduler: "a", Revision: 3 + i, CapacityBytes: 100}})
		if rows := b.NextRows(now, 1); !rows[0].Partial {
			fullSends++
		}
	}
	if want := 2*sendsPerDoubling + 100/(partialSendsBetweenFull+1); fullSends > want || fullSends <= 2*sendsPerDoubling {
		t.Errorf("%d of 100 rows were sent in full, want above %d and at most %d", fullSends, 2*sendsPerDoubling, want)
	}
}
