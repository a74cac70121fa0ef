package dispatch

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Lets one waiter go ahead at a time, in the order of arrival.
type turns struct {
	mu      sync.Mutex
	busy    bool
	waiting []chan struct{}
}

// Returns when it is the caller's turn, or ctx's error; after nil the caller must call pass.
func (t *turns) wait(ctx context.Context) error {
	t.mu.Lock()
	if !t.busy {
		t.busy = true
		t.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	t.waiting = append(t.waiting, turn)
	t.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		t.leave(turn)
		return errors.WithStack(ctx.Err())
	}
}

// Gives the turn to the next waiter.
func (t *turns) pass() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.busy = false
		return
	}
	close(t.waiting[0])
	t.waiting = t.waiting[1:]
}

func (t *turns) leave(turn chan struct{}) {
	t.mu.Lock()
	for i, other := range t.waiting {
		if other == turn {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			t.mu.Unlock()
			return
		}
	}
	t.mu.Unlock()
	// The turn was given at the same moment.
	t.pass()
}
