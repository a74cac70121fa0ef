package spread

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// The messages that a Distributor returns for its caller to send.
const (
	ActionPush     ActionKind = "push"     // send the host the result of ActiveConfig.Pull(KnownVersion)
	ActionAnnounce ActionKind = "announce" // send the host a heartbeat, which carries the active version
	ActionPull     ActionKind = "pull"     // request the host's configuration and pass it to ActiveConfig.Offer
)

// Timeouts and limits of the distribution between hosts.
const (
	DefaultFanout = 8                      // children of each host in the push tree
	PullDelay     = 300 * time.Millisecond // wait for a push after a newer revision is reported, before pulling it
	PullTimeout   = time.Second            // wait for a pull before pulling from another host
	PushRetry     = 500 * time.Millisecond // wait after a failed push before repeating it
	PushTimeout   = 2 * time.Second        // wait for the response to a push before repeating it
	PushAttempts  = 3                      // pushes of one revision to one host, including the first
)

type (
	// ActionKind identifies the message that the caller of a Distributor has to send.
	ActionKind string

	// Action is one message to one host.
	Action struct {
		Kind         ActionKind
		Host         protocol.Host
		KnownVersion protocol.ManifestVersion // last version that the host reported
	}

	// Distributor decides which hosts this host pushes its configuration to and from which it pulls a newer one.
	// It does no I/O: the caller sends the returned messages and reports their results.
	//
	// Edge hosts watch the platform's store. Each edge host is the root of a tree that covers its share of the hosts
	// of the failure domain; a change is pushed down that tree. The edge host also announces the change to one edge
	// host in each other failure domain. A host that a push does not reach pulls the change itself when a heartbeat
	// reports a higher revision than its own.
	Distributor struct {
		Self   protocol.Host
		Fanout int // children of each host in the push tree; 0 means DefaultFanout

		hosts         []protocol.Host // live hosts of all failure domains, including this host
		edges         []protocol.Host // edge hosts of this host's failure domain, by descending weight
		treeChildren  []protocol.Host // this host's children in the push tree
		remoteEdges   []protocol.Host // edge hosts of other failure domains that this host announces changes to
		activeVersion protocol.ManifestVersion
		peers         map[string]*peerState
		pullStarted   time.Time // when the pull in progress was started; zero if there is none
		tickNeeded    bool      // Tick has work: a push is unanswered, or a host has a higher revision
	}

	// peerState is the cached state of one host.
	peerState struct {
		version      protocol.ManifestVersion // last version that it reported
		newerSince   time.Time                // when it first reported a higher revision than this host's; zero if it has not
		pushRevision uint64                   // revision whose push it has not answered, or 0
		pushAttempts int                      // pushes of the active revision that were sent to it
		nextPush     time.Time                // when to repeat the push if it is still unanswered
	}
)

// SetHosts replaces the list of live hosts of all failure domains. This host is added if hosts lacks it.
func (d *Distributor) SetHosts(hosts []protocol.Host) {
	d.hosts = slices.DeleteFunc(slices.Clone(hosts), func(h protocol.Host) bool { return h.Name == d.Self.Name })
	d.hosts = append(d.hosts, d.Self)
	kept := make(map[string]*peerState, len(d.hosts))
	for _, h := range d.hosts {
		if p := d.peers[h.Name]; p != nil {
			kept[h.Name] = p
			continue
		}
		kept[h.Name] = new(peerState)
	}
	d.peers = kept
	d.edges = EdgeHosts(d.Self.FailureDomain, d.hosts)
	d.treeChildren = d.childrenInTree()
	d.remoteEdges = d.counterparts()
}

// IsEdgeHost reports whether this host is an edge host, which watches the platform's store.
func (d *Distributor) IsEdgeHost() bool { return slices.ContainsFunc(d.edges, d.isSelf) }

// VersionActivated records that this host activated version v, which it got from source, and returns the messages that
// propagate it. It returns nil if v is no newer than the version recorded before.
func (d *Distributor) VersionActivated(now time.Time, v protocol.ManifestVersion, source Source) []Action {
	if v.Revision <= d.activeVersion.Revision {
		return nil
	}
	d.activeVersion, d.pullStarted = v, time.Time{}
	for _, p := range d.peers {
		p.newerSince, p.pushRevision, p.pushAttempts, p.nextPush = time.Time{}, 0, 0, time.Time{}
	}
	var actions []Action
	for _, h := range d.pushTargets(source) {
		actions = d.push(actions, now, h)
	}
	if source != SourcePeer {
		actions = d.announce(actions)
	}
	return actions
}

// VersionReported records the active version of another host, which that host reported in a heartbeat or in its
// response to a push. It ignores hosts that are not in the list of members and versions older than the last one
// reported.
func (d *Distributor) VersionReported(now time.Time, host string, v protocol.ManifestVersion) {
	p := d.peers[host]
	if p == nil || v.Revision < p.version.Revision {
		return
	}
	p.version = v
	if v.Revision >= p.pushRevision {
		p.pushRevision = 0
	}
	if v.Revision > d.activeVersion.Revision && p.newerSince.IsZero() {
		p.newerSince, d.tickNeeded = now, true
	}
}

// PushAnswered records that a host responded to a push with the version v that it has now. If v is older than the
// pushed revision, the push counts as failed.
func (d *Distributor) PushAnswered(now time.Time, host string, v protocol.ManifestVersion) {
	if p := d.peers[host]; p != nil && p.pushRevision != 0 && v.Revision < p.pushRevision {
		d.PushFailed(now, host)
	}
	d.VersionReported(now, host, v)
}

// PushFailed records that a host did not respond to a push; Tick repeats the push after PushRetry.
func (d *Distributor) PushFailed(now time.Time, host string) {
	p := d.peers[host]
	if p == nil || p.pushRevision == 0 {
		return
	}
	p.nextPush = now.Add(PushRetry)
}

// PullFailed records that a pull from a host got no response or nothing newer. The host's version is cleared until
// the host reports it again, so that the next pull goes to another host.
func (d *Distributor) PullFailed(host string) {
	d.pullStarted = time.Time{}
	if p := d.peers[host]; p != nil {
		p.newerSince = time.Time{} // set again by the host's next heartbeat
		p.version = protocol.ManifestVersion{}
	}
}

// Tick returns the messages that are due: repeated pushes, and a pull if a newer revision was not pushed here within
// PullDelay.
func (d *Distributor) Tick(now time.Time) []Action {
	if !d.tickNeeded {
		return nil
	}
	d.tickNeeded = false
	var actions []Action
	for _, h := range d.hosts {
		p := d.peers[h.Name]
		d.tickNeeded = d.tickNeeded || p.pushRevision != 0 ||
			p.version.Revision > d.activeVersion.Revision && !p.newerSince.IsZero()
		if p.pushRevision != 0 && !now.Before(p.nextPush) {
			actions = d.push(actions, now, h)
		}
	}
	if !d.pullStarted.IsZero() && now.Sub(d.pullStarted) < PullTimeout {
		return actions
	}
	if h, ok := d.pullSource(now); ok {
		d.pullStarted = now
		d.peers[h.Name].newerSince = now // if this host does not answer, the next pull goes to another one
		actions = append(actions, Action{Kind: ActionPull, Host: h, KnownVersion: d.activeVersion})
	}
	return actions
}

// Returns the host to pull from: among the hosts that reported a higher revision at least PullDelay ago, the one that
// reported it first. A host that was pulled from counts from that pull. The result is false if there is no such host.
func (d *Distributor) pullSource(now time.Time) (protocol.Host, bool) {
	var best protocol.Host
	var since time.Time
	for _, h := range d.hosts {
		p := d.peers[h.Name]
		if p.version.Revision <= d.activeVersion.Revision || p.newerSince.IsZero() || now.Sub(p.newerSince) < PullDelay {
			continue
		}
		if since.IsZero() || p.newerSince.Before(since) {
			best, since = h, p.newerSince
		}
	}
	return best, !since.IsZero()
}

// Appends a push to h, unless h already has the active revision or has been sent PushAttempts pushes of it.
func (d *Distributor) push(actions []Action, now time.Time, h protocol.Host) []Action {
	p := d.peers[h.Name]
	if p.version.Revision >= d.activeVersion.Revision {
		return actions
	}
	if p.pushAttempts >= PushAttempts {
		p.pushRevision = 0 // the host pulls the change itself once a heartbeat reports it
		return actions
	}
	p.pushAttempts++
	p.pushRevision, p.nextPush, d.tickNeeded = d.activeVersion.Revision, now.Add(PushTimeout), true
	return append(actions, Action{Kind: ActionPush, Host: h, KnownVersion: p.version})
}

// Appends announcements to edge hosts of the other failure domains, which may be cut off from the platform.
func (d *Distributor) announce(actions []Action) []Action {
	for _, h := range d.remoteEdges {
		if d.peers[h.Name].version.Revision < d.activeVersion.Revision {
			actions = append(actions, Action{Kind: ActionAnnounce, Host: h})
		}
	}
	return actions
}

// Returns the hosts to push a change from source to: this host's children in the push tree. An edge host that did not
// get the change from its own watch also pushes it to the other edge hosts of its failure domain. A host that is no
// edge host and got the change from no peer, for example because it accepted the change itself, pushes it to the edge
// hosts of its failure domain only.
func (d *Distributor) pushTargets(source Source) []protocol.Host {
	switch {
	case !d.IsEdgeHost() && source != SourcePeer:
		return d.edges
	case d.IsEdgeHost() && source != SourceWatch:
		return append(slices.DeleteFunc(slices.Clone(d.edges), d.isSelf), d.treeChildren...)
	default:
		return d.treeChildren
	}
}

// Returns one edge host of each other failure domain, the one at this host's position in the weight order; if that
// domain has fewer edge hosts, the position wraps around. Returns nil if this host is no edge host.
func (d *Distributor) counterparts() []protocol.Host {
	position := slices.IndexFunc(d.edges, d.isSelf)
	if position < 0 {
		return nil
	}
	var hosts []protocol.Host
	for _, domain := range d.otherDomains() {
		edges := EdgeHosts(domain, d.hosts)
		hosts = append(hosts, edges[position%len(edges)])
	}
	return hosts
}

func (d *Distributor) otherDomains() []string {
	var domains []string
	for _, h := range d.hosts {
		if h.FailureDomain != d.Self.FailureDomain && !slices.Contains(domains, h.FailureDomain) {
			domains = append(domains, h.FailureDomain)
		}
	}
	slices.Sort(domains)
	return domains
}

// Returns this host's children in the push tree of its edge host. The tree is stored as an array whose first element is
// the edge host; the children of element i are the fanout elements from fanout*i+1 on.
func (d *Distributor) childrenInTree() []protocol.Host {
	root := treeRoot(d.edges, d.Self)
	tree := []protocol.Host{root}
	for _, h := range byWeight(root.Name, inDomain(d.Self.FailureDomain, d.hosts)) {
		if !containsHost(d.edges, h) && treeRoot(d.edges, h).Name == root.Name {
			tree = append(tree, h)
		}
	}
	fanout := d.Fanout
	if fanout == 0 {
		fanout = DefaultFanout
	}
	first := min(len(tree), fanout*slices.IndexFunc(tree, d.isSelf)+1)
	return tree[first:min(len(tree), first+fanout)]
}

// Returns the edge host at the root of the push tree that h is in.
func treeRoot(edges []protocol.Host, h protocol.Host) protocol.Host {
	if containsHost(edges, h) {
		return h
	}
	return byWeight(h.Name, edges)[0]
}

func containsHost(hosts []protocol.Host, h protocol.Host) bool {
	return slices.ContainsFunc(hosts, func(other protocol.Host) bool { return other.Name == h.Name })
}

func (d *Distributor) isSelf(h protocol.Host) bool { return h.Name == d.Self.Name }
