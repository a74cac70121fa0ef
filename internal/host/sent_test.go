package host

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

func TestLosses(t *testing.T) {
	m := func(name string, incarnation uint64, state protocol.MemberState) protocol.Member {
		return protocol.Member{Host: protocol.Host{Name: name, Incarnation: incarnation}, State: state}
	}
	alive, leaving, dead := protocol.StateAlive, protocol.StateLeaving, protocol.StateDead
	tests := []struct {
		name   string
		before protocol.Member
		after  []protocol.Member
		want   bool
	}{
		{"still alive", m("a", 1, alive), []protocol.Member{m("a", 1, alive)}, false},
		{"died", m("a", 1, alive), []protocol.Member{m("a", 1, dead)}, true},
		{"restarted at once", m("a", 1, alive), []protocol.Member{m("a", 2, alive)}, true},
		{"forgotten", m("a", 1, alive), nil, true},
		{"leaves", m("a", 1, alive), []protocol.Member{m("a", 1, leaving)}, false},
		{"has left", m("a", 1, leaving), []protocol.Member{m("a", 1, dead)}, false},
		{"another joins", m("a", 1, alive), []protocol.Member{m("a", 1, alive), m("b", 1, alive)}, false},
	}
	now := time.Unix(1000, 0)
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var l hostLosses
			l.observe(now, []protocol.Member{tc.before})
			l.observe(now, tc.after)
			if got := l.recent(now); got != tc.want {
				t.Errorf("recent loss is %t, want %t", got, tc.want)
			}
			if l.recent(now.Add(resendWindow)) {
				t.Error("loss still counts after the resend window")
			}
		})
	}
}
