package dispatch

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// fifoMutex is a mutex that goes to its waiters in the order of their arrival.
type fifoMutex struct {
	mu      sync.Mutex
	locked  bool
	waiters []chan struct{} // a channel for each waiter, closed to hand over the lock; the longest waiting first
}

// lock acquires m, or returns the error of ctx if ctx is done before. After nil the caller must call unlock.
func (m *fifoMutex) lock(ctx context.Context) error {
	m.mu.Lock()
	if !m.locked {
		m.locked = true
		m.mu.Unlock()
		return nil
	}
	ready := make(chan struct{})
	m.waiters = append(m.waiters, ready)
	m.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		m.stopWaiting(ready)
		return errors.WithStack(ctx.Err())
	}
}

// unlock hands m to the next waiter, or leaves it unlocked if there is none.
func (m *fifoMutex) unlock() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiters) == 0 {
		m.locked = false
		return
	}
	close(m.waiters[0])
	m.waiters = m.waiters[1:]
}

// stopWaiting removes a waiter whose context is done.
func (m *fifoMutex) stopWaiting(ready chan struct{}) {
	m.mu.Lock()
	for i, other := range m.waiters {
		if other == ready {
			m.waiters = append(m.waiters[:i], m.waiters[i+1:]...)
			m.mu.Unlock()
			return
		}
	}
	m.mu.Unlock()
	// The lock was handed to this waiter at the same moment: hand it on.
	m.unlock()
}
