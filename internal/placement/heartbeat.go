package placement

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/link"
	"github.com/turmericshunt/turmericshunt/internal/roster"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	// The interval at which members are sent over one connection if they haven't changed, and how many of them. Hosts need
	// only those that may soon be planner; the planner and the standbys hear from all hosts directly.
	membersInterval = 3 * time.Second
	maxMembers      = 32
	// The interval at which configuration and replicas are sent again to a host that doesn't accept them.
	resendInterval = time.Second
)

// sendHeartbeat sends a heartbeat to a peer. If noReply is set, the heartbeat is a reply or an unrequested report: the
// peer must not reply to it, and it may carry the list of members. If the peer has sent a heartbeat before, the
// heartbeat also carries this host's state, without the configuration and replicas that the peer has.
func (c *Client) sendHeartbeat(now time.Time, p *peerLink, noReply bool) {
	heartbeat := &link.Heartbeat{Stamp: now.UnixNano(), Host: c.Roster.Self(), NoReply: noReply}
	own := c.Cache.Versions()
	heartbeat.SetVersions(own)
	heartbeat.HostCount = c.Roster.Size()
	if noReply {
		heartbeat.Members = c.membersFor(now, p)
	}
	if p.lastStamp != 0 {
		heartbeat.Echo = p.lastStamp
		heartbeat.State = c.exportState(now, p, own, heartbeat.Stamp)
	}
	table := c.localPlanner.Quarantine()
	heartbeat.VerdictDigest = table.Digest(now)
	c.recordVerdicts(now, heartbeat.VerdictDigest)
	if p.lastStamp != 0 && heartbeat.VerdictDigest != p.verdictDigest {
		heartbeat.Verdicts = table.Verdicts(now)
	}
	c.addPaths(now, p, heartbeat)
	heartbeat.Follows = p.address == c.plannerAddress
	c.addLimits(now, p, heartbeat)
	c.addCold(now, p, heartbeat)
	p.link.Send(&link.Message{Heartbeat: heartbeat})
}

// membersFor returns the first hosts in the planning order if a peer is due to get them: when they are others than it got
// last, and otherwise every membersInterval. A host of an earlier version doesn't read HostCount, so it gets all hosts.
func (c *Client) membersFor(now time.Time, p *peerLink) []roster.Member {
	if !p.versions.AcceptsChanges {
		if now.Sub(p.membersSentAt) < membersInterval {
			return nil
		}
		p.membersSentAt = now
		return c.Roster.Members(now)
	}
	members := c.Roster.Foremost(now, maxMembers)
	digest := membersDigest(members)
	if digest == p.membersDigest && now.Sub(p.membersSentAt) < membersInterval {
		return nil
	}
	p.membersDigest = digest
	p.membersSentAt = now
	return members
}

// membersDigest returns a hash of the members' addresses.
func membersDigest(members []roster.Member) uint64 {
	var addresses []byte
	for _, m := range members {
		// No error is possible: any address can be encoded.
		addresses, _ = m.Address.AppendBinary(addresses)
	}
	return xxhash.Sum64(addresses)
}

// exportState returns the state to send to a peer with the given stamp; own is what this host has. What is sent counts as
// received until a heartbeat says otherwise that the peer has sent later.
func (c *Client) exportState(now time.Time, p *peerLink, own feed.Versions, stamp int64) *feed.State {
	known := p.versions
	if own.SameContent(p.sent) && now.Sub(p.sentAt) < resendInterval {
		known = own // the peer doesn't accept what it was sent
	}
	state := c.Cache.Export(p.lastStampAt, known)
	if state.HasContent() {
		p.sent, p.sentAt, p.sentStamp = own, now, stamp
		p.versions = own
	}
	return &state
}

// handleHeartbeat takes over the state and members in a heartbeat, and replies unless its NoReply is set.
func (c *Client) handleHeartbeat(p *peerLink, heartbeat *link.Heartbeat) {
	now := steady.Now()
	if heartbeat.Echo != 0 && heartbeat.State != nil {
		c.Cache.Import(time.Unix(0, heartbeat.Echo), *heartbeat.State)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.address != heartbeat.Host.Address || p.host == "" {
		p.address = heartbeat.Host.Address
		p.host = p.address.String()
	}
	if c.inbound[p] {
		c.hostLink[p.host] = p
	}
	c.localPlanner.Quarantine().Merge(now, heartbeat.Verdicts)
	c.takeLimits(now, p, heartbeat)
	c.takeCold(now, p, heartbeat)
	c.takePaths(now, p, heartbeat)
	p.verdictDigest = heartbeat.VerdictDigest
	if p.lastStamp == 0 {
		c.reportLeaving(p)
	}
	c.introduced = c.introduced || heartbeat.Echo != 0
	p.lastStamp = heartbeat.Stamp
	p.lastStampAt = now
	if p.address == c.plannerAddress {
		c.followed.heard(now)
		c.hostCount.record(now, heartbeat.HostCount)
	}
	if heartbeat.Echo >= p.sentStamp {
		p.versions = heartbeat.Versions()
	}
	if c.Roster.RecordHeartbeat(now, heartbeat.Host) {
		c.Log.Event("host_regained", slog.String("peer", heartbeat.Host.Address.String()))
	}
	c.Roster.Merge(now, withoutAddress(heartbeat.Members, heartbeat.Host.Address))
	if !heartbeat.NoReply {
		c.sendHeartbeat(now, p, true)
	}
	c.choosePlanner(now)
}

// withoutAddress removes the member with the given address from members, in place.
func withoutAddress(members []roster.Member, address netip.AddrPort) []roster.Member {
	kept := members[:0]
	for _, m := range members {
		if m.Address != address {
			kept = append(kept, m)
		}
	}
	return kept
}
