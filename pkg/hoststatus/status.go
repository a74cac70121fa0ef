package hoststatus

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
)

// Status is the cached state of one entry host.
type Status struct {
	Host            string           `json:"host"`           // name of the host
	FailureDomain   string           `json:"failure_domain"` // failure domain of the host
	Version         string           `json:"version"`        // version of the program
	Ready           bool             `json:"ready"`          // whether the host accepts new connections from callers
	InFlight        int              `json:"under_way"`      // number of requests in flight
	Planner         netip.AddrPort   `json:"planner"`        // peer address of the host that plans for this one
	IsPlanner       bool             `json:"plans_here"`     // whether this host plans for itself, perhaps for others too
	WaitingRequests int              `json:"asks_waiting"`   // number of placement requests waiting at this host's planner
	Hosts           []netip.AddrPort `json:"hosts"`          // peer addresses of the hosts that it knows, its own first
	Crossings       Crossings        `json:"crossings"`      // its traffic to other failure domains
	Configuration   Configuration    `json:"configuration"`  // the active configuration
	Replicas        []Replica        `json:"replicas"`       // the active replicas
	Holdings        []Holding        `json:"holdings"`       // what callers make the host hold, by listener
	// Evacuations is nil if the host doesn't read evacuations or hasn't read them yet.
	Evacuations *Evacuations `json:"evacuations,omitempty"`
}

// Evacuations is what a host knows of evacuations.
type Evacuations struct {
	FailureDomains []string `json:"failure_domains"`   // evacuated ones, sorted
	Unknown        []string `json:"unknown,omitempty"` // those of them that have neither a region nor a replica
	ReadAgeMS      int64    `json:"read_age_ms"`       // time since they were read from the store, in ms
}

// Configuration describes the active configuration.
type Configuration struct {
	Version       int64 `json:"version"`      // version of the configuration; 0 if the host has none yet
	VerifiedAgeMS int64 `json:"proof_age_ms"` // time since the configuration was last verified to be the newest, in ms
}

// Crossings is the traffic of a host to servers of other failure domains since it started.
type Crossings struct {
	Requests int64   `json:"requests"`
	Bytes    int64   `json:"bytes"`        // of requests and bodies of responses
	Price    float64 `json:"price_per_gb"` // value of a request per GB; 0 if the host doesn't distinguish failure domains
}

// Replica is an active replica: a backend server that the host may send requests to.
type Replica struct {
	ID            string         `json:"id"`
	Service       string         `json:"service"` // name of the service that it belongs to
	FailureDomain string         `json:"failure_domain"`
	Address       netip.AddrPort `json:"address"`
	Draining      bool           `json:"draining"`            // whether it gets no new requests
	Evacuated     bool           `json:"evacuated,omitempty"` // whether it gets none because its failure domain is evacuated
	// ColdRemainingMS is for how long it stays cold and takes few requests, in ms; 0 if it isn't cold.
	ColdRemainingMS int64 `json:"cold_remaining_ms,omitempty"`
}

// Holding is what the connections of one listener make the host hold. A limit of 0 means none.
type Holding struct {
	Listener         string `json:"listener"`
	Bytes            int64  `json:"bytes"` // memory, and bytes that were received and not read
	BytesLimit       int64  `json:"bytes_limit"`
	Connections      int    `json:"connections"`
	ConnectionsLimit int    `json:"connections_limit"`
}

// Print writes the status to w as a table for operators. It returns the first error of w.
func (s *Status) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "host\t%s in %s, version %s\n", s.Host, s.FailureDomain, s.Version)
	fmt.Fprintf(t, "ready\t%t, %d requests under way\n", s.Ready, s.InFlight)
	fmt.Fprintf(t, "planner\t%s\n", s.planner())
	fmt.Fprintf(t, "configuration\tversion %d, known to be the newest %d ms ago\n", s.Configuration.Version,
		s.Configuration.VerifiedAgeMS)
	if s.Evacuations != nil {
		fmt.Fprintf(t, "evacuated\t%s, read %d ms ago\n", s.Evacuations.names(), s.Evacuations.ReadAgeMS)
	}
	fmt.Fprintf(t, "crossings\t%d requests to other failure domains, %d bytes, price %g per GB\n", s.Crossings.Requests,
		s.Crossings.Bytes, s.Crossings.Price)
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
		if r.Evacuated {
			state += "  evacuated"
		}
		if r.ColdRemainingMS > 0 {
			state += fmt.Sprintf("  cold for %d ms", r.ColdRemainingMS)
		}
		fmt.Fprintf(t, "\t%s  %s  %s  %s%s\n", r.ID, r.Service, r.FailureDomain, r.Address, state)
	}
	for _, h := range s.Holdings {
		fmt.Fprintf(t, "held by %s\t%d of %d bytes, %d of %d connections\n", h.Listener, h.Bytes, h.BytesLimit, h.Connections,
			h.ConnectionsLimit)
	}
	return t.Flush()
}

// planner returns the value of the planner line: the planner's address, or the number of placement requests that wait
// if this host plans itself.
func (s *Status) planner() string {
	if s.IsPlanner {
		return fmt.Sprintf("this host, %d asks wait", s.WaitingRequests)
	}
	return s.Planner.String()
}

// names lists the evacuated failure domains, and which of them aren't known.
func (e *Evacuations) names() string {
	if len(e.FailureDomains) == 0 {
		return "none"
	}
	names := slices.Clone(e.FailureDomains)
	for i, name := range names {
		if slices.Contains(e.Unknown, name) {
			names[i] = name + " (unknown)"
		}
	}
	return strings.Join(names, ", ")
}
