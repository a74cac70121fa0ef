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
	// A host is taken as lost after it has answered nothing for this time.
	answerTimeout = 900 * time.Millisecond
	// A lost host is asked again after this time.
	retryTime = time.Second
	// Seeds are asked often at first, since they gather the others, and rarely later.
	seedInterval      = 300 * time.Millisecond
	seedIntervalLater = 5 * time.Second
	settleTime        = 4 * time.Second
	// A host that this one hasn't heard itself for this time plans nothing for it.
	verifiedTime = 1500 * time.Millisecond
	// Hosts that are ready to take over from the planner, and how often they are asked.
	maxStandbys     = 2
	standbyInterval = 500 * time.Millisecond
	// Hosts preferred to the planner that are tried at once.
	maxTries = 4
	// A host of which nobody has heard for this time is forgotten.
	forgetTime = 12 * time.Second
)

// Member is an entry host.
type Member struct {
	Address netip.AddrPort `cbor:"1,keyasint"`
	Weight  float64        `cbor:"2,keyasint"` // processor share; 0 for a seed that hasn't told it
	Age     time.Duration  `cbor:"3,keyasint"` // since it was heard by itself
	Leaving bool           `cbor:"4,keyasint,omitempty"`
}

type entry struct {
	member  Member
	heard   time.Time // by anyone
	direct  time.Time // by this host
	asked   time.Time // first unanswered contact; zero if there is none
	contact time.Time // last contact
	seed    bool
	lost    bool
}

// Roster is one host's list of hosts. Its methods must be called one at a time.
type Roster struct {
	self    Member
	started time.Time
	entries map[netip.AddrPort]*entry
}

// New makes the roster of self, which started at now.
func New(now time.Time, self Member, seeds []netip.AddrPort) *Roster {
	r := &Roster{self: self, started: now, entries: make(map[netip.AddrPort]*entry)}
	r.AddSeeds(seeds)
	return r
}

// AddSeeds adds hosts that may know others.
func (r *Roster) AddSeeds(seeds []netip.AddrPort) {
	for _, address := range seeds {
		if address == r.self.Address {
			continue
		}
		if e := r.entries[address]; e != nil {
			e.seed = true
			continue
		}
		r.entries[address] = &entry{member: Member{Address: address}, seed: true}
	}
}

// SetLeaving notes that this host stops soon, so that it plans for no one.
func (r *Roster) SetLeaving() { r.self.Leaving = true }

// Self returns this host as it describes itself.
func (r *Roster) Self() Member { return r.self }

// Learn takes what another host says of the members.
func (r *Roster) Learn(now time.Time, members []Member) {
	for _, m := range members {
		if m.Address == r.self.Address || m.Age > forgetTime {
			continue
		}
		e := r.entries[m.Address]
		if e == nil {
			e = &entry{member: m}
			r.entries[m.Address] = e
		}
		if heard := now.Add(-m.Age); heard.After(e.heard) {
			e.heard = heard
			e.member = m
		}
	}
}

// Heard notes that a host answered, and tells whether it was lost before.
func (r *Roster) Heard(now time.Time, m Member) bool {
	if m.Address == r.self.Address {
		return false
	}
	e := r.entries[m.Address]
	if e == nil {
		e = &entry{}
		r.entries[m.Address] = e
	}
	was := e.lost
	e.member = m
	e.heard = now
	e.direct = now
	e.asked = time.Time{}
	e.lost = false
	return was
}

// Asked notes that a host was contacted.
func (r *Roster) Asked(now time.Time, address netip.AddrPort) {
	e := r.entries[address]
	if e == nil {
		return
	}
	e.contact = now
	if e.asked.IsZero() {
		e.asked = now
	}
}

// Failed notes that a host can't be reached, and tells whether that is news.
func (r *Roster) Failed(now time.Time, address netip.AddrPort) bool {
	e := r.entries[address]
	if e == nil || e.lost {
		return false
	}
	e.lost = true
	e.contact = now
	return true
}

// Lost returns the hosts that have just become overdue and marks them lost.
func (r *Roster) Lost(now time.Time) []Member {
	var lost []Member
	for address, e := range r.entries {
		if !e.lost && !e.asked.IsZero() && now.Sub(e.asked) > answerTimeout {
			e.lost = true
			lost = append(lost, e.member)
		}
		if !e.seed && now.Sub(e.heard) > forgetTime {
			delete(r.entries, address)
		}
	}
	return lost
}

// Members returns this host and the others it knows of, for passing on.
func (r *Roster) Members(now time.Time) []Member {
	members := []Member{r.self}
	for _, e := range r.entries {
		if e.heard.IsZero() || now.Sub(e.heard) > forgetTime {
			continue
		}
		m := e.member
		m.Age = now.Sub(e.heard)
		members = append(members, m)
	}
	return members
}

// Size returns how many hosts there are, as far as this one knows.
func (r *Roster) Size() int {
	n := 1
	for _, e := range r.entries {
		if !e.heard.IsZero() {
			n++
		}
	}
	return n
}

// Planner returns the host that plans for this one: of this host and those that it has heard itself of late, the first
// in an order that all hosts share.
func (r *Roster) Planner(now time.Time) Member {
	for _, m := range r.order() {
		if m.Address == r.self.Address || r.entries[m.Address].verified(now) {
			return m
		}
	}
	return r.self
}

func (e *entry) verified(now time.Time) bool { return !e.lost && now.Sub(e.direct) < verifiedTime }

// Rank returns how many hosts that aren't lost come before this one in the order of planners.
func (r *Roster) Rank() int {
	n := 0
	for _, m := range r.order() {
		if m.Address == r.self.Address {
			return n
		}
		if !r.entries[m.Address].lost {
			n++
		}
	}
	return n
}

// order returns the hosts that may plan, the preferred first.
func (r *Roster) order() []Member {
	var ranked []scored
	if !r.self.Leaving {
		ranked = append(ranked, scored{r.self, score(r.self)})
	}
	for _, e := range r.entries {
		if !e.heard.IsZero() && !e.member.Leaving {
			ranked = append(ranked, scored{e.member, score(e.member)})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if c := cmp.Compare(a.score, b.score); c != 0 {
			return c
		}
		return a.member.Address.Compare(b.member.Address)
	})
	members := make([]Member, 0, len(ranked))
	for i := range ranked {
		members = append(members, ranked[i].member)
	}
	return members
}

// scored is a member with its score, which takes too long to work out for each comparison.
type scored struct {
	member Member
	score  float64
}

// score is smallest for the host that is preferred; hosts with more processor get small scores more often.
func score(m Member) float64 {
	var key [18]byte
	ip := m.Address.Addr().As16()
	copy(key[:], ip[:])
	binary.BigEndian.PutUint16(key[16:], m.Address.Port())
	uniform := (float64(xxhash.Sum64(key[:])>>11) + 1) / (1 << 53)
	weight := max(m.Weight, 0.01)
	return -math.Log(uniform) / math.Pow(weight, weightPower)
}

// weightPower makes hosts with a small processor share unlikely planners.
const weightPower = 3

// Contacts returns the hosts to contact now: the planner, those preferred to it that are due for a try, the next ones in
// the order as standbys, and seeds.
func (r *Roster) Contacts(now time.Time) []netip.AddrPort {
	var contacts []netip.AddrPort
	planner := r.Planner(now)
	tries, standbys := 0, 0
	passed := false
	for _, m := range r.order() {
		e := r.entries[m.Address]
		switch {
		case m.Address == r.self.Address:
			passed = passed || planner.Address == r.self.Address
		case m.Address == planner.Address:
			contacts = append(contacts, m.Address)
			passed = true
		case !passed && tries < maxTries && (!e.lost || now.Sub(e.contact) >= retryTime):
			contacts = append(contacts, m.Address)
			tries++
		case passed && standbys < maxStandbys && !e.lost:
			standbys++
			if now.Sub(e.contact) >= standbyInterval {
				contacts = append(contacts, m.Address)
			}
		}
	}
	return r.addSeeds(now, contacts)
}

func (r *Roster) addSeeds(now time.Time, contacts []netip.AddrPort) []netip.AddrPort {
	interval := seedIntervalLater
	if now.Sub(r.started) < settleTime {
		interval = seedInterval
	}
	for address, e := range r.entries {
		if e.seed && now.Sub(e.contact) >= interval && !slices.Contains(contacts, address) {
			contacts = append(contacts, address)
		}
	}
	return contacts
}

// Alone tells whether no other host has been heard for d.
func (r *Roster) Alone(now time.Time, d time.Duration) bool {
	if now.Sub(r.started) < d {
		return false
	}
	for _, e := range r.entries {
		if now.Sub(e.heard) < d {
			return false
		}
	}
	return true
}
