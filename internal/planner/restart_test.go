package planner

import (
	"net/netip"
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/quarantine"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// Attempts break off at a replica, another one comes at its address. Guards against them counting at that one if it is of another
// service, which has run none of them.
func TestAttemptsDoNotCountAtOtherServiceWithAddress(t *testing.T) {
	for service, want := range map[string]string{"a": "next", "b": "first"} {
		address := netip.MustParseAddrPort("10.0.0.1:80")
		first := replica.Replica{ID: "first", Service: "a", Address: address, Born: 1}
		next := replica.Replica{ID: "next", Service: service, Address: address, Born: 2}
		p := New(1)
		p.SetReplicas(at(0), []replica.Replica{first})
		for i, ms := range []int{0, 1500} {
			p.Quarantine().Crashed(at(ms), quarantine.Crash{
				Content: quarantine.Content{Request: uint64(i + 1)}, Replica: incarnation(&first),
			})
		}
		p.SetReplicas(at(2500), []replica.Replica{next})
		crashes := p.Quarantine().Crashes(at(2500))
		wanted := map[string]string{"first": incarnation(&first), "next": incarnation(&next)}[want]
		if len(crashes) != 2 || crashes[0].Replica != incarnation(&first) || crashes[1].Replica != wanted {
			t.Errorf("service %s at the address of one of a: attempts count at %+v, want the second at %s", service, crashes, wanted)
		}
	}
}
