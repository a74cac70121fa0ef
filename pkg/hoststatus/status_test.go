package hoststatus_test

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/turmericshunt/turmericshunt/pkg/hoststatus"
)

func TestPrint(t *testing.T) {
	self := netip.MustParseAddrPort("10.1.0.4:8001")
	s := hoststatus.Status{
		Host: "front-1", FailureDomain: "a", Version: "1.2.0", Ready: true, InFlight: 7, Planner: self, IsPlanner: true,
		WaitingRequests: 2, Hosts: []netip.AddrPort{self, netip.MustParseAddrPort("10.2.0.4:8001")},
		Crossings:     hoststatus.Crossings{Requests: 3, Bytes: 4100, Price: 2.5},
		Configuration: hoststatus.Configuration{Version: 12, VerifiedAgeMS: 340},
		Replicas: []hoststatus.Replica{
			{ID: "i-1", Service: "llm", FailureDomain: "a", Address: netip.MustParseAddrPort("10.1.1.1:8100")},
			{ID: "i-2", Service: "llm", FailureDomain: "b", Address: netip.MustParseAddrPort("10.2.1.1:8100"), Draining: true},
		},
	}
	var out bytes.Buffer
	if err := s.Print(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "status", out.Bytes())
}
