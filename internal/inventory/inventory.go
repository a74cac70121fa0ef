package inventory

import (
	"context"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/wait"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Times of the calls that watch the list.
const (
	watchWait  = 30 * time.Second // how long the platform may wait for a change before it responds
	retryDelay = time.Second      // before the next call after a failed one
)

// Platform returns the host list. It waits for up to wait until the index of the list is above the given one.
type Platform interface {
	Hosts(ctx context.Context, index uint64, wait time.Duration) (platformapi.Hosts, error)
}

// List holds the newest copy of the host list that this host has received. It is safe for concurrent use.
type List struct {
	Platform Platform
	OnChange func([]platformapi.Host) // called with the new hosts after each change; may be nil

	mu      sync.Mutex
	current platformapi.Hosts
}

// Index returns the index of the copy, or 0 if there is none yet.
func (l *List) Index() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Index
}

// Hosts returns the hosts in the copy, which must not be changed.
func (l *List) Hosts() []platformapi.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Hosts
}

// UpdateIfNewer replaces the copy with hosts if that is newer, and then calls l.OnChange.
func (l *List) UpdateIfNewer(hosts platformapi.Hosts) {
	l.mu.Lock()
	newer := hosts.Index > l.current.Index
	if newer {
		l.current = hosts
	}
	l.mu.Unlock()
	if newer && l.OnChange != nil {
		l.OnChange(hosts.Hosts)
	}
}

// NewerThan returns the copy for a peer whose own copy has the index haveIndex, or an empty list if this copy is not
// newer.
func (l *List) NewerThan(haveIndex uint64) *protocol.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.Index <= haveIndex {
		return &protocol.HostList{}
	}
	return &protocol.HostList{Index: l.current.Index, Hosts: l.current.Hosts}
}

// Watch waits for changes of the platform's list and stores them until ctx ends. It always returns nil.
func (l *List) Watch(ctx context.Context) error {
	for ctx.Err() == nil {
		hosts, err := l.Platform.Hosts(ctx, l.Index(), watchWait)
		if err != nil {
			wait.For(ctx, retryDelay)
			continue
		}
		l.UpdateIfNewer(hosts)
	}
	return nil
}
