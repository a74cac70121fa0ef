package longprompt

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

var start = time.Unix(1000, 0)

// engines returns a view of engines with a capacity of 1,000 tokens each, of which the given numbers are free.
func engines(free ...int64) *fleet.View {
	v := &fleet.View{FailureDomain: "d"}
	for i, tokens := range free {
		name := string(rune('a' + i))
		v.Entries = append(v.Entries, fleet.Entry{
			Server: protocol.Server{Name: name, FailureDomain: "d"},
			Row: protocol.Row{
				Server: name, Models: []string{"m"}, CapacityBytes: 2000, FreeBytes: 2 * tokens, BytesPerToken: 2,
				PrefillRate: 100, DecodeRate: 10,
			},
		})
	}
	return v
}

func TestPlan(t *testing.T) {
	tests := []struct {
		name    string
		free    []int64
		request protocol.GrantRequest
		members string
		kind    Kind
	}{
		{"fewest engines", []int64{600, 1000, 1000}, protocol.GrantRequest{Model: "m", PromptTokens: 1500}, "bc", ""},
		{"ascending names", []int64{1000, 200, 900, 800}, protocol.GrantRequest{Model: "m", PromptTokens: 2200}, "acd", ""},
		{
			"room for output",
			[]int64{1000, 1000},
			protocol.GrantRequest{Model: "m", PromptTokens: 1000, OutputTokens: 800},
			"ab", "",
		},
		{"not now", []int64{1000, 100}, protocol.GrantRequest{Model: "m", PromptTokens: 1500}, "", KindNoFreeMemory},
		{"never", []int64{1000, 1000}, protocol.GrantRequest{Model: "m", PromptTokens: 2100}, "", KindTooLarge},
		{"other model", []int64{1000}, protocol.GrantRequest{Model: "x", PromptTokens: 1}, "", KindModelNotLoaded},
		{
			"too slow",
			[]int64{1000, 1000},
			protocol.GrantRequest{Model: "m", PromptTokens: 1500, TimeLeft: time.Second},
			"",
			KindTooSlow,
		},
	}
	for _, tt := range tests {
		members, err := new(Planner).Plan(start, engines(tt.free...), tt.request)
		var failure *Error
		if errors.As(err, &failure) != (tt.kind != "") || failure != nil && failure.Kind != tt.kind {
			t.Errorf("%s: got error %v", tt.name, err)
		}
		names := ""
		for _, m := range members {
			names += m.Server
		}
		if names != tt.members {
			t.Errorf("%s: got members %q", tt.name, names)
		}
	}
}

func TestPlanWithEngineDown(t *testing.T) {
	view := engines(1000, 1000)
	view.Entries[1].Row.Unhealthy = true
	_, err := new(Planner).Plan(start, view, protocol.GrantRequest{Model: "m", PromptTokens: 1500})
	var failure *Error
	if !errors.As(err, &failure) || failure.Kind != KindUnhealthy {
		t.Errorf("got %v, want kind %s", err, KindUnhealthy)
	}
}

func TestPlanFits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		free := rapid.SliceOfN(rapid.Int64Range(0, 1000), 1, 10).Draw(rt, "free")
		request := protocol.GrantRequest{
			Model: "m", PromptTokens: rapid.Int64Range(100, 5000).Draw(rt, "prompt"),
			OutputTokens: rapid.Int64Range(0, 500).Draw(rt, "output"),
		}
		view := engines(free...)
		members, err := new(Planner).Plan(start, view, request)
		if err != nil {
			return
		}
		var tokens int64
		for i, m := range members {
			e, _ := view.Find(m.Server)
			if m.Bytes > e.Row.FreeBytes || m.PromptTokens <= 0 || i > 0 && members[i-1].Server >= m.Server {
				rt.Fatalf("member %+v of %+v", m, members)
			}
			tokens += m.PromptTokens
		}
		if tokens != request.PromptTokens {
			rt.Fatalf("%d of %d tokens planned", tokens, request.PromptTokens)
		}
	})
}
