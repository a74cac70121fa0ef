package account

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against a shortage that ends the wrong connections: one that a replica works on, one that makes progress while another is
// stalled, or those of many callers behind a proxy for the sake of another of them.
func TestOrder(t *testing.T) {
	proxy, few, newcomer := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("10.0.0.3")
	all := []candidate{
		{address: proxy, bytes: 900, phase: PhaseWorking, stalled: time.Minute},
		{address: proxy, bytes: 50, phase: PhaseReceiving},
		{address: proxy, bytes: 60, phase: PhaseReceiving},
		{address: few, bytes: 20, phase: PhaseReceiving},
		{address: few, bytes: 10, phase: PhaseIdle, stalled: 10 * time.Second},
		{address: few, bytes: 90, phase: PhaseReceiving, stalled: 2 * time.Second},
	}
	for _, test := range []struct {
		newcomer netip.Addr
		want     []int64
	}{{newcomer, []int64{90, 10, 60, 50, 20}}, {few, []int64{90, 10, 60, 50}}, {proxy, []int64{90, 10}}} {
		var got []int64
		for _, c := range order(all, test.newcomer) {
			got = append(got, c.bytes)
		}
		if len(got) != len(test.want) {
			t.Errorf("newcomer %v: %v, want %v", test.newcomer, got, test.want)
			continue
		}
		for i := range got {
			if got[i] != test.want[i] {
				t.Errorf("newcomer %v: %v, want %v", test.newcomer, got, test.want)
				break
			}
		}
	}
}

// Guards against an account that runs over or leaks: an idle entry is ended for a new request, a request that a replica works on
// isn't, and what was given back counts until it is collected, but no longer.
func TestShortage(t *testing.T) {
	a := &Account{Bytes: 100, Connections: 3}
	collections := 0
	a.Collect = func() { collections++; (&sentinel{&a.garbage}).collected() }
	address := netip.MustParseAddr("10.0.0.1")
	var idle *Entry
	idle = a.Open(address, 10, func() { go idle.Close() })
	idle.Begin(PhaseIdle)
	working := a.Open(address, 10, func() { t.Error("an entry that a replica works on is ended") })
	if !working.Work(70) {
		t.Fatal("no room for the first request")
	}
	second := a.Open(address, 5, func() {})
	if second == nil || !second.Take(15) {
		t.Fatal("no room once the idle entry has been ended")
	}
	if second.Take(1) || second.Work(0) {
		t.Error("the account runs over")
	}
	working.EndWork(70)
	second.Give(15)
	if held, _ := a.Used(); held < 30 {
		t.Errorf("%d bytes count before they are collected", held)
	}
	if !second.Take(75) || collections == 0 {
		t.Error("garbage isn't collected for a request")
	}
	second.Close()
	working.Close()
	a.Collect()
	a.Collect()
	if held, open := a.Used(); held != 0 || open != 0 || a.units.Load() != 0 {
		t.Errorf("%d bytes, %d entries and %d connections count at the end", held, open, a.units.Load())
	}
}
