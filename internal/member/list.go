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

// Defaults of the fields of List.
const (
	DefaultProbeInterval   = 500 * time.Millisecond
	DefaultProbeTimeout    = 150 * time.Millisecond
	DefaultIndirectTimeout = 350 * time.Millisecond
	DefaultSuspectTimeout  = 600 * time.Millisecond
	DefaultDeadRetention   = time.Minute
)

const (
	ringProbes    = 2 // hosts that each host probes in every interval
	randomFactor  = 2 // probe intervals between probes of a random host
	crossFactor   = 4 // probe intervals between probes of other failure domains
	seedFactor    = 2 // probe intervals between searches while no other host is known
	searchFactor  = 10
	searchProbes  = 2
	helpers       = 3 // hosts asked to probe one that does not answer
	pushes        = 3 // hosts that news is sent to at once
	pushDelay     = 20 * time.Millisecond
	maxLag        = 10 * time.Millisecond
	edges         = 2
	maxMembers    = 12 // rows in one message that is not an answer to a join
	syncMismatch  = 6  // unequal digests in a row until the members are fetched
	syncInterval  = 5 * time.Second
	relayFraction = 4 // share of the timeout left for a relayed probe's way back
)

// The kinds of actions.
const (
	// ActionProbe sends Probe to To and reports the result by Acked or Failed.
	ActionProbe ActionKind = iota
	// ActionRelay does the same; the Ack that Probed returned waits for it, and its OK tells the result.
	ActionRelay
)

type (
	// ActionKind tells what to do.
	ActionKind uint8

	// Action is a message to send; the caller may add to Probe what else it spreads.
	Action struct {
		Kind    ActionKind
		To      protocol.Host // only the address may be known
		Probe   protocol.Probe
		Timeout time.Duration // for the answer
	}
)

// List holds the members that a host knows; it is not safe for concurrent use.
type List struct {
	Self            protocol.Host
	Rand            *rand.Rand
	ProbeInterval   time.Duration
	ProbeTimeout    time.Duration // until others are asked to probe a host that does not answer
	IndirectTimeout time.Duration // from then until it is suspected
	SuspectTimeout  time.Duration // until a suspected host is taken for dead
	DeadRetention   time.Duration // for which a dead host is remembered, so that old news can't revive it

	off      protections
	ready    bool
	members  []*entry // ascending by name, with Self
	seeds    []netip.AddrPort
	hints    []platformapi.Host
	pending  []pending
	crossing map[string]*crossing
	revision uint64
	version  uint64 // grows with each change of a row
	digests  digests
	ring     ring
	unsent   int // members whose row has copies left to send
	sync     syncState

	ringAt   time.Time
	randomAt time.Time
	crossAt  time.Time
	searchAt time.Time
	pushAt   time.Time // zero when there is no news
	due      time.Time
}

// protections are switched off by tests, which show what each is for.
type protections struct {
	refutation bool
	indirect   bool
	tombstones bool
	lag        bool
	suspicion  bool
}

// entry is a member with what this host does about it.
type entry struct {
	protocol.Member
	suspectAt time.Time // when a suspicion ends in death
	diedAt    time.Time
	sends     int  // remaining copies of its row to send
	fresh     bool // not pushed yet
}

func (e *entry) alive() bool {
	return e.State == protocol.StateAlive || e.State == protocol.StateSuspect
}

// Join starts the search for members at the addresses of seeds.
func (l *List) Join(now time.Time, seeds []netip.AddrPort) []Action {
	l.begin(now)
	l.seeds = slices.Clone(seeds)
	l.searchAt = now
	return l.finish(l.tick(now))
}

// Hint takes in the platform's list of hosts, which may lag: hosts in it are searched for, and none is removed.
func (l *List) Hint(now time.Time, hosts []platformapi.Host) {
	l.begin(now)
	l.hints = l.hints[:0]
	for _, h := range hosts {
		if h.Kind == platformapi.KindEntry && h.Name != l.Self.Name && !h.Leaving {
			l.hints = append(l.hints, h)
		}
	}
	l.finish(nil)
}

// Leave announces that this host is stopping.
func (l *List) Leave(now time.Time) []Action {
	l.begin(now)
	self := l.self()
	if self.State != protocol.StateLeaving {
		self.State = protocol.StateLeaving
		l.changed(now, self)
	}
	return l.finish(l.tick(now))
}

// Members returns all known members in ascending order of names.
func (l *List) Members() []protocol.Member {
	list := make([]protocol.Member, len(l.members))
	for i, e := range l.members {
		list[i] = e.Member
	}
	return list
}

// Alive returns the hosts that neither leave nor are dead, this one included, in ascending order of names.
func (l *List) Alive() []protocol.Host {
	var list []protocol.Host
	for _, e := range l.members {
		if e.alive() {
			list = append(list, e.Host)
		}
	}
	return list
}

// Revision grows with each change of what Alive returns.
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
	for i := range l.pending {
		earlier(l.pending[i].deadline)
	}
	for _, e := range l.members {
		if e.State == protocol.StateSuspect {
			earlier(e.suspectAt)
		}
	}
	return next
}

// Tick does what is due.
func (l *List) Tick(now time.Time) []Action {
	l.begin(now)
	return l.finish(l.tick(now))
}

func (l *List) tick(now time.Time) []Action {
	actions := l.expire(now)
	if !now.Before(l.ringAt) {
		l.ringAt = now.Add(l.ProbeInterval)
		l.forgetDead(now)
		actions = append(actions, l.probeRing(now)...)
	}
	if !now.Before(l.randomAt) {
		l.randomAt = now.Add(randomFactor * l.ProbeInterval)
		actions = append(actions, l.probeRandom(now)...)
	}
	if !now.Before(l.crossAt) {
		l.crossAt = now.Add(crossFactor * l.ProbeInterval)
		actions = append(actions, l.probeCross(now)...)
	}
	if !now.Before(l.searchAt) {
		actions = append(actions, l.search(now)...)
	}
	if !l.pushAt.IsZero() && !now.Before(l.pushAt) {
		l.pushAt = time.Time{}
		actions = append(actions, l.push()...)
	}
	return actions
}

func (l *List) begin(now time.Time) {
	if !l.ready {
		l.init(now)
	}
	if late := now.Sub(l.due); !l.off.lag && late > maxLag && !l.due.IsZero() {
		l.postpone(late)
	}
}

// postpone gives others the time for which this host was itself too slow to hear them, and once for each probe time
// to take in the answers that have come meanwhile.
func (l *List) postpone(late time.Duration) {
	for i := range l.pending {
		p := &l.pending[i]
		p.deadline = p.deadline.Add(late)
		if !p.postponed {
			p.postponed = true
			p.deadline = p.deadline.Add(l.ProbeTimeout)
		}
	}
	for _, e := range l.members {
		if e.State == protocol.StateSuspect {
			e.suspectAt = e.suspectAt.Add(late)
		}
	}
}

func (l *List) finish(actions []Action) []Action {
	l.due = l.Next()
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
	l.crossing = make(map[string]*crossing)
	l.members = []*entry{{Member: protocol.Member{Host: l.Self}}}
	l.revision++
	l.version++
	// Hosts that start together spread their probes over the interval.
	phase := time.Duration(l.Rand.Int64N(int64(l.ProbeInterval)))
	l.ringAt = now.Add(phase)
	l.randomAt = now.Add(2 * phase)
	l.crossAt = now.Add(phase)
	l.searchAt = now.Add(phase)
}

func (l *List) self() *entry { return l.find(l.Self.Name) }

func (l *List) index(name string) (int, bool) {
	return slices.BinarySearchFunc(l.members, name, func(e *entry, name string) int {
		return strings.Compare(e.Host.Name, name)
	})
}

func (l *List) find(name string) *entry {
	if i, ok := l.index(name); ok {
		return l.members[i]
	}
	return nil
}

// isOwn reports whether a host is another one of this failure domain.
func (l *List) isOwn(h protocol.Host) bool {
	return h.FailureDomain == l.Self.FailureDomain && h.Name != l.Self.Name
}
