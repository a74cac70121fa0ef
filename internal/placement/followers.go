package placement

import (
	"maps"
	"slices"
	"time"
)

const (
	// For how long a host counts as a follower after the newest message of its planner that its heartbeat knows of.
	followTime = 1500 * time.Millisecond
	// How long a larger number of hosts counts after some can't be heard any more. They may go on beside this host, cut off
	// from it, and send requests to the same replicas.
	cutMemory = 5 * time.Minute
	// How long after its start a host doesn't know how many others there are, and how long after it has found another one.
	settleTime = 1500 * time.Millisecond
	growthTime = time.Second
)

// followers is the share of all entry hosts that follow this one as their planner.
type followers struct {
	until map[string]time.Time // by host: when it no longer counts
	// By host: since when no earlier planner of the host counts it as a follower any more, whatever that planner has received.
	settledAt map[string]time.Time
	hosts     hostCount // all hosts, those that may be cut off from this one included
	grown     time.Time // when hosts was last found to be larger
}

func newFollowers() followers {
	return followers{
		until: make(map[string]time.Time), settledAt: make(map[string]time.Time), hosts: hostCount{memory: cutMemory},
	}
}

// recordHosts takes over the number of hosts that this one knows at now.
func (f *followers) recordHosts(now time.Time, count int) {
	before := f.hosts.count
	f.hosts.record(now, count)
	if f.hosts.count > before {
		f.grown = now
	}
}

// knowsHosts reports whether this host, which started at the given time, seems to know all others: it has run for settleTime
// and, if it has just started, found no further one lately.
func (f *followers) knowsHosts(now, started time.Time) bool {
	switch uptime := now.Sub(started); {
	case uptime < settleTime:
		return false
	case uptime < discoveryTime:
		return now.Sub(f.grown) >= growthTime
	default:
		return true
	}
}

// record takes over from a host's heartbeat whether it follows this one. The heartbeat repeats a stamp that this host sent
// at echoed; a host that was frozen may read it long after it was sent.
func (f *followers) record(host string, echoed time.Time, follows bool) {
	if !follows {
		delete(f.until, host)
		return
	}
	f.until[host] = echoed.Add(followTime)
}

// share returns which share of the given number of hosts follows this one, itself included. Of planners that are cut off
// from each other, or take over from each other, each so spends its part of a common limit.
func (f *followers) share(now time.Time, hosts int) float64 {
	following := 1 + len(f.names(now))
	return min(float64(following)/float64(max(hosts, 1)), 1)
}

// names returns the hosts that follow this one, in no order.
func (f *followers) names(now time.Time) []string {
	maps.DeleteFunc(f.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.Collect(maps.Keys(f.until))
}

// settle takes over from a host's heartbeat how long ago the host heard from an earlier planner. That one counts the host for
// followTime since then at most.
func (f *followers) settle(now time.Time, host string, sinceOther time.Duration) {
	if _, follows := f.until[host]; !follows {
		delete(f.settledAt, host)
		return
	}
	at := now.Add(max(followTime-sinceOther, 0))
	if known, ok := f.settledAt[host]; !ok || at.Before(known) {
		f.settledAt[host] = at
	}
}

// settledShare returns which share of the given number of hosts follows this one and isn't counted by any other planner. This host
// itself counts if ownSettled is set. Planners that take over from each other so never count a host at the same time.
func (f *followers) settledShare(now time.Time, hosts int, ownSettled bool) float64 {
	following := 0
	if ownSettled {
		following++
	}
	for _, host := range f.names(now) {
		if at, ok := f.settledAt[host]; ok && !now.Before(at) {
			following++
		}
	}
	maps.DeleteFunc(f.settledAt, func(host string, _ time.Time) bool { return f.until[host].IsZero() })
	return min(float64(following)/float64(max(hosts, 1)), 1)
}
