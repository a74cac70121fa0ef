package hoststatus

import (
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
)

// Status is what one entry host knows; ages are in milliseconds.
type Status struct {
	Host          string           `json:"host"`
	FailureDomain string           `json:"failure_domain"`
	Version       string           `json:"version"` // of the program
	Ready         bool             `json:"ready"`   // whether it takes callers' connections
	UnderWay      int              `json:"under_way"`
	Planner       netip.AddrPort   `json:"planner"` // host that plans for this one
	PlansHere     bool             `json:"plans_here"`
	AsksWaiting   int              `json:"asks_waiting"` // at this host's planner
	Hosts         []netip.AddrPort `json:"hosts"`        // that it hears or knows, itself included
	Configuration Configuration    `json:"configuration"`
	Replicas      []Replica        `json:"replicas"`
}

// Configuration is the version in force and how long ago it was known to be the newest.
type Configuration struct {
	Version    int64 `json:"version"` // 0 if there is none yet
	ProofAgeMS int64 `json:"proof_age_ms"`
}

// Replica is a backend server in force.
type Replica struct {
	ID            string         `json:"id"`
	Service       string         `json:"service"`
	FailureDomain string         `json:"failure_domain"`
	Address       netip.AddrPort `json:"address"`
	Draining      bool           `json:"draining"`
}

// Print writes the status for people; it returns the first error of w.
func (s *Status) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "host\t%s in %s, version %s\n", s.Host, s.FailureDomain, s.Version)
	fmt.Fprintf(t, "ready\t%t, %d requests under way\n", s.Ready, s.UnderWay)
	fmt.Fprintf(t, "planner\t%s\n", s.planner())
	fmt.Fprintf(t, "configuration\tversion %d, known to be the newest %d ms ago\n", s.Configuration.Version,
		s.Configuration.ProofAgeMS)
	fmt.Fprintf(t, "hosts\t%d\n", len(s.Hosts))
	for _, h := range s.Hosts {
		fmt.Fprintf(t, "\t%s\n", h)
	}
	fmt.Fprintf(t, "replicas\t%d\n", len(s.Replicas))
	for _, r := range s.Replicas {
		state := ""
		if r.Draining {
			state = "  draining"
		}
		fmt.Fprintf(t, "\t%s  %s  %s  %s%s\n", r.ID, r.Service, r.FailureDomain, r.Address, state)
	}
	return t.Flush()
}

func (s *Status) planner() string {
	if s.PlansHere {
		return fmt.Sprintf("this host, %d asks wait", s.AsksWaiting)
	}
	return s.Planner.String()
}
