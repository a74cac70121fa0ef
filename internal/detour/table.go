package detour

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// How long a host that can't connect to a server isn't chosen for that server.
	unreachableTime = time.Second
	// How long a host that can't be reached itself, or passes nothing on, isn't chosen at all.
	failedTime = 2 * time.Second
)

// Table holds the hosts through which this one can connect to backend servers. Its zero value knows none; it is safe for
// concurrent use. All times passed to its methods must come from the same clock.
type Table struct {
	mu        sync.Mutex
	preferred []netip.AddrPort // hosts that reach backend servers, as the planner knows
	others    []netip.AddrPort // hosts of which nothing is known
	failures  []failure        // in order of time
	turn      int              // increases with each choice, so that hosts are chosen in turn
}

// failure is a connection through a host that could not be made.
type failure struct {
	host   netip.AddrPort
	server netip.AddrPort // that the host couldn't connect to; invalid if the host itself has failed
	until  time.Time      // until when it counts
}

// SetHosts replaces the hosts that can be chosen. Those that are preferred, since they are known to reach backend servers,
// are chosen first.
func (t *Table) SetHosts(preferred, others []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.preferred = preferred
	t.others = others
}

// Unreachable records that a host can't connect to a server.
func (t *Table) Unreachable(now time.Time, host, server netip.AddrPort) {
	t.record(now, failure{host: host, server: server, until: now.Add(unreachableTime)})
}

// Failed records that a host can't be reached, or passes nothing on.
func (t *Table) Failed(now time.Time, host netip.AddrPort) {
	t.record(now, failure{host: host, until: now.Add(failedTime)})
}

func (t *Table) record(now time.Time, f failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = slices.DeleteFunc(t.failures, func(old failure) bool {
		return !now.Before(old.until) || old.host == f.host && old.server == f.server
	})
	t.failures = append(t.failures, f)
}

// Next returns the host through which to connect to a server after those that were tried, or false if there is none. Of
// equally good hosts it returns each in turn.
func (t *Table) Next(now time.Time, server netip.AddrPort, tried []netip.AddrPort) (netip.AddrPort, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
	for _, hosts := range [][]netip.AddrPort{t.preferred, t.others} {
		best, fewest := netip.AddrPort{}, 0
		for i := range hosts {
			h := hosts[(t.turn+i)%len(hosts)]
			failures, excluded := t.failuresOf(now, h, server)
			if excluded || slices.Contains(tried, h) {
				continue
			}
			if !best.IsValid() || failures < fewest {
				best, fewest = h, failures
			}
		}
		if best.IsValid() {
			return best, true
		}
	}
	return netip.AddrPort{}, false
}

// failuresOf returns how many servers a host couldn't connect to lately, and whether it is of no use for the given one.
func (t *Table) failuresOf(now time.Time, host, server netip.AddrPort) (count int, excluded bool) {
	for _, f := range t.failures {
		if f.host != host || !now.Before(f.until) {
			continue
		}
		count++
		excluded = excluded || !f.server.IsValid() || f.server == server
	}
	return count, excluded
}
