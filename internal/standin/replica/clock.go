package replica

import (
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

// Clock runs an emulated fleet in real time for all model replicas of a process.
type Clock struct {
	Fleet *passes.Fleet

	mu      sync.Mutex
	streams map[string]chan passes.Event
	wake    chan struct{}
	once    sync.Once
}

const (
	streamBuffer = 1024
	idlePause    = 50 * time.Millisecond
)

// submit starts a request and returns its events.
func (c *Clock) submit(r passes.Request) <-chan passes.Event {
	c.once.Do(func() {
		c.wake = make(chan struct{}, 1)
		c.streams = make(map[string]chan passes.Event)
		go c.run()
	})
	events := make(chan passes.Event, streamBuffer)
	c.mu.Lock()
	c.streams[r.ID] = events
	c.Fleet.Submit(time.Now(), r)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return events
}

func (c *Clock) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
	c.Fleet.Cancel(id)
}

func (c *Clock) run() {
	for {
		c.mu.Lock()
		for _, e := range c.Fleet.Advance(time.Now()) {
			if events := c.streams[e.ID]; events != nil {
				events <- e
			}
		}
		next, ok := c.Fleet.Next()
		c.mu.Unlock()
		pause := idlePause
		if ok {
			pause = min(max(time.Until(next), 0), pause)
		}
		select {
		case <-time.After(pause):
		case <-c.wake:
		}
	}
}
