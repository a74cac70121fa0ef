package replica

import (
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

// Clock advances an emulated fleet in real time and distributes its events to the model replicas of the process, which
// all share one Clock. Fleet must be set before use.
type Clock struct {
	Fleet *passes.Fleet

	mu        sync.Mutex                   // guards Fleet and streams
	streams   map[string]chan passes.Event // by the ID of the request in the fleet
	wake      chan struct{}                // signals run that the fleet has a new request
	startOnce sync.Once                    // starts run with the first request
}

const (
	streamBuffer = 1024                  // events of one stream that are buffered until its replica reads them
	maxSleep     = 50 * time.Millisecond // longest time between two calls of Fleet.Advance
)

// submit passes a request to the fleet and returns the channel on which its events arrive. The channel is never closed;
// the caller stops reading after the last event and calls cancel in any case.
func (c *Clock) submit(r passes.Request) <-chan passes.Event {
	c.startOnce.Do(func() {
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

// cancel removes the stream of a request and cancels the request in the fleet.
func (c *Clock) cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
	c.Fleet.Cancel(id)
}

// run advances the fleet and delivers its events; it never returns. Between two steps it sleeps until the end of the
// fleet's next pass, but for no longer than maxSleep, and wakes up early when submit signals a new request.
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
		sleep := maxSleep
		if ok {
			sleep = min(max(time.Until(next), 0), sleep)
		}
		select {
		case <-time.After(sleep):
		case <-c.wake:
		}
	}
}
