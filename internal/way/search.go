package way

import (
	"net/netip"
	"time"
)

const (
	// How long one way may take before the next one is tried beside it.
	nextDelay = 80 * time.Millisecond
	// The number of other hosts through which a connection is tried.
	maxDetours = 4
)

// Hosts chooses the host through which to connect to a server after those that were tried, which is detour.Table.
type Hosts interface {
	Next(now time.Time, server netip.AddrPort, tried []netip.AddrPort) (netip.AddrPort, bool)
}

// Search is the search for a way to one server. Server and Hosts must be set before use; all times passed to its methods must
// come from the same clock.
type Search struct {
	Server netip.AddrPort
	Hosts  Hosts
	// Lost says that this host is known not to reach the server directly. A direct connection is then tried only if no other
	// host is known.
	Lost bool

	running int              // ways in progress
	direct  bool             // a direct connection was tried
	tried   []netip.AddrPort // hosts through which it was tried
	nextAt  time.Time        // when the next way is tried beside those in progress
}

// Next returns the way to try now, or false if there is none: the host through which to connect, or an invalid address for a
// direct connection. It is to be called until it returns false, at the start, after Failed and at the time that NextAt returns.
func (s *Search) Next(now time.Time) (host netip.AddrPort, ok bool) {
	if s.running > 0 && now.Before(s.nextAt) {
		return netip.AddrPort{}, false
	}
	s.nextAt = now.Add(nextDelay)
	if !s.Lost && !s.direct {
		return s.startDirect(), true
	}
	if len(s.tried) < maxDetours {
		if host, ok := s.Hosts.Next(now, s.Server, s.tried); ok {
			s.tried = append(s.tried, host)
			s.running++
			return host, true
		}
	}
	if s.running == 0 && !s.direct && len(s.tried) == 0 {
		return s.startDirect(), true
	}
	return netip.AddrPort{}, false
}

func (s *Search) startDirect() netip.AddrPort {
	s.direct = true
	s.running++
	return netip.AddrPort{}
}

// NextAt returns when the next way is to be tried if none has succeeded until then.
func (s *Search) NextAt() time.Time { return s.nextAt }

// Failed records that one of the ways has failed. The next one is tried at once.
func (s *Search) Failed(now time.Time) {
	s.running--
	s.nextAt = now
}

// Over reports whether no way is in progress, so that the search has failed unless Next returns another way.
func (s *Search) Over() bool { return s.running == 0 }
