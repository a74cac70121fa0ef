package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// EdgeHostsPerDomain is the number of edge hosts of a failure domain, which watch the platform's store.
const EdgeHostsPerDomain = 2

// EdgeHosts returns the edge hosts of a failure domain, which watch the platform's store. They are chosen by rendezvous
// hashing, so that the failure of one leaves the others in place. There are fewer than EdgeHostsPerDomain if the
// failure domain has fewer hosts.
func EdgeHosts(failureDomain string, hosts []protocol.Host) []protocol.Host {
	domain := byWeight("config-edge", inDomain(failureDomain, hosts))
	return domain[:min(EdgeHostsPerDomain, len(domain))]
}

// Returns the hosts of one failure domain.
func inDomain(failureDomain string, hosts []protocol.Host) []protocol.Host {
	var domain []protocol.Host
	for _, h := range hosts {
		if h.FailureDomain == failureDomain {
			domain = append(domain, h)
		}
	}
	return domain
}

// Returns hosts in descending order of their rendezvous weight for key.
func byWeight(key string, hosts []protocol.Host) []protocol.Host {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b protocol.Host) int {
		if c := cmp.Compare(weight(key, b.Name), weight(key, a.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return sorted
}

func weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
