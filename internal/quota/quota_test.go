package quota

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func limiter(hosts int, w document.Workspace) *Limiter {
	l := &Limiter{Host: "e1", Incarnation: 1, HostCount: hosts}
	w.Name = "w"
	l.SetLimits([]document.Workspace{w})
	return l
}

func TestAdmit(t *testing.T) {
	tests := []struct {
		name   string
		limits document.Workspace
		hosts  int
		steps  func(*Limiter)
		want   bool
	}{
		{"no limits", document.Workspace{}, 1, nil, true},
		{"tokens used up", document.Workspace{TokensPerMinute: 100}, 1, func(l *Limiter) { l.Admit(start, "w", 100) }, false},
		{"fewer tokens used than predicted", document.Workspace{TokensPerMinute: 100}, 1, func(l *Limiter) {
			l.Admit(start, "w", 100)
			l.Done(start, "w", 50)
		}, true},
		{"in flight", document.Workspace{MaxInFlight: 1}, 1, func(l *Limiter) { l.Admit(start, "w", 1) }, false},
		{"in flight at another host", document.Workspace{MaxInFlight: 1}, 2, func(l *Limiter) {
			l.Merge(start, []protocol.Usage{{Host: "e2", Workspace: "w", InFlight: 1}})
		}, false},
		{"in flight at a host whose last report is old", document.Workspace{MaxInFlight: 1}, 2, func(l *Limiter) {
			l.Merge(start.Add(-time.Minute), []protocol.Usage{{Host: "e2", Workspace: "w", InFlight: 1}})
		}, true},
		{"tokens used at another host", document.Workspace{TokensPerMinute: 100}, 2, func(l *Limiter) {
			l.Merge(start, []protocol.Usage{{Host: "e2", Incarnation: 1, Workspace: "w", Tokens: 100}})
		}, false},
		{"the same usage reported twice", document.Workspace{TokensPerMinute: 100}, 2, func(l *Limiter) {
			for range 2 {
				l.Merge(start, []protocol.Usage{{Host: "e2", Incarnation: 1, Workspace: "w", Tokens: 60}})
			}
		}, true},
		{"share of this host used up", document.Workspace{MaxInFlight: 4}, 2, func(l *Limiter) {
			l.Admit(start, "w", 1)
			l.Admit(start, "w", 1)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := limiter(tt.hosts, tt.limits)
			if tt.steps != nil {
				tt.steps(l)
			}
			v := l.Admit(start, "w", 1)
			if v.OK != tt.want || v.OK == (v.RetryAfter > 0) {
				t.Errorf("got %+v", v)
			}
		})
	}
}

func TestRefill(t *testing.T) {
	l := limiter(1, document.Workspace{TokensPerMinute: 600})
	l.Admit(start, "w", 700)
	v := l.Admit(start, "w", 1)
	if v.OK || v.RetryAfter < 10*time.Second || v.RetryAfter > 11*time.Second {
		t.Errorf("100 tokens over a limit of 10 per second: got %+v, want a refusal for 10 to 11 s", v)
	}
	if !l.Admit(start.Add(v.RetryAfter), "w", 1).OK {
		t.Error("refused after RetryAfter had passed")
	}
}
