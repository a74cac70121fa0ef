package converge

import "testing"

// While a version is replaced, at most a quarter of the engines load at a time, and loads keep to the pace.
func TestRollingReplacement(t *testing.T) {
	for _, engines := range []int{1, 3, 6, 17} {
		d := newDomain(engines, 1000, false)
		d.document = wanted("2")
		for range 1000 {
			d.step()
			if allowed := max(1, engines/atOnce); len(d.loads) > allowed {
				t.Fatalf("%d of %d engines load at a time, at most %d may", len(d.loads), engines, allowed)
			}
		}
		if d.orders != engines {
			t.Errorf("%d loads of %d engines", d.orders, engines)
		}
	}
}
