package placement

import (
	"math"
	"math/bits"
	"time"
)

const (
	// The number of hosts, the first ones in the planning order, that read the store if nothing newer reaches them.
	maxReaders = 32
	// How old the state of the first hosts after the planner may become before they read the store, and how much older
	// for each doubling of the rank.
	firstReadAge   = time.Second
	readAgeDoubled = 400 * time.Millisecond
	// Age of a host's state at which it does not read the store: never.
	neverRead = time.Duration(math.MaxInt64)
)

// maxStateAge returns how old the state of a host that has a planner may become before it reads the store itself. The
// rank is the number of hosts that precede it in the planning order.
//
// Each time that the state has grown older by readAgeDoubled, twice as many hosts read. So a host that the store serves
// is found soon if the store rejects the planner and others, and few calls are made if it serves nobody. Hosts after the
// first maxReaders don't read, so that the calls don't grow with the hosts.
func maxStateAge(rank int) time.Duration {
	if rank >= maxReaders {
		return neverRead
	}
	return firstReadAge + readAgeDoubled*time.Duration(max(bits.Len(uint(rank))-1, 0))
}
