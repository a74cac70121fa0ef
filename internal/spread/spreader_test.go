package spread

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

func manyHosts(domains, perDomain int) []protocol.Host {
	var hosts []protocol.Host
	for d := range domains {
		for i := range perDomain {
			hosts = append(hosts, protocol.Host{Name: fmt.Sprintf("%c%02d", 'a'+d, i), FailureDomain: string(rune('a' + d))})
		}
	}
	return hosts
}

func at(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }

func version(revision uint64) protocol.ManifestVersion {
	return protocol.ManifestVersion{Revision: revision, Digest: fmt.Sprint(revision)}
}

func TestEdges(t *testing.T) {
	hosts := manyHosts(2, 10)
	edges := EdgeHosts("a", hosts)
	if len(edges) != EdgeHostsPerDomain || edges[0].FailureDomain != "a" {
		t.Fatalf("got %v", edges)
	}
	var rest []protocol.Host
	for _, h := range hosts {
		if h.Name != edges[0].Name {
			rest = append(rest, h)
		}
	}
	if after := EdgeHosts("a", rest); after[0].Name != edges[1].Name {
		t.Errorf("edge host %s was replaced when another one was removed", edges[1].Name)
	}
	if got := EdgeHosts("a", hosts[:1]); len(got) != 1 {
		t.Errorf("got %v for a single host, want that host", got)
	}
}

// A change that the edge hosts get from their watches must be pushed to each other host of the failure domain exactly
// once.
func TestTreeReachesEachHostOnce(t *testing.T) {
	for _, each := range []int{1, 2, 3, 7, 40, 120} {
		hosts := manyHosts(2, each)
		reached := make(map[string]int)
		var visit func(h protocol.Host, source Source)
		visit = func(h protocol.Host, source Source) {
			reached[h.Name]++
			s := &Distributor{Self: h}
			s.SetHosts(hosts)
			for _, a := range s.VersionActivated(at(0), version(1), source) {
				if a.Kind == ActionPush {
					visit(a.Host, SourcePeer)
				}
			}
		}
		for _, edge := range EdgeHosts("a", hosts) {
			visit(edge, SourceWatch)
		}
		for _, h := range inDomain("a", hosts) {
			if reached[h.Name] != 1 {
				t.Errorf("%d hosts: %s was reached %d times, want once", each, h.Name, reached[h.Name])
			}
		}
	}
}

// Each case makes a sequence of calls at the given times in milliseconds and lists the messages that the last call
// returns.
func TestSpreader(t *testing.T) {
	hosts := manyHosts(2, 4)
	edge := EdgeHosts("a", hosts)[0]
	var leaf protocol.Host
	for _, h := range hosts[:4] {
		if !containsHost(EdgeHosts("a", hosts), h) {
			leaf = h
		}
	}
	show := func(actions []Action) string {
		var kinds []string
		for _, a := range actions {
			kinds = append(kinds, string(a.Kind))
		}
		return strings.Join(kinds, " ")
	}
	tests := []struct {
		name string
		self protocol.Host
		run  func(*Distributor) []Action
		want string
	}{
		{
			"leaf forwards nothing", leaf,
			func(s *Distributor) []Action { return s.VersionActivated(at(0), version(1), SourcePeer) }, "",
		},
		{"leaf pushes what it accepted to the edge hosts", leaf, func(s *Distributor) []Action {
			return s.VersionActivated(at(0), version(1), SourceLocal)
		}, "push push"},
		{"edge announces what its watch returned", edge, func(s *Distributor) []Action {
			s.VersionActivated(at(0), version(1), SourceWatch)
			return s.VersionActivated(at(1), version(2), SourceWatch)[len(s.treeChildren):]
		}, "announce"},
		{"old version", leaf, func(s *Distributor) []Action {
			s.VersionActivated(at(0), version(2), SourceLocal)
			return s.VersionActivated(at(1), version(1), SourceLocal)
		}, ""},
		{"pull waits for a push", leaf, func(s *Distributor) []Action {
			s.VersionReported(at(0), edge.Name, version(1))
			return s.Tick(at(299))
		}, ""},
		{"pull", leaf, func(s *Distributor) []Action {
			s.VersionReported(at(0), edge.Name, version(1))
			return s.Tick(at(300))
		}, "pull"},
		{"one pull at a time", leaf, func(s *Distributor) []Action {
			s.VersionReported(at(0), edge.Name, version(1))
			s.Tick(at(300))
			return s.Tick(at(900))
		}, ""},
		{"pull from another host", leaf, func(s *Distributor) []Action {
			s.VersionReported(at(0), edge.Name, version(1))
			s.Tick(at(300))
			return s.Tick(at(1300))
		}, "pull"},
		{"no pull of the active version", leaf, func(s *Distributor) []Action {
			s.VersionReported(at(0), edge.Name, version(1))
			s.VersionActivated(at(100), version(1), SourcePeer)
			return s.Tick(at(300))
		}, ""},
		{"failed push is repeated", leaf, func(s *Distributor) []Action {
			s.VersionActivated(at(0), version(1), SourceLocal)
			s.PushFailed(at(100), edge.Name)
			return s.Tick(at(600))
		}, "push"},
		{"answered push is not repeated", leaf, func(s *Distributor) []Action {
			for _, a := range s.VersionActivated(at(0), version(1), SourceLocal) {
				s.PushAnswered(at(1), a.Host.Name, version(1))
			}
			return s.Tick(at(5000))
		}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &Distributor{Self: test.self}
			s.SetHosts(hosts)
			if got := show(test.run(s)); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// Pushes to hosts that never respond must stop after PushAttempts for each host.
func TestPushesAreLimited(t *testing.T) {
	hosts := manyHosts(1, 3)
	s := &Distributor{Self: hosts[0]}
	s.SetHosts(hosts)
	pushes := len(s.VersionActivated(at(0), version(1), SourceLocal))
	for ms := range 60_000 {
		pushes += len(s.Tick(at(ms)))
	}
	if pushes > PushAttempts*2 {
		t.Errorf("%d pushes to two hosts that do not respond", pushes)
	}
}
