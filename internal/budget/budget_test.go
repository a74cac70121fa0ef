package budget

import (
	"testing"
	"time"
)

func TestRepeatsStayWithinTheBoundOfAnyWindow(t *testing.T) {
	const hosts = 18
	b := &Budget{Ratio: 0.2, Slack: 234, Window: 10 * time.Second, Hosts: func() int { return hosts }}
	now := time.Unix(1000, 0)
	var granted []time.Time
	requests := 0
	for range 4000 {
		now = now.Add(5 * time.Millisecond)
		if requests%2 == 0 {
			b.Request(now, "s")
		}
		requests++
		for b.Take(now, "s") {
			granted = append(granted, now)
		}
	}
	for i := range granted {
		n := 0
		for _, at := range granted[i:] {
			if at.Sub(granted[i]) <= b.Window {
				n++
			}
		}
		// A host sends 1,000 first requests in 10 s here.
		if bound := 0.2*1000 + 234.0/hosts; float64(n) > bound {
			t.Fatalf("%d repeats in a window, bound %v", n, bound)
		}
	}
	if len(granted) < 100 {
		t.Errorf("only %d repeats granted", len(granted))
	}
}

func TestServicesHaveTheirOwnBudget(t *testing.T) {
	b := &Budget{Slack: 10, Window: time.Second, Hosts: func() int { return 1 }}
	now := time.Unix(1000, 0)
	for b.Take(now, "a") {
	}
	if !b.Take(now, "b") {
		t.Error("service b has no budget after a has used its own")
	}
}

// All hosts of a fleet start again at once: what they grant together from the first moment on stays within the bound.
func TestFleetThatStartsAgainStaysWithinTheBound(t *testing.T) {
	const hosts = 143
	start := time.Unix(1000, 0)
	granted := 0
	for range hosts {
		b := &Budget{Ratio: 0.2, Slack: 407, Window: 10 * time.Second, Hosts: func() int { return 200 }}
		for at := time.Duration(0); at < b.Window; at += 50 * time.Millisecond {
			if b.Take(start.Add(at), "s") {
				granted++
			}
		}
	}
	if granted > 407 {
		t.Errorf("%d repeats in a window, bound 407", granted)
	}
}
