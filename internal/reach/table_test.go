package reach

import (
	"net/netip"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

var begin = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return begin.Add(d) }

func servers(n int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range n {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(1 + i%3), 64, byte(i)}), 8686))
	}
	return addresses
}

func newTable(n int) (*Table, []netip.AddrPort) {
	t := &Table{}
	addresses := servers(n)
	t.SetServers(located(addresses))
	return t, addresses
}

// located returns servers at the addresses, each with another ID.
func located(addresses []netip.AddrPort) []replica.Location {
	var servers []replica.Location
	for _, a := range addresses {
		servers = append(servers, replica.Location{ID: "i-" + a.String(), Address: a})
	}
	return servers
}

// A failed connection leads to checks of two other paths; if these are sound, of no more.
func TestOneLostPathIsToldFromCut(t *testing.T) {
	table, a := newTable(18)
	if !table.Failed(at(0), a[0]) || !table.Lost(a[0]) {
		t.Fatal("the path isn't lost")
	}
	due := table.Due(at(0))
	if len(due) != firstChecks {
		t.Fatalf("%d checks, want %d", len(due), firstChecks)
	}
	for _, server := range due {
		table.Connected(at(time.Millisecond), server)
	}
	if due := table.Due(at(2 * time.Millisecond)); len(due) != 0 {
		t.Errorf("checks of %v though the others are sound", due)
	}
	if lost, _ := table.LostServers(); len(lost) != 1 || IsCutOff(len(lost), len(a)) {
		t.Errorf("lost %v", lost)
	}
}

// A host that is cut off knows so after two rounds of checks, and that the cut has ended after one check and one more round.
func TestCutAndItsEndAreFound(t *testing.T) {
	table, a := newTable(12)
	table.Failed(at(0), a[0])
	now := at(0)
	for range 2 {
		for _, server := range table.Due(now) {
			table.Failed(now.Add(time.Millisecond), server)
		}
		now = now.Add(2 * time.Millisecond)
	}
	lost, version := table.LostServers()
	if len(lost) != len(a) || !IsCutOff(len(lost), len(a)) {
		t.Fatalf("%d of %d paths are lost", len(lost), len(a))
	}
	checks := 0
	for now = now.Add(100 * time.Millisecond); now.Before(at(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, server := range table.Due(now) {
			checks++
			table.Failed(now, server)
		}
	}
	if most := 20*len(a)*int(time.Second)/int(maxCheckInterval) + 2*len(a); checks > most || checks < len(a) {
		t.Errorf("%d checks in 20 s, at most %d expected", checks, most)
	}
	due := table.Due(now.Add(maxCheckInterval))
	if len(due) == 0 || !table.Connected(now.Add(maxCheckInterval), due[0]) {
		t.Fatal("no path is checked while all are lost")
	}
	for _, server := range append(due[1:], table.Due(now.Add(maxCheckInterval))...) {
		table.Connected(now.Add(maxCheckInterval), server)
	}
	if lost, changed := table.LostServers(); len(lost) != 0 || changed == version {
		t.Errorf("%d paths are still lost after the cut", len(lost))
	}
}

// Paths with recent evidence aren't checked, and a response on an old connection doesn't end the loss of new ones.
func TestEvidence(t *testing.T) {
	table, a := newTable(4)
	for _, server := range a {
		table.Answered(at(0), server)
	}
	table.Failed(at(10*time.Millisecond), a[0])
	if due := table.Due(at(10 * time.Millisecond)); len(due) != 0 {
		t.Errorf("checks of %v, which have just responded", due)
	}
	table.Answered(at(20*time.Millisecond), a[0])
	if !table.Lost(a[0]) || table.Evident(at(20*time.Millisecond), a[0]) {
		t.Error("a response on an old connection ended the loss")
	}
	if !table.Evident(at(20*time.Millisecond), a[1]) || table.Evident(at(evidenceTime), a[1]) {
		t.Error("evidence counts for another time than evidenceTime")
	}
}

// A server that leaves while its path is checked takes its check with it.
func TestServersAreReplaced(t *testing.T) {
	table, a := newTable(3)
	for range 2 * maxChecks {
		table.SetServers(located(a))
		table.Failed(at(0), a[0])
		table.Due(at(time.Second))
		table.SetServers(nil)
	}
	if table.Lost(a[0]) || table.checks != 0 {
		t.Errorf("lost %v, %d checks in progress after the servers have left", table.Lost(a[0]), table.checks)
	}
}

// A server can't be reached, and another one comes at its address. Guards against the failures of the first being put down to the
// second, which would get no direct connections until its address is checked.
func TestPathOfServerThatHasGoneSaysNothing(t *testing.T) {
	table, a := newTable(3)
	table.Failed(at(0), a[0])
	table.Due(at(maxCheckInterval))
	next := located(a)
	table.SetServers(next)
	if !table.Lost(a[0]) {
		t.Error("the path isn't lost any more though the server is the same")
	}
	next[0].ID = "i-next"
	table.SetServers(next)
	if lost, _ := table.LostServers(); table.Lost(a[0]) || len(lost) != 0 {
		t.Errorf("lost %v after another server has come at the address", lost)
	}
	table.Failed(at(maxCheckInterval), a[0])
	if !table.Lost(a[0]) || table.checks < 0 {
		t.Errorf("lost: %t, %d checks in progress after the next server has failed", table.Lost(a[0]), table.checks)
	}
}
