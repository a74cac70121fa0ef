package ratelimit

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/revision"
)

const (
	// MaxCold is the longest time for which a server may be said to be cold.
	MaxCold = time.Hour
	// A statement changes the known end only if its own end differs by more than the time that it may have been on its way.
	// A later end counts sooner than an earlier one, since a cold server crashes at too many requests.
	coldRaiseTolerance = 50 * time.Millisecond
	coldLowerTolerance = 500 * time.Millisecond
	// An entry may have been written so long before it was read. It lifts nothing that a response has said since.
	entryLag = time.Second
	// Hosts learn of the same event within this time, and only the first of them counts.
	expectInterval = 2 * time.Second
)

// ColdService says how servers of a service behave after their start. Both fields are above 0.
type ColdService struct {
	Start     time.Duration // how long a server is cold after its start
	PerSecond float64       // requests a second that a cold server takes from all hosts together
}

// ColdTable holds until when servers are cold, and how many requests each cold one may get from this host. Its limits end by
// themselves. A server of which nothing is known but that it is there is assumed to have just started. The zero value knows no
// service with cold servers.
type ColdTable struct {
	Seed uint64 // differs between hosts, so that their requests to the same server are spread over time

	over, slack float64                // see SetBounds
	services    map[string]ColdService // by name
	seen        map[string]sighting    // by replica ID
	rows        map[string]*coldRow    // by replica ID
	share       float64                // see SetShare
	shareUntil  time.Time              // see SetShare
	hosts       int                    // see SetShare
}

// sighting is since when an incarnation of a server has been in the list of replicas.
type sighting struct {
	born         int64
	since, until time.Time
}

// coldRow is what is known of one incarnation of a server that is or was cold.
type coldRow struct {
	born       int64
	number     uint64            // identifies the statement; 0 for an assumption
	assumed    bool              // nobody has said anything about the server: it was seen for the first time
	byResponse bool              // the statement was in a response
	entry      revision.Revision // of the newest entry that this host has read; zero if it has read none
	end        time.Time         // when the server is no longer cold
	learnt     time.Time         // when the statement was true
	pace       pace
}

// SetBounds sets the bound on the requests that a cold server may get from all hosts together in any second: its rate times
// over, plus slack.
func (t *ColdTable) SetBounds(over, slack float64) { t.over, t.slack = max(over, 1), max(slack, 0) }

// SetServices sets the services whose servers are cold after their start.
func (t *ColdTable) SetServices(services map[string]ColdService) { t.services = services }

// Retain notes which replicas are listed. It assumes that those are cold which are seen for the first time, and returns their
// number. It forgets those that haven't been listed for unlistedRetention.
func (t *ColdTable) Retain(now time.Time, listed []replica.Replica) int {
	if t.seen == nil {
		t.seen = make(map[string]sighting)
	}
	for _, l := range listed {
		s := t.seen[l.ID]
		if s.born != l.Born || s.since.IsZero() {
			s = sighting{born: l.Born, since: now}
		}
		s.until = now.Add(unlistedRetention)
		t.seen[l.ID] = s
	}
	for id, s := range t.seen {
		if s.until.Before(now) {
			delete(t.seen, id)
			delete(t.rows, id)
		}
	}
	for id, r := range t.rows {
		if _, seen := t.seen[id]; !seen && !r.end.After(now) {
			delete(t.rows, id) // another host had it listed, and this one never will
		}
	}
	assumed := 0
	for _, l := range listed {
		service, ok := t.services[l.Service]
		if r := t.rows[l.ID]; !ok || r != nil && r.born >= l.Born {
			continue
		}
		end := t.seen[l.ID].since.Add(service.Start)
		t.put(l.ID, &coldRow{born: l.Born, assumed: true, end: end, learnt: now})
		if end.After(now) {
			assumed++
		}
	}
	return assumed
}

// put stores a row in place of the one that there is, whose pace goes on.
func (t *ColdTable) put(id string, r *coldRow) {
	if t.rows == nil {
		t.rows = make(map[string]*coldRow)
	}
	if old := t.rows[id]; old != nil {
		r.pace = old.pace
		if old.born == r.born && r.entry.IsZero() {
			r.entry = old.entry
		}
	}
	t.rows[id] = r
}

// Expect takes the given replicas for cold, as if they had just started, and returns those of which that is new.
func (t *ColdTable) Expect(now time.Time, replicas []replica.Replica) []replica.Replica {
	var expected []replica.Replica
	for _, l := range replicas {
		service, ok := t.services[l.Service]
		end := now.Add(service.Start)
		r := t.rows[l.ID]
		if !ok || r != nil && (r.born > l.Born || r.born == l.Born && !end.After(r.end.Add(expectInterval)) && r.end.After(now)) {
			continue
		}
		t.put(l.ID, &coldRow{born: l.Born, number: t.number(l.ID, now), end: end, learnt: now})
		expected = append(expected, l)
	}
	return expected
}

// number returns a number for a statement that this host has learnt at now. It isn't 0.
func (t *ColdTable) number(id string, now time.Time) uint64 {
	b := binary.BigEndian.AppendUint64([]byte(id), t.Seed)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(now.UnixNano()))) | 1
}

// Responded records what a response has said of how long its server stays cold. The request was sent at sentAt. It reports
// whether this changes anything. Responses overtake each other, so an earlier end counts only if the request was sent after
// the later one was known.
func (t *ColdTable) Responded(now time.Time, server replica.Replica, sentAt time.Time, remaining time.Duration) bool {
	r := t.rows[server.ID]
	if _, ok := t.services[server.Service]; !ok || r != nil && r.born > server.Born {
		return false
	}
	end := now.Add(min(max(remaining, 0), MaxCold))
	if r != nil && r.born == server.Born {
		raises := end.After(r.end.Add(coldRaiseTolerance)) && end.After(now)
		lowers := sentAt.After(r.learnt) && r.endsMuchLater(now, end)
		if !raises && !lowers {
			return false
		}
	}
	t.put(server.ID, &coldRow{born: server.Born, number: t.number(server.ID, now), byResponse: true, end: end, learnt: now})
	return true
}

// endsMuchLater reports whether the server is taken for cold at now, and longer than end by more than a statement may differ.
func (r *coldRow) endsMuchLater(now, end time.Time) bool {
	return r.end.After(now) && r.end.After(end.Add(coldLowerTolerance)) || r.assumed && r.end.After(end)
}

// Read records what the entry of a replica says of how long it stays cold, if it says anything. The entry was last written at the
// given revision of the store, and its read began at readAt. It reports whether this changes anything. An entry that stays as it
// is says nothing new: the time in it counts from when it was first read. One that is read for the first time, or that may be
// of an older copy of the store, lifts only what was assumed.
func (t *ColdTable) Read(now, readAt time.Time, server replica.Replica, written revision.Revision) bool {
	r := t.rows[server.ID]
	if _, ok := t.services[server.Service]; !ok || !server.Cold.Stated || r != nil && r.born > server.Born {
		return false
	}
	end := now.Add(min(max(server.Cold.Remaining, 0), MaxCold))
	if r != nil && r.born == server.Born && !r.takesEntry(now, readAt, end, written) {
		return false
	}
	t.put(server.ID, &coldRow{
		born: server.Born, number: entryNumber(server, written), entry: written, end: end, learnt: readAt,
	})
	return true
}

// takesEntry reports whether an entry with the given end changes what is known, and notes that it was read.
func (r *coldRow) takesEntry(now, readAt, end time.Time, written revision.Revision) bool {
	last := r.entry
	if !last.IsZero() && written.Compare(last) <= 0 {
		return false
	}
	r.entry = written
	switch {
	case r.assumed:
		return true
	case end.After(now) && end.After(r.end.Add(coldRaiseTolerance)):
		return true
	case last.IsZero() || last.Era != written.Era:
		return false
	}
	trueAt := r.learnt
	if r.byResponse {
		trueAt = trueAt.Add(entryLag)
	}
	return readAt.After(trueAt) && r.endsMuchLater(now, end)
}

// entryNumber returns the number of the statement in an entry, which is the same at all hosts. It isn't 0.
func entryNumber(server replica.Replica, written revision.Revision) uint64 {
	b := []byte(server.ID)
	for _, n := range []int64{server.Born, written.Era, written.Number} {
		b = binary.BigEndian.AppendUint64(b, uint64(n))
	}
	return xxhash.Sum64(b) | 1
}

// Remaining returns for how long this incarnation of a server stays cold, 0 if it isn't.
func (t *ColdTable) Remaining(now time.Time, server replica.Replica) time.Duration {
	if r := t.coldRow(now, server); r != nil {
		return r.end.Sub(now)
	}
	return 0
}

// coldRow returns the row of this incarnation of a server if it is cold, or nil.
func (t *ColdTable) coldRow(now time.Time, server replica.Replica) *coldRow {
	if len(t.rows) == 0 {
		return nil
	}
	r := t.rows[server.ID]
	if r == nil || r.born != server.Born || !r.end.After(now) || t.services[server.Service].PerSecond <= 0 {
		return nil
	}
	return r
}

// Count returns the number of the listed replicas that are cold.
func (t *ColdTable) Count(now time.Time, listed []replica.Replica) int {
	n := 0
	for _, l := range listed {
		if t.coldRow(now, l) != nil {
			n++
		}
	}
	return n
}
