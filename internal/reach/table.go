package reach

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	// The interval at which the path to a server that can't be reached is checked, which doubles with each check.
	firstCheckInterval = 500 * time.Millisecond
	maxCheckInterval   = 2 * time.Second
	// A path over which a connection was made, or a response came, within this time isn't checked.
	evidenceTime = 500 * time.Millisecond
	// The number of other servers that are checked when one can't be reached. If one of them can't be reached either, all
	// are checked.
	firstChecks = 2
	// The maximum number of checks in progress.
	maxChecks = 16
	// A host is cut off if it can't reach at least this many servers, and at least one in cutOffDivisor of those it knows.
	minLostCutOff = 2
	cutOffDivisor = 2
)

// Table holds what is known of the paths from this host to backend servers. Its zero value knows no server; it is safe for
// concurrent use. All times passed to its methods must come from the same clock.
type Table struct {
	mu      sync.Mutex
	paths   map[netip.AddrPort]*path
	sorted  []netip.AddrPort // the addresses in paths
	checks  int              // checks in progress
	lost    []netip.AddrPort // servers whose paths are lost, in order of address; replaced as a whole
	version int              // changes with lost
}

// path is the path to one server.
type path struct {
	server    string        // ID of the server at the address
	lost      bool          // the last new connection failed
	evidence  time.Time     // when a connection was made last, or a response came
	checkAt   time.Time     // when it is to be checked; zero for never
	interval  time.Duration // between the last two checks of a lost path
	inquiring bool          // a check is in progress
}

// SetServers replaces the servers that are known. It keeps what is known of those that remain; what was known of a server says
// nothing about another one that has its address now.
func (t *Table) SetServers(servers []replica.Location) {
	t.mu.Lock()
	defer t.mu.Unlock()
	paths := make(map[netip.AddrPort]*path, len(servers))
	for _, s := range servers {
		p := t.paths[s.Address]
		if p == nil || p.server != s.ID {
			p = &path{server: s.ID}
		}
		paths[s.Address] = p
	}
	for a, p := range t.paths {
		if paths[a] != p && p.inquiring {
			t.checks--
		}
	}
	t.paths = paths
	t.sorted = slices.SortedFunc(maps.Keys(paths), netip.AddrPort.Compare)
	t.updateLost()
}

// updateLost computes lost anew.
func (t *Table) updateLost() {
	var lost []netip.AddrPort
	for _, a := range t.sorted {
		if t.paths[a].lost {
			lost = append(lost, a)
		}
	}
	if !slices.Equal(lost, t.lost) {
		t.lost = lost
		t.version++
	}
}

// Connected records that a new connection to a server was made, and reports whether the path was lost. The other lost paths
// are then checked at once.
func (t *Table) Connected(now time.Time, server netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[server]
	if p == nil {
		return false
	}
	t.endCheck(p)
	p.evidence = now
	p.checkAt = time.Time{}
	p.interval = 0
	if !p.lost {
		return false
	}
	p.lost = false
	t.updateLost()
	for _, other := range t.lost {
		t.paths[other].checkAt = now
	}
	return true
}

// Failed records that no new connection to a server could be made, and reports whether the path wasn't lost before. Other
// paths are then checked, to find out whether this host is cut off.
func (t *Table) Failed(now time.Time, server netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[server]
	if p == nil {
		return false
	}
	t.endCheck(p)
	p.interval = min(max(2*p.interval, firstCheckInterval), maxCheckInterval)
	p.checkAt = now.Add(p.interval)
	if p.lost {
		return false
	}
	alone := len(t.lost) == 0
	p.lost = true
	t.updateLost()
	t.checkOthers(now, server, alone)
	return true
}

// endCheck ends the check of a path that is in progress, if there is one.
func (t *Table) endCheck(p *path) {
	if p.inquiring {
		p.inquiring = false
		t.checks--
	}
}

// checkOthers schedules checks of the other paths: of firstChecks, spread over the sorted addresses, if server is the only
// one that can't be reached, and otherwise of all.
func (t *Table) checkOthers(now time.Time, server netip.AddrPort, alone bool) {
	n := len(t.sorted)
	at, _ := slices.BinarySearchFunc(t.sorted, server, netip.AddrPort.Compare)
	step := 1
	if alone {
		step = max(n/(firstChecks+1), 1)
	}
	for offset, checks := step, 0; offset < n && (!alone || checks < firstChecks); offset += step {
		if p := t.paths[t.sorted[(at+offset)%n]]; !p.lost {
			checks++
			if now.Sub(p.evidence) >= evidenceTime {
				p.checkAt = now
			}
		}
	}
}

// Answered records that a response has come from a server on a direct connection, which may be an old one.
func (t *Table) Answered(now time.Time, server netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[server]; p != nil {
		p.evidence = now
	}
}

// Lost reports whether the last new connection to a server failed.
func (t *Table) Lost(server netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[server]
	return p != nil && p.lost
}

// Evident reports whether there is recent evidence that a server can be reached.
func (t *Table) Evident(now time.Time, server netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[server]
	return p != nil && !p.lost && now.Sub(p.evidence) < evidenceTime
}

// Due returns the servers whose paths are to be checked now. The caller tries to connect to each of them and calls Connected
// or Failed.
func (t *Table) Due(now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []netip.AddrPort
	for _, a := range t.sorted {
		p := t.paths[a]
		if t.checks >= maxChecks {
			break
		}
		if p.checkAt.IsZero() || now.Before(p.checkAt) || p.inquiring {
			continue
		}
		p.inquiring = true
		p.checkAt = time.Time{}
		t.checks++
		due = append(due, a)
	}
	return due
}

// LostServers returns the servers whose paths are lost, in order of address, and a number that changes when they do. The caller
// must not modify the list.
func (t *Table) LostServers() (lost []netip.AddrPort, version int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost, t.version
}

// AllLost reports whether the paths to all servers that are known are lost.
func (t *Table) AllLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.lost) > 0 && len(t.lost) == len(t.paths)
}

// IsCutOff reports whether a host that can't reach so many of the servers that it knows is cut off itself, so that its
// failures say nothing about these servers.
func IsCutOff(lost, known int) bool { return lost >= minLostCutOff && lost*cutOffDivisor >= known }
