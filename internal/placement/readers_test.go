package placement

import (
	"testing"
	"time"
)

// While the store serves nobody, the hosts that call it don't grow with the fleet; while it rejects a third of the hosts,
// the state of the others gets old by no more than a second or two.
func TestReadersDoNotGrowWithHosts(t *testing.T) {
	readers := func(hosts int, age time.Duration) int {
		n := 0
		for rank := 1; rank < hosts; rank++ {
			if maxStateAge(rank) <= age {
				n++
			}
		}
		return n
	}
	for _, hosts := range []int{100, 300, 1000} {
		if n := readers(hosts, time.Hour); n >= maxReaders {
			t.Errorf("%d of %d hosts read a store that serves nobody", n, hosts)
		}
		if n := readers(hosts, 1500*time.Millisecond); n < 3 || n > 4 {
			t.Errorf("%d of %d hosts read when their state is 1.5 s old, want 3 or 4", n, hosts)
		}
	}
	if n := readers(18, 3*time.Second); n != 17 {
		t.Errorf("%d hosts of a small fleet read when their state is 3 s old, want all 17", n)
	}
}
