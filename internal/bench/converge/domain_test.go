package converge

import "testing"

// While a model's version is replaced, at most a quarter of the engines, but at least one, may load at a time, and each
// engine loads once.
func TestRollingReplacement(t *testing.T) {
	for _, engines := range []int{1, 3, 6, 17} {
		d := newDomain(engines, 1000, false)
		d.document = documentWith("2")
		for range 1000 {
			d.step()
			if allowed := max(1, engines/enginesPerLoad); len(d.loads) > allowed {
				t.Fatalf("%d of %d engines load at a time, at most %d may", len(d.loads), engines, allowed)
			}
		}
		if d.commands != engines {
			t.Errorf("%d loads of %d engines", d.commands, engines)
		}
	}
}
