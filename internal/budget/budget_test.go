package budget

import (
	"testing"
	"time"
)

// A host that takes every retry it can get stays within its part of the limits in any window.
func TestRetriesStayWithinLimitInAnyWindow(t *testing.T) {
	const hosts = 18
	b := &Budget{Ratio: 0.2, Slack: 234, Window: 10 * time.Second, Hosts: func() int { return hosts }}
	now := time.Unix(1000, 0)
	var granted []time.Time
	requests := 0
	for range 4000 {
		now = now.Add(5 * time.Millisecond)
		if requests%2 == 0 {
			b.RecordRequest(now, "s")
		}
		requests++
		for b.TryTake(now, "s") {
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
		// This host records 1,000 requests in 10 s.
		if limit := 0.2*1000 + 234.0/hosts; float64(n) > limit {
			t.Fatalf("%d retries in a window, limit %v", n, limit)
		}
	}
	if len(granted) < 100 {
		t.Errorf("only %d retries granted", len(granted))
	}
}

// A service that uses up its budget leaves that of another service as it is.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := &Budget{Slack: 10, Window: time.Second, Hosts: func() int { return 1 }}
	now := time.Unix(1000, 0)
	for b.TryTake(now, "a") {
	}
	if !b.TryTake(now, "b") {
		t.Error("service b has no budget after a has used its own")
	}
}

// All hosts restart at the same time: the retries that they grant together stay within the limit from the start.
func TestRestartOfAllHostsStaysWithinLimit(t *testing.T) {
	const hosts = 143
	start := time.Unix(1000, 0)
	granted := 0
	for range hosts {
		b := &Budget{Ratio: 0.2, Slack: 407, Window: 10 * time.Second, Hosts: func() int { return 200 }}
		for at := time.Duration(0); at < b.Window; at += 50 * time.Millisecond {
			if b.TryTake(start.Add(at), "s") {
				granted++
			}
		}
	}
	if granted > 407 {
		t.Errorf("%d retries in a window, limit 407", granted)
	}
}
