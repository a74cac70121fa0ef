package ports

import (
	"net/netip"
	"testing"
)

// TestFreePortsDiffer checks that Free does not return the same address twice while its block of ports lasts.
func TestFreePortsDiffer(t *testing.T) {
	seen := make(map[netip.AddrPort]bool)
	for range 50 {
		address, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Errorf("Free returned %v twice", address)
		}
		seen[address] = true
	}
}
