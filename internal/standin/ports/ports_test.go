package ports

import (
	"net/netip"
	"testing"
)

func TestFreePortsDiffer(t *testing.T) {
	seen := make(map[netip.AddrPort]bool)
	for range 50 {
		address, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Errorf("%v twice", address)
		}
		seen[address] = true
	}
}
