package roster

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A host is considered lost if this time has passed since its first unanswered contact.
	replyTimeout = 900 * time.Millisecond
	// The interval at which a lost host that precedes the planner in the planning order is contacted again.
	lostHostInterval = time.Second
	// The intervals at which a seed is contacted: a short one for startupTime after the start, because hosts find each
	// other through the seeds, and a long one later.
	startupSeedInterval = 300 * time.Millisecond
	seedInterval        = 5 * time.Second
	startupTime         = 4 * time.Second
	// A host is not chosen as planner if this host hasn't heard from it directly for this time.
	directTimeout = 1500 * time.Millisecond
	// The number of standbys, which are the hosts next in line to replace the planner, and the interval at which each
	// is contacted.
	maxStandbys     = 2
	standbyInterval = 500 * time.Millisecond
	// The maximum number of hosts that precede the planner in the planning order and are contacted at one time.
	maxPreceding = 4
	// A host that no host has heard from for this time is removed, unless it is a seed.
	forgetTimeout = 12 * time.Second
)

// Member describes an entry host.
type Member struct {
	Address  netip.AddrPort `cbor:"1,keyasint"`
	Weight   float64        `cbor:"2,keyasint"` // CPU cores; 0 for a seed that hasn't reported it yet
	Age      time.Duration  `cbor:"3,keyasint"` // time since any host last heard from this member directly
	Stopping bool           `cbor:"4,keyasint,omitempty"`
	Region   string         `cbor:"5,keyasint,omitempty"` // empty if unknown
}

// entry is what this host knows of another host, or of itself.
type entry struct {
	member          Member
	orderKey        float64   // key of member in the planning order
	lastHeard       time.Time // when any host last heard from it; zero if never
	lastDirect      time.Time // when this host last heard from it directly; zero if never
	unansweredSince time.Time // first contact since its last reply; zero if there is none
	lastContact     time.Time // when this host last contacted it, or failed to reach it
	seed            bool      // given as a seed; kept even if it isn't heard from
	lost            bool      // not reachable or not replying
}

// Roster is the list of entry hosts that one host knows. It is not safe for concurrent use.
type Roster struct {
	self    Member
	started time.Time
	entries map[netip.AddrPort]*entry // the other hosts
	order   []*entry                  // result of planningOrder; nil if it must be computed anew
}

// New returns the roster of the host self, which started at now, with the given seeds.
func New(now time.Time, self Member, seeds []netip.AddrPort) *Roster {
	r := &Roster{self: self, started: now, entries: make(map[netip.AddrPort]*entry)}
	r.AddSeeds(seeds)
	return r
}

// AddSeeds adds addresses of hosts from which this host can learn of other hosts. It ignores its own address.
func (r *Roster) AddSeeds(seeds []netip.AddrPort) {
	for _, address := range seeds {
		if address != r.self.Address {
			r.entry(address).seed = true
		}
	}
}

// Unknown returns those of the addresses that are neither this host's nor that of one of which it has heard, or a seed.
func (r *Roster) Unknown(addresses []netip.AddrPort) []netip.AddrPort {
	var unknown []netip.AddrPort
	for _, a := range addresses {
		if a != r.self.Address && r.entries[a] == nil {
			unknown = append(unknown, a)
		}
	}
	return unknown
}

// SetStopping records that this host stops soon, so that no host chooses it as planner.
func (r *Roster) SetStopping() {
	r.self.Stopping = true
	r.order = nil
}

// IsStopping reports whether the host at address, which may be this one, has said that it stops soon.
func (r *Roster) IsStopping(address netip.AddrPort) bool {
	if address == r.self.Address {
		return r.self.Stopping
	}
	e := r.entries[address]
	return e != nil && e.member.Stopping
}

// Region returns the region of the host at address, which may be this one; empty if it isn't known.
func (r *Roster) Region(address netip.AddrPort) string {
	if address == r.self.Address {
		return r.self.Region
	}
	if e := r.entries[address]; e != nil {
		return e.member.Region
	}
	return ""
}

// Self returns this host's description of itself.
func (r *Roster) Self() Member { return r.self }

// Merge merges the members that another host reported. A report replaces what is known of a member only if the member
// was heard from more recently; members not heard from for forgetTimeout are ignored.
func (r *Roster) Merge(now time.Time, members []Member) {
	for _, m := range members {
		if m.Address == r.self.Address || m.Age > forgetTimeout {
			continue
		}
		e := r.entry(m.Address)
		if heard := now.Add(-m.Age); heard.After(e.lastHeard) {
			r.update(e, m, heard)
		}
	}
}

// entry returns the entry of the host at address, which it creates if there is none.
func (r *Roster) entry(address netip.AddrPort) *entry {
	e := r.entries[address]
	if e == nil {
		e = &entry{member: Member{Address: address}}
		r.entries[address] = e
	}
	return e
}

// update records in e that the host was last heard from at heard and described itself as m.
func (r *Roster) update(e *entry, m Member, heard time.Time) {
	if e.lastHeard.IsZero() || e.member.Weight != m.Weight || e.member.Stopping != m.Stopping {
		r.order = nil
	}
	e.lastHeard = heard
	e.member = m
}

// RecordHeartbeat records that this host heard from a host directly, and reports whether that host was lost before.
func (r *Roster) RecordHeartbeat(now time.Time, m Member) bool {
	if m.Address == r.self.Address {
		return false
	}
	e := r.entry(m.Address)
	wasLost := e.lost
	r.update(e, m, now)
	e.lastDirect = now
	e.unansweredSince = time.Time{}
	e.lost = false
	return wasLost
}

// RecordContact records that this host contacted a host.
func (r *Roster) RecordContact(now time.Time, address netip.AddrPort) {
	e := r.entries[address]
	if e == nil {
		return
	}
	e.lastContact = now
	if e.unansweredSince.IsZero() {
		e.unansweredSince = now
	}
}

// MarkLost marks a host lost because it can't be reached. It returns false if the host is unknown or lost already.
func (r *Roster) MarkLost(now time.Time, address netip.AddrPort) bool {
	e := r.entries[address]
	if e == nil || e.lost {
		return false
	}
	e.lost = true
	e.lastContact = now
	return true
}

// RecordPause records that this host itself did nothing for d, for example because it was frozen. In this time it could
// not hear from others, so it isn't counted as their silence.
func (r *Roster) RecordPause(d time.Duration) {
	for _, e := range r.entries {
		if !e.lastDirect.IsZero() {
			e.lastDirect = e.lastDirect.Add(d)
		}
		if !e.unansweredSince.IsZero() {
			e.unansweredSince = e.unansweredSince.Add(d)
		}
	}
}

// ExpireSilent marks the hosts lost that did not reply in time and returns those newly marked. It also removes the
// hosts, seeds excepted, that no host has heard from for forgetTimeout.
func (r *Roster) ExpireSilent(now time.Time) []Member {
	var lost []Member
	for address, e := range r.entries {
		if !e.lost && !e.unansweredSince.IsZero() && now.Sub(e.unansweredSince) > replyTimeout {
			e.lost = true
			lost = append(lost, e.member)
		}
		if !e.seed && now.Sub(e.lastHeard) > forgetTimeout {
			delete(r.entries, address)
			r.order = nil
		}
	}
	return lost
}

// Members returns this host and the hosts that were heard from within forgetTimeout.
func (r *Roster) Members(now time.Time) []Member {
	members := []Member{r.self}
	for _, e := range r.entries {
		if m, ok := e.current(now); ok {
			members = append(members, m)
		}
	}
	return members
}

// Foremost returns the first hosts in the planning order, at most limit, that aren't lost and were heard from within
// forgetTimeout, to be sent to other hosts.
func (r *Roster) Foremost(now time.Time, limit int) []Member {
	var foremost []Member
	for _, e := range r.planningOrder() {
		if len(foremost) == limit {
			break
		}
		if e.member.Address == r.self.Address {
			foremost = append(foremost, r.self)
			continue
		}
		if current, ok := e.current(now); ok && !e.lost {
			foremost = append(foremost, current)
		}
	}
	return foremost
}

// current returns the entry's member with its age, or false if it was not heard from within forgetTimeout.
func (e *entry) current(now time.Time) (Member, bool) {
	age := now.Sub(e.lastHeard)
	if e.lastHeard.IsZero() || age > forgetTimeout {
		return Member{}, false
	}
	m := e.member
	m.Age = age
	return m, true
}

// Size returns the number of hosts that this one knows, itself included. Seeds that were never heard from do not count.
func (r *Roster) Size() int {
	n := 1
	for _, e := range r.entries {
		if !e.lastHeard.IsZero() {
			n++
		}
	}
	return n
}

// Known returns the number of hosts of which this one has heard, itself and its seeds included, whether or not they still run.
func (r *Roster) Known() int { return 1 + len(r.entries) }

// Planner returns the host that plans for this one: the first in the planning order, which all hosts compute alike, of
// this host and those that it has recently heard from directly.
func (r *Roster) Planner(now time.Time) Member {
	for _, e := range r.planningOrder() {
		if e.member.Address == r.self.Address || e.alive(now) {
			return e.member
		}
	}
	return r.self
}

// alive reports whether this host heard from the entry's host directly within directTimeout and has not lost it since.
func (e *entry) alive(now time.Time) bool { return !e.lost && now.Sub(e.lastDirect) < directTimeout }

// Rank returns the number of hosts that precede this one in the planning order and aren't lost.
func (r *Roster) Rank() int {
	n := 0
	for _, e := range r.planningOrder() {
		if e.member.Address == r.self.Address {
			return n
		}
		if !e.lost {
			n++
		}
	}
	return n
}

// planningOrder returns, in the planning order, the hosts that may be planner: this host and all that were ever heard
// from, without those that stop soon. The result is kept until one of them changes, since each heartbeat needs it.
func (r *Roster) planningOrder() []*entry {
	if r.order != nil {
		return r.order
	}
	order := make([]*entry, 0, len(r.entries)+1)
	if !r.self.Stopping {
		order = append(order, &entry{member: r.self})
	}
	for _, e := range r.entries {
		if !e.lastHeard.IsZero() && !e.member.Stopping {
			order = append(order, e)
		}
	}
	for _, e := range order {
		e.orderKey = orderKey(e.member)
	}
	slices.SortFunc(order, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.orderKey, b.orderKey), a.member.Address.Compare(b.member.Address))
	})
	r.order = order
	return order
}

// orderKey returns the key by which the planning order is sorted: the member with the smallest key precedes all others.
// It depends only on address and weight, so that all hosts compute the same. Hosts with more CPU cores get small keys
// more often.
func orderKey(m Member) float64 {
	var key [18]byte
	ip := m.Address.Addr().As16()
	copy(key[:], ip[:])
	binary.BigEndian.PutUint16(key[16:], m.Address.Port())
	uniform := (float64(xxhash.Sum64(key[:])>>11) + 1) / (1 << 53)
	weight := max(m.Weight, 0.01)
	return -math.Log(uniform) / math.Pow(weight, weightExponent)
}

// weightExponent is the exponent applied to the weight. It makes hosts with few CPU cores unlikely planners.
const weightExponent = 6

// Contacts returns the hosts to contact now: the planner; up to maxPreceding hosts that precede it in the planning
// order; the standbys, which are the next hosts after the planner that aren't lost; and the seeds. Standbys, seeds and
// the lost ones of the preceding hosts are included only if their interval since the last contact is over.
func (r *Roster) Contacts(now time.Time) []netip.AddrPort {
	var contacts []netip.AddrPort
	planner := r.Planner(now)
	preceding, standbys := 0, 0
	afterPlanner := false
	for _, e := range r.planningOrder() {
		address := e.member.Address
		switch {
		case address == r.self.Address:
			afterPlanner = afterPlanner || planner.Address == r.self.Address
		case address == planner.Address:
			contacts = append(contacts, address)
			afterPlanner = true
		case !afterPlanner && preceding < maxPreceding && (!e.lost || now.Sub(e.lastContact) >= lostHostInterval):
			contacts = append(contacts, address)
			preceding++
		case afterPlanner && standbys < maxStandbys && !e.lost:
			standbys++
			if now.Sub(e.lastContact) >= standbyInterval {
				contacts = append(contacts, address)
			}
		}
	}
	return r.appendDueSeeds(now, contacts)
}

// appendDueSeeds appends the seeds to contact now that are not in contacts already.
func (r *Roster) appendDueSeeds(now time.Time, contacts []netip.AddrPort) []netip.AddrPort {
	interval := seedInterval
	if now.Sub(r.started) < startupTime {
		interval = startupSeedInterval
	}
	for address, e := range r.entries {
		if e.seed && now.Sub(e.lastContact) >= interval && !slices.Contains(contacts, address) {
			contacts = append(contacts, address)
		}
	}
	return contacts
}

// Isolated reports whether this host has run for at least d and no other host was heard from within d.
func (r *Roster) Isolated(now time.Time, d time.Duration) bool {
	if now.Sub(r.started) < d {
		return false
	}
	for _, e := range r.entries {
		if now.Sub(e.lastHeard) < d {
			return false
		}
	}
	return true
}
