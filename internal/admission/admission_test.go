package admission

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestDecide(t *testing.T) {
	entry := func(wait, age time.Duration) fleet.Entry {
		return fleet.Entry{
			Server: protocol.Server{Name: "g", FailureDomain: "a"}, RowCreatedAt: start.Add(-age),
			Row: protocol.Row{Wait: wait, PrefillRate: 1000},
		}
	}
	tests := []struct {
		name       string
		view       fleet.View
		want       bool
		retryAfter time.Duration
	}{
		{"no rows", fleet.View{}, true, 0},
		{"idle", fleet.View{Entries: []fleet.Entry{entry(0, 0)}}, true, 0},
		{"all busy", fleet.View{Entries: []fleet.Entry{entry(30*time.Second, 0), entry(20*time.Second, 0)}}, false, 8500 * time.Millisecond},
		{"one not busy", fleet.View{Entries: []fleet.Entry{entry(30*time.Second, 0), entry(time.Second, 0)}}, true, 0},
		{"busy by an old row", fleet.View{Entries: []fleet.Entry{entry(30*time.Second, time.Minute)}}, true, 0},
		{"another failure domain is not busy", fleet.View{
			Entries: []fleet.Entry{entry(30*time.Second, 0)}, Aggregates: []protocol.Aggregate{{Model: "m", Servers: 1}},
		}, true, 0},
		{"another failure domain for another model", fleet.View{
			Entries: []fleet.Entry{entry(30*time.Second, 0)}, Aggregates: []protocol.Aggregate{{Model: "x", Servers: 1}},
		}, false, 18500 * time.Millisecond},
		{"a backend server of another failure domain without a row", fleet.View{
			FailureDomain: "a",
			Entries:       []fleet.Entry{entry(30*time.Second, 0), {Server: protocol.Server{FailureDomain: "b"}}},
		}, false, 18500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.view.FailureDomain = "a"
			got := (&Controller{}).Decide(start, &tt.view,
				protocol.GrantRequest{Model: "m", PromptTokens: 1000, TimeLeft: 10 * time.Second})
			if got.OK != tt.want || got.RetryAfter != tt.retryAfter {
				t.Errorf("got %+v", got)
			}
			if !got.OK && got.Kind != outcome.KindOverloaded {
				t.Errorf("kind %s", got.Kind)
			}
		})
	}
}
