package release

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Defaults of a Tracker's exported fields.
const (
	DefaultTimeout    = 2 * time.Second
	DefaultBackoff    = 100 * time.Millisecond
	DefaultMaxBackoff = 5 * time.Second
)

// Action asks for one release to be sent; Fresh asks for a new connection.
type Action struct {
	Server     string
	Allocation string
	Fresh      bool
}

type (
	key struct{ server, allocation string }

	pending struct {
		due     time.Time // when the release is sent again
		tries   int
		waiting bool // a release was sent and has no answer yet
	}
)

// Tracker repeats releases until each is confirmed; it is safe for concurrent use.
type Tracker struct {
	Timeout    time.Duration // without an answer a release is repeated after it; 0 means DefaultTimeout
	Backoff    time.Duration // before the first repetition after a failure; 0 means DefaultBackoff
	MaxBackoff time.Duration // between later ones; 0 means DefaultMaxBackoff

	mu  sync.Mutex
	all map[key]*pending

	once bool // never repeats; for tests that show what repetition is for
}

// Free starts the release of an allocation; repeating it changes nothing.
func (t *Tracker) Free(now time.Time, server, allocation string) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{server, allocation}
	if t.all[k] != nil {
		return nil
	}
	if t.all == nil {
		t.all = make(map[key]*pending)
	}
	if t.once {
		return []Action{{Server: server, Allocation: allocation}}
	}
	p := new(pending)
	t.all[k] = p
	return []Action{t.send(now, k, p)}
}

// Confirmed ends a release that the backend server confirmed or whose allocation it does not know.
func (t *Tracker) Confirmed(_ time.Time, server, allocation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, key{server, allocation})
}

// Failed schedules a release again whose call failed.
func (t *Tracker) Failed(now time.Time, server, allocation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.all[key{server, allocation}]
	if p == nil {
		return
	}
	p.waiting = false
	p.due = now.Add(t.backoff(p.tries))
}

// Gone ends the releases on a backend server whose process ended and with it its memory.
func (t *Tracker) Gone(_ time.Time, server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.all {
		if k.server == server {
			delete(t.all, k)
		}
	}
}

// Tick returns the releases that are due, in the order of their servers and allocations.
func (t *Tracker) Tick(now time.Time) []Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Action
	for k, p := range t.all {
		if !p.due.After(now) {
			due = append(due, t.send(now, k, p))
		}
	}
	slices.SortFunc(due, func(a, b Action) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Allocation, b.Allocation))
	})
	return due
}

// Next returns when Tick is due, or the zero time when nothing is pending.
func (t *Tracker) Next() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next time.Time
	for _, p := range t.all {
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
	return len(t.all)
}

// send marks a release as sent; a repetition uses a new connection since the old one may be silent.
func (t *Tracker) send(now time.Time, k key, p *pending) Action {
	p.tries++
	p.waiting = true
	p.due = now.Add(max(cmp.Or(t.Timeout, DefaultTimeout), t.backoff(p.tries)))
	return Action{Server: k.server, Allocation: k.allocation, Fresh: p.tries > 1}
}

// backoff doubles with each try up to its maximum.
func (t *Tracker) backoff(tries int) time.Duration {
	limit := cmp.Or(t.MaxBackoff, DefaultMaxBackoff)
	d := cmp.Or(t.Backoff, DefaultBackoff)
	for i := 1; i < tries && d < limit; i++ {
		d *= 2
	}
	return min(d, limit)
}
