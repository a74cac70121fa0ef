package planner

import (
	"slices"
	"time"
)

// SetRegions sets the region of each failure domain that is known. Replicas of other failure domains get no request with allowed
// regions.
func (p *Planner) SetRegions(regions map[string]string) { p.regions = regions }

// inAllowedRegion reports whether a server may get a request as far as its region is concerned.
func (p *Planner) inAllowedRegion(req *Request, s *server) bool {
	if len(req.AllowedRegions) == 0 {
		return true
	}
	region := p.regions[s.replica.FailureDomain]
	return region != "" && slices.Contains(req.AllowedRegions, region)
}

// allowedSlotFreeAfter estimates the time until a slot is free at a replica in an allowed region of the request.
func (r *round) allowedSlotFreeAfter(req *Request) time.Duration {
	first := time.Duration(-1)
	for _, s := range r.planner.unlimitedServers(req.Service) {
		if !r.planner.inAllowedRegion(req, s) {
			continue
		}
		if len(s.jobs) < s.slots() {
			return 0
		}
		for _, j := range s.jobs {
			if end := max(predictedEnd(j).Sub(r.now), 0); first < 0 || end < first {
				first = end
			}
		}
	}
	return max(first, 0)
}
