package placement

import (
	"net/netip"
	"slices"

	"github.com/turmericshunt/turmericshunt/internal/planner"
)

// AllowPlan reports whether the replica of a plan and its helper replicas are known to be in one of the allowed regions.
func (c *Client) AllowPlan(allowed []string, p *planner.Plan) bool {
	if !c.allowDomain(allowed, p.Replica.FailureDomain) {
		return false
	}
	domains := make(map[string]string) // of the listed replicas, by ID and address
	if len(p.Helpers) > 0 {
		for _, r := range c.Cache.Replicas() {
			domains[r.ID+" "+r.Address.String()] = r.FailureDomain
		}
	}
	for _, h := range p.Helpers {
		domain, listed := domains[h.Replica+" "+h.Address.String()]
		if !listed || !c.allowDomain(allowed, domain) {
			return false
		}
	}
	return true
}

// AllowHost reports whether another host is known to be in one of the allowed regions.
func (c *Client) AllowHost(allowed []string, host netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	region := c.Roster.Region(host)
	return region != "" && slices.Contains(allowed, region)
}

// allowDomain reports whether a failure domain is known to be in one of the allowed regions.
func (c *Client) allowDomain(allowed []string, domain string) bool {
	region := c.Regions[domain]
	return region != "" && slices.Contains(allowed, region)
}
