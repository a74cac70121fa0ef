package spread

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// What a Spreader asks its shell to do.
const (
	ActionPush     ActionKind = "push"     // send Keeper.Pull(Have) to the host
	ActionAnnounce ActionKind = "announce" // send the host a heartbeat, which carries the version
	ActionPull     ActionKind = "pull"     // ask the host for its configuration and offer it to the Keeper
)

// Times and sizes of the spread.
const (
	DefaultFanout = 8
	PullDelay     = 300 * time.Millisecond // that a push is given before a host pulls
	PullTimeout   = time.Second            // after which another host is asked
	PushRetry     = 500 * time.Millisecond
	PushTimeout   = 2 * time.Second
	PushAttempts  = 3
)

type (
	// ActionKind names what the shell has to do.
	ActionKind string

	// Action is one message to one host.
	Action struct {
		Kind ActionKind
		Host protocol.Host
		Have protocol.ManifestVersion // that the host is believed to have
	}

	// Spreader decides which hosts this host sends its configuration to and from which it fetches a newer one.
	//
	// Edge hosts watch the platform. Each passes a change on to its part of the failure domain's hosts as a tree,
	// and announces it to its counterparts in the other failure domains. What a broken link of the tree leaves out
	// is pulled by the hosts themselves when a heartbeat shows a higher revision.
	Spreader struct {
		Self   protocol.Host
		Fanout int // of the tree; 0 means DefaultFanout

		hosts  []protocol.Host
		edges  []protocol.Host // of this failure domain
		below  []protocol.Host // this host's children in its tree
		others []protocol.Host // the edge hosts of other failure domains that this one tells
		own    protocol.ManifestVersion
		peers  map[string]*peer
		pulled time.Time // when the last pull was asked for; zero when none is under way
		active bool      // a push may be due again, or a host has a higher revision
	}

	// peer is what is known of another host.
	peer struct {
		version  protocol.ManifestVersion
		newer    time.Time // when it was first heard to have a higher revision than this host
		pushing  uint64    // revision that is being pushed, or 0
		attempts int
		retry    time.Time // when to push again unless it is answered
	}
)

// Members replaces the live hosts of all failure domains; this host is always among them.
func (s *Spreader) Members(hosts []protocol.Host) {
	s.hosts = slices.DeleteFunc(slices.Clone(hosts), func(h protocol.Host) bool { return h.Name == s.Self.Name })
	s.hosts = append(s.hosts, s.Self)
	kept := make(map[string]*peer, len(s.hosts))
	for _, h := range s.hosts {
		if p := s.peers[h.Name]; p != nil {
			kept[h.Name] = p
			continue
		}
		kept[h.Name] = new(peer)
	}
	s.peers = kept
	s.edges = Edges(s.Self.FailureDomain, s.hosts)
	s.below = s.subtree()
	s.others = s.counterparts()
}

// Edge reports whether this host watches the platform.
func (s *Spreader) Edge() bool { return slices.ContainsFunc(s.edges, s.is) }

// Changed tells that v came into force here and returns the messages that pass it on.
func (s *Spreader) Changed(now time.Time, v protocol.ManifestVersion, source Source) []Action {
	if v.Revision <= s.own.Revision {
		return nil
	}
	s.own, s.pulled = v, time.Time{}
	for _, p := range s.peers {
		p.newer, p.pushing, p.attempts, p.retry = time.Time{}, 0, 0, time.Time{}
	}
	var actions []Action
	for _, h := range s.children(source) {
		actions = s.push(actions, now, h)
	}
	if source != SourcePeer {
		actions = s.announce(actions)
	}
	return actions
}

// Heard tells the version in force on another host, from its heartbeat or its answer to a push.
func (s *Spreader) Heard(now time.Time, host string, v protocol.ManifestVersion) {
	p := s.peers[host]
	if p == nil || v.Revision < p.version.Revision {
		return
	}
	p.version = v
	if v.Revision >= p.pushing {
		p.pushing = 0
	}
	if v.Revision > s.own.Revision && p.newer.IsZero() {
		p.newer, s.active = now, true
	}
}

// Pushed tells that a push to a host was answered, with the version the host has now.
func (s *Spreader) Pushed(now time.Time, host string, v protocol.ManifestVersion) {
	if p := s.peers[host]; p != nil && p.pushing != 0 && v.Revision < p.pushing {
		s.PushFailed(now, host)
	}
	s.Heard(now, host, v)
}

// PushFailed tells that a push to a host got no answer.
func (s *Spreader) PushFailed(now time.Time, host string) {
	p := s.peers[host]
	if p == nil || p.pushing == 0 {
		return
	}
	p.retry = now.Add(PushRetry)
}

// PullFailed tells that a pull got no answer or nothing newer.
func (s *Spreader) PullFailed(host string) {
	s.pulled = time.Time{}
	if p := s.peers[host]; p != nil {
		p.newer = time.Time{} // heard again with the next heartbeat
		p.version = protocol.ManifestVersion{}
	}
}

// Tick returns the messages that are due: pushes to repeat and a pull of what pushes did not bring.
func (s *Spreader) Tick(now time.Time) []Action {
	if !s.active {
		return nil
	}
	s.active = false
	var actions []Action
	for _, h := range s.hosts {
		p := s.peers[h.Name]
		s.active = s.active || p.pushing != 0 || p.version.Revision > s.own.Revision && !p.newer.IsZero()
		if p.pushing != 0 && !now.Before(p.retry) {
			actions = s.push(actions, now, h)
		}
	}
	if !s.pulled.IsZero() && now.Sub(s.pulled) < PullTimeout {
		return actions
	}
	if h, ok := s.source(now); ok {
		s.pulled = now
		s.peers[h.Name].newer = now // another host comes first if this one does not answer
		actions = append(actions, Action{Kind: ActionPull, Host: h, Have: s.own})
	}
	return actions
}

// Chooses the host to pull from: the one known longest to have a higher revision.
func (s *Spreader) source(now time.Time) (protocol.Host, bool) {
	var best protocol.Host
	var since time.Time
	for _, h := range s.hosts {
		p := s.peers[h.Name]
		if p.version.Revision <= s.own.Revision || p.newer.IsZero() || now.Sub(p.newer) < PullDelay {
			continue
		}
		if since.IsZero() || p.newer.Before(since) {
			best, since = h, p.newer
		}
	}
	return best, !since.IsZero()
}

func (s *Spreader) push(actions []Action, now time.Time, h protocol.Host) []Action {
	p := s.peers[h.Name]
	if p.version.Revision >= s.own.Revision {
		return actions
	}
	if p.attempts >= PushAttempts {
		p.pushing = 0 // the host pulls when it hears a heartbeat
		return actions
	}
	p.attempts++
	p.pushing, p.retry, s.active = s.own.Revision, now.Add(PushTimeout), true
	return append(actions, Action{Kind: ActionPush, Host: h, Have: p.version})
}

// Tells edge hosts of the other failure domains, which may be cut off from the platform.
func (s *Spreader) announce(actions []Action) []Action {
	for _, h := range s.others {
		if s.peers[h.Name].version.Revision < s.own.Revision {
			actions = append(actions, Action{Kind: ActionAnnounce, Host: h})
		}
	}
	return actions
}

// Returns the hosts to push to. An edge host that did not see the change on its watch tells the others too,
// and a host that accepted the change itself tells the edge hosts of its failure domain.
func (s *Spreader) children(source Source) []protocol.Host {
	switch {
	case !s.Edge() && source != SourcePeer:
		return s.edges
	case s.Edge() && source != SourceWatch:
		return append(slices.DeleteFunc(slices.Clone(s.edges), s.is), s.below...)
	default:
		return s.below
	}
}

// Returns the edge hosts of the other failure domains that have the same rank as this one.
func (s *Spreader) counterparts() []protocol.Host {
	rank := slices.IndexFunc(s.edges, s.is)
	if rank < 0 {
		return nil
	}
	var hosts []protocol.Host
	for _, domain := range s.otherDomains() {
		edges := Edges(domain, s.hosts)
		hosts = append(hosts, edges[rank%len(edges)])
	}
	return hosts
}

func (s *Spreader) otherDomains() []string {
	var domains []string
	for _, h := range s.hosts {
		if h.FailureDomain != s.Self.FailureDomain && !slices.Contains(domains, h.FailureDomain) {
			domains = append(domains, h.FailureDomain)
		}
	}
	slices.Sort(domains)
	return domains
}

// Returns this host's children in the tree of the edge host that it belongs to.
func (s *Spreader) subtree() []protocol.Host {
	root := parent(s.edges, s.Self)
	tree := []protocol.Host{root}
	for _, h := range ranked(root.Name, inDomain(s.Self.FailureDomain, s.hosts)) {
		if !contains(s.edges, h) && parent(s.edges, h).Name == root.Name {
			tree = append(tree, h)
		}
	}
	fanout := s.Fanout
	if fanout == 0 {
		fanout = DefaultFanout
	}
	first := min(len(tree), fanout*slices.IndexFunc(tree, s.is)+1)
	return tree[first:min(len(tree), first+fanout)]
}

// Returns the edge host whose tree a host is in.
func parent(edges []protocol.Host, h protocol.Host) protocol.Host {
	if contains(edges, h) {
		return h
	}
	return ranked(h.Name, edges)[0]
}

func contains(hosts []protocol.Host, h protocol.Host) bool {
	return slices.ContainsFunc(hosts, func(other protocol.Host) bool { return other.Name == h.Name })
}

func (s *Spreader) is(h protocol.Host) bool { return h.Name == s.Self.Name }
