package inventory

import (
	"context"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/wait"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Times of watching the list.
const (
	watchWait  = 30 * time.Second
	retryDelay = time.Second
)

// Platform lists hosts, waiting for a change after index.
type Platform interface {
	Hosts(ctx context.Context, index uint64, wait time.Duration) (platformapi.Hosts, error)
}

// List is the newest copy of the host list that this host knows; it is safe for concurrent use.
type List struct {
	Platform Platform
	Changed  func([]platformapi.Host) // called after each change

	mu      sync.Mutex
	current platformapi.Hosts
}

// Index returns the index of the copy, which is 0 before there is one.
func (l *List) Index() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Index
}

// Hosts returns the copy, which must not be changed.
func (l *List) Hosts() []platformapi.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Hosts
}

// Offer takes a copy that is newer than the own one.
func (l *List) Offer(hosts platformapi.Hosts) {
	l.mu.Lock()
	newer := hosts.Index > l.current.Index
	if newer {
		l.current = hosts
	}
	l.mu.Unlock()
	if newer && l.Changed != nil {
		l.Changed(hosts.Hosts)
	}
}

// Pull returns the copy for a peer that has the one as of have.
func (l *List) Pull(have uint64) *protocol.HostList {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.Index <= have {
		return &protocol.HostList{}
	}
	return &protocol.HostList{Index: l.current.Index, Hosts: l.current.Hosts}
}

// Watch follows the platform's list until ctx ends.
func (l *List) Watch(ctx context.Context) error {
	for ctx.Err() == nil {
		hosts, err := l.Platform.Hosts(ctx, l.Index(), watchWait)
		if err != nil {
			wait.For(ctx, retryDelay)
			continue
		}
		l.Offer(hosts)
	}
	return nil
}
