package roster

import (
	"net/netip"
	"testing"
	"time"
)

// BenchmarkPlanner measures the choice of the planner among 143 hosts, which a host makes for each heartbeat.
func BenchmarkPlanner(b *testing.B) {
	now := time.Unix(1000, 0)
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000)
	}
	r := New(now, Member{Address: address(0), Weight: 0.5}, nil)
	for i := range 142 {
		r.RecordHeartbeat(now, Member{Address: address(i + 1), Weight: 0.2})
	}
	for b.Loop() {
		r.Planner(now)
	}
}
