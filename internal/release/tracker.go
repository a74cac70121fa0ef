package release

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Defaults of the fields of a Tracker.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultBackoff    = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
)

// Action is a call to the backend server Server that frees Allocation; with NewConnection it must use a new connection.
type Action struct {
	Server        string
	Allocation    string
	NewConnection bool
}

type (
	// key identifies an allocation.
	key struct{ server, allocation string }

	// pending is the state of a release that is not confirmed.
	pending struct {
		due     time.Time // when the call is sent again
		tries   int       // calls sent so far
		waiting bool      // the last call has neither been confirmed nor failed
	}
)

// Tracker schedules the calls that free allocations, and repeats each until it is confirmed. It is safe for concurrent
// use.
type Tracker struct {
	Timeout    time.Duration // after which a call without a response is repeated; 0 means DefaultTimeout
	Backoff    time.Duration // before the first repetition; doubled for each later one; 0 means DefaultBackoff
	MaxBackoff time.Duration // limit of the doubled Backoff; 0 means DefaultMaxBackoff

	mu       sync.Mutex
	releases map[key]*pending

	neverRepeat bool // sends each release only once; for tests that show why releases are repeated
}

// Release starts the release of an allocation. It returns nil if that release is pending already.
func (t *Tracker) Release(now time.Time, server, allocation string) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{server, allocation}
	if t.releases[k] != nil {
		return nil
	}
	if t.releases == nil {
		t.releases = make(map[key]*pending)
	}
	if t.neverRepeat {
		return []Action{{Server: server, Allocation: allocation}}
	}
	p := new(pending)
	t.releases[k] = p
	return []Action{t.send(now, k, p)}
}

// Confirmed ends a release that the backend server has confirmed, or whose allocation it does not know.
func (t *Tracker) Confirmed(_ time.Time, server, allocation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.releases, key{server, allocation})
}

// Failed schedules the next call of a release after one that failed.
func (t *Tracker) Failed(now time.Time, server, allocation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.releases[key{server, allocation}]
	if p == nil {
		return
	}
	p.waiting = false
	p.due = now.Add(t.backoff(p.tries))
}

// ProcessEnded ends all releases on a backend server whose process has ended, which frees its memory.
func (t *Tracker) ProcessEnded(_ time.Time, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.releases {
		if k.server == server {
			delete(t.releases, k)
		}
	}
}

// Tick returns the calls that are due, in the order of their servers and allocations.
func (t *Tracker) Tick(now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Action
	for k, p := range t.releases {
		if !p.due.After(now) {
			due = append(due, t.send(now, k, p))
		}
	}
	slices.SortFunc(due, func(a, b Action) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Allocation, b.Allocation))
	})
	return due
}

// Next returns when Tick must be called next, or the zero time if no release is pending.
func (t *Tracker) Next() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next time.Time
	for _, p := range t.releases {
		if next.IsZero() || p.due.Before(next) {
			next = p.due
		}
	}
	return next
}

// Pending returns the number of releases that are not confirmed.
func (t *Tracker) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.releases)
}

// send returns the next call of a release. A repetition uses a new connection, since the old one may no longer respond.
func (t *Tracker) send(now time.Time, k key, p *pending) Action {
	p.tries++
	p.waiting = true
	p.due = now.Add(max(cmp.Or(t.Timeout, DefaultTimeout), t.backoff(p.tries)))
	return Action{Server: k.server, Allocation: k.allocation, NewConnection: p.tries > 1}
}

// backoff returns the pause after the given number of tries: Backoff, doubled with each try up to MaxBackoff.
func (t *Tracker) backoff(tries int) time.Duration {
	limit := cmp.Or(t.MaxBackoff, DefaultMaxBackoff)
	d := cmp.Or(t.Backoff, DefaultBackoff)
	for i := 1; i < tries && d < limit; i++ {
		d *= 2
	}
	return min(d, limit)
}
