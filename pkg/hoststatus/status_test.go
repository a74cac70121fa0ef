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
			{
				ID: "i-3", Service: "llm", FailureDomain: "b", Address: netip.MustParseAddrPort("10.2.1.2:8100"),
				ColdRemainingMS: 1730,
			},
		},
	}
	var out bytes.Buffer
	if err := s.Print(&out); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "status", out.Bytes())
}

// Guards against a status that doesn't show an evacuation, or shows one at a host that reads none.
func TestPrintEvacuations(t *testing.T) {
	s := hoststatus.Status{
		Host: "front-1", FailureDomain: "a", Version: "1.2.0", Planner: netip.MustParseAddrPort("10.1.0.4:8001"),
		Replicas: []hoststatus.Replica{
			{ID: "i-1", Service: "llm", FailureDomain: "a", Address: netip.MustParseAddrPort("10.1.1.1:8100")},
			{ID: "i-2", Service: "llm", FailureDomain: "b", Address: netip.MustParseAddrPort("10.2.1.1:8100"), Evacuated: true},
		},
	}
	for _, test := range []struct {
		name        string
		evacuations *hoststatus.Evacuations
		replicas    int
	}{
		{"evacuated", &hoststatus.Evacuations{FailureDomains: []string{"b", "x"}, Unknown: []string{"x"}, ReadAgeMS: 210}, 2},
		{"evacuated-not", &hoststatus.Evacuations{ReadAgeMS: 210}, 1},
	} {
		s.Evacuations = test.evacuations
		s.Replicas = s.Replicas[:test.replicas]
		var out bytes.Buffer
		if err := s.Print(&out); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, test.name, out.Bytes())
	}
}
