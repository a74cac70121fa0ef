package member

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Defaults of the fields of List; each replaces a zero value.
const (
	DefaultProbeInterval   = 500 * time.Millisecond
	DefaultProbeTimeout    = 150 * time.Millisecond
	DefaultIndirectTimeout = 350 * time.Millisecond
	DefaultSuspectTimeout  = 600 * time.Millisecond
	DefaultDeadRetention   = time.Minute
)

const (
	ringProbes              = 2                     // hosts that each host probes in every probe interval
	randomProbeIntervals    = 2                     // probe intervals between probes of a random host
	crossDomainIntervals    = 4                     // probe intervals between probes of other failure domains
	isolatedSearchIntervals = 2                     // probe intervals between searches while no local peer is known
	searchIntervals         = 10                    // probe intervals between searches otherwise
	searchProbes            = 2                     // addresses probed in each search
	indirectProbes          = 3                     // hosts asked to probe a host that does not answer
	pushTargets             = 3                     // hosts that new gossip is sent to at once
	pushDelay               = 20 * time.Millisecond // from the first new row until it is pushed
	maxLag                  = 10 * time.Millisecond // delay of this host's own timers above which it extends deadlines
	edgeHostsPerDomain      = 2                     // hosts that exchange gossip with other failure domains
	maxRowsPerMessage       = 12                    // changed rows in a message that does not answer a join
	mismatchesToFetch       = 6                     // consecutive unequal digests until all members are fetched
	fetchInterval           = 5 * time.Second       // minimum time between two fetches of all members
	relayReturnFraction     = 4                     // 1/4 of a relayed probe's timeout is left for returning its result
)

// The kinds of actions.
const (
	// ActionProbe asks the caller to send Probe to To and to report the result by calling HandleAck or HandleFailure.
	ActionProbe ActionKind = iota
	// ActionRelay asks for the same. The caller also delays the Ack that HandleProbe returned until the result is known,
	// and sets its OK to whether the probe was answered.
	ActionRelay
)

type (
	// ActionKind classifies an Action.
	ActionKind uint8

	// Action is a message that the caller is to send. The caller may add other gossip to Probe.
	Action struct {
		Kind    ActionKind
		To      protocol.Host // receiver; its Name is empty if only the address is known
		Probe   protocol.Probe
		Timeout time.Duration // how long to wait for the answer
	}
)

// List holds the members that a host knows and decides whom the host probes. It is not safe for concurrent use.
type List struct {
	Self            protocol.Host
	Rand            *rand.Rand
	ProbeInterval   time.Duration
	ProbeTimeout    time.Duration // how long to wait for an answer before other hosts are asked to probe
	IndirectTimeout time.Duration // how long to wait for indirect probes before the host is suspected
	SuspectTimeout  time.Duration // how long a host stays suspected before it is declared dead
	DeadRetention   time.Duration // how long a dead host is remembered, so that outdated gossip cannot revive it

	disabled      protections
	ready         bool
	members       []*record // in ascending order of names; includes Self
	seeds         []netip.AddrPort
	platformHosts []platformapi.Host
	pendingProbes []pendingProbe
	domainLinks   map[string]*domainLink
	revision      uint64
	version       uint64 // incremented with each change of a row
	digests       digests
	ring          ringCache
	rowsToSend    int // number of members with sendsLeft above 0
	fetch         fetchState

	ringAt   time.Time // next probes of the next hosts on the ring
	randomAt time.Time // next probe of a random host
	crossAt  time.Time // next probes of other failure domains
	searchAt time.Time // next search
	pushAt   time.Time // next push; zero if there is no new gossip
	nextDue  time.Time // value of Next after the last update
}

// protections are the protections against wrong conclusions that tests disable to show what each one prevents.
type protections struct {
	refutation      bool // a host refutes suspicions of itself
	indirectProbes  bool // other hosts probe a host before it is suspected
	tombstones      bool // dead members are remembered for DeadRetention
	lagCompensation bool // deadlines are extended by this host's own delays
	suspicion       bool // a member is suspected before it is declared dead
}

// record is a member with this host's own state about it.
type record struct {
	protocol.Member
	suspicionEndsAt time.Time // when a suspected member is declared dead
	deadAt          time.Time // when this host learned that the member is dead
	sendsLeft       int       // how many more times its row is to be sent
	unpushed        bool      // whether its latest row has not been pushed yet
}

func (r *record) alive() bool {
	return r.State == protocol.StateAlive || r.State == protocol.StateSuspect
}

// Join starts searching for members at the seed addresses.
func (l *List) Join(now time.Time, seeds []netip.AddrPort) []Action {
	l.beginUpdate(now)
	l.seeds = slices.Clone(seeds)
	l.searchAt = now
	return l.finishUpdate(l.tick(now))
}

// SetPlatformHosts replaces this host's copy of the platform's host list. The list may be outdated: hosts in it are
// searched for, but no member is removed because it is missing from it.
func (l *List) SetPlatformHosts(now time.Time, hosts []platformapi.Host) {
	l.beginUpdate(now)
	l.platformHosts = l.platformHosts[:0]
	for _, h := range hosts {
		if h.Kind == platformapi.KindEntry && h.Name != l.Self.Name && !h.Leaving {
			l.platformHosts = append(l.platformHosts, h)
		}
	}
	l.finishUpdate(nil)
}

// Leave marks this host as leaving and starts to announce that to the other hosts.
func (l *List) Leave(now time.Time) []Action {
	l.beginUpdate(now)
	self := l.self()
	if self.State != protocol.StateLeaving {
		self.State = protocol.StateLeaving
		l.rowChanged(now, self)
	}
	return l.finishUpdate(l.tick(now))
}

// Members returns all known members in ascending order of names.
func (l *List) Members() []protocol.Member {
	list := make([]protocol.Member, len(l.members))
	for i, r := range l.members {
		list[i] = r.Member
	}
	return list
}

// Alive returns the hosts that are neither leaving nor dead, including this host, in ascending order of names.
// Suspected hosts count as alive.
func (l *List) Alive() []protocol.Host {
	var list []protocol.Host
	for _, r := range l.members {
		if r.alive() {
			list = append(list, r.Host)
		}
	}
	return list
}

// Revision returns a number that grows with each change of the result of Alive.
func (l *List) Revision() uint64 { return l.revision }

// Next returns when Tick is due.
func (l *List) Next() time.Time {
	next := l.ringAt
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	earlier(l.randomAt)
	earlier(l.crossAt)
	earlier(l.searchAt)
	earlier(l.pushAt)
	for i := range l.pendingProbes {
		earlier(l.pendingProbes[i].deadline)
	}
	for _, r := range l.members {
		if r.State == protocol.StateSuspect {
			earlier(r.suspicionEndsAt)
		}
	}
	return next
}

// Tick handles every timer that has expired and returns the messages to send.
func (l *List) Tick(now time.Time) []Action {
	l.beginUpdate(now)
	return l.finishUpdate(l.tick(now))
}

func (l *List) tick(now time.Time) []Action {
	actions := l.expireDeadlines(now)
	if !now.Before(l.ringAt) {
		l.ringAt = now.Add(l.ProbeInterval)
		l.removeExpiredDead(now)
		actions = append(actions, l.probeRing(now)...)
	}
	if !now.Before(l.randomAt) {
		l.randomAt = now.Add(randomProbeIntervals * l.ProbeInterval)
		actions = append(actions, l.probeRandom(now)...)
	}
	if !now.Before(l.crossAt) {
		l.crossAt = now.Add(crossDomainIntervals * l.ProbeInterval)
		actions = append(actions, l.probeOtherDomains(now)...)
	}
	if !now.Before(l.searchAt) {
		actions = append(actions, l.search(now)...)
	}
	if !l.pushAt.IsZero() && !now.Before(l.pushAt) {
		l.pushAt = time.Time{}
		actions = append(actions, l.pushGossip()...)
	}
	return actions
}

// beginUpdate initializes the list on first use and extends deadlines if this call comes more than maxLag after it
// was due.
func (l *List) beginUpdate(now time.Time) {
	if !l.ready {
		l.init(now)
	}
	if late := now.Sub(l.nextDue); !l.disabled.lagCompensation && late > maxLag && !l.nextDue.IsZero() {
		l.extendDeadlines(late)
	}
}

// extendDeadlines extends all deadlines of other hosts by the time for which this host itself was too slow to receive
// their answers. Each pending probe once gets ProbeTimeout in addition, so that the caller can report the answers
// that arrived meanwhile.
func (l *List) extendDeadlines(late time.Duration) {
	for i := range l.pendingProbes {
		p := &l.pendingProbes[i]
		p.deadline = p.deadline.Add(late)
		if !p.extended {
			p.extended = true
			p.deadline = p.deadline.Add(l.ProbeTimeout)
		}
	}
	for _, r := range l.members {
		if r.State == protocol.StateSuspect {
			r.suspicionEndsAt = r.suspicionEndsAt.Add(late)
		}
	}
}

// finishUpdate records when the next update is due and returns actions.
func (l *List) finishUpdate(actions []Action) []Action {
	l.nextDue = l.Next()
	return actions
}

func (l *List) init(now time.Time) {
	l.ready = true
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&l.ProbeInterval, DefaultProbeInterval},
		{&l.ProbeTimeout, DefaultProbeTimeout},
		{&l.IndirectTimeout, DefaultIndirectTimeout},
		{&l.SuspectTimeout, DefaultSuspectTimeout},
		{&l.DeadRetention, DefaultDeadRetention},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	l.domainLinks = make(map[string]*domainLink)
	l.members = []*record{{Member: protocol.Member{Host: l.Self}}}
	l.revision++
	l.version++
	// A random phase spreads the probes of hosts that start together over the interval.
	phase := time.Duration(l.Rand.Int64N(int64(l.ProbeInterval)))
	l.ringAt = now.Add(phase)
	l.randomAt = now.Add(2 * phase)
	l.crossAt = now.Add(phase)
	l.searchAt = now.Add(phase)
}

func (l *List) self() *record { return l.find(l.Self.Name) }

func (l *List) index(name string) (int, bool) {
	return slices.BinarySearchFunc(l.members, name, func(r *record, name string) int {
		return strings.Compare(r.Host.Name, name)
	})
}

func (l *List) find(name string) *record {
	if i, ok := l.index(name); ok {
		return l.members[i]
	}
	return nil
}

// isLocalPeer reports whether h is another host of this host's failure domain.
func (l *List) isLocalPeer(h protocol.Host) bool {
	return h.FailureDomain == l.Self.FailureDomain && h.Name != l.Self.Name
}
