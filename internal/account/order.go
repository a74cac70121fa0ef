package account

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// candidate is an entry that may be ended, as it is at one time.
type candidate struct {
	entry   *Entry
	address netip.Addr
	bytes   int64
	phase   Phase
	stalled time.Duration // without progress, or with too little of it for its age; 0 for an entry that makes progress
}

// order returns the candidates that may be ended for the sake of a newcomer, the first to be ended first: idle and stalled ones by
// the bytes that they have held and the time for which they have; then those of the address that holds the most, if that
// is much more than the newcomer's own address does. Requests that a replica works on are left out.
func order(all []candidate, newcomer netip.Addr) []candidate {
	var waiting, moving []candidate
	held := make(map[netip.Addr]int64)
	for _, c := range all {
		held[c.address] += c.bytes
		switch {
		case c.phase == PhaseWorking:
		case c.stalled > 0:
			waiting = append(waiting, c)
		default:
			moving = append(moving, c)
		}
	}
	slices.SortFunc(waiting, func(a, b candidate) int {
		return cmp.Compare(float64(b.bytes)*b.stalled.Seconds(), float64(a.bytes)*a.stalled.Seconds())
	})
	moving = slices.DeleteFunc(moving, func(c candidate) bool {
		return c.phase == PhaseIdle || held[c.address] <= 2*held[newcomer]
	})
	slices.SortFunc(moving, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(held[b.address], held[a.address]), a.address.Compare(b.address), cmp.Compare(b.bytes, a.bytes))
	})
	return append(waiting, moving...)
}
