package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// A resend of a request comes at most this long after the first sending, for a refusal to be certain.
const resendWindow = time.Hour

// Remembers when a host was lost with what it knew of requests sent to services.
type losses struct {
	mu    sync.Mutex
	known []protocol.Member
	last  time.Time
}

// Compares the members with those before and returns the hosts that were lost; one that left in order has told its
// outcomes to the store.
func (l *losses) observe(now time.Time, members []protocol.Member) []protocol.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var gone []protocol.Host
	for _, before := range l.known {
		if before.State == protocol.StateAlive || before.State == protocol.StateSuspect {
			if lost(before, members) {
				l.last = now
				gone = append(gone, before.Host)
			}
		}
	}
	l.known = members
	return gone
}

func lost(before protocol.Member, members []protocol.Member) bool {
	for _, m := range members {
		if m.Host.Name == before.Host.Name {
			return m.State == protocol.StateDead || m.Host.Incarnation > before.Host.Incarnation
		}
	}
	return true
}

func (l *losses) recent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.last.IsZero() && now.Sub(l.last) < resendWindow
}

// Sent asks all live hosts whether one has sent the request of a claim's key to a service, or returns an error when a
// host that may have done so can't tell.
func (h *Host) Sent(ctx context.Context, key string) (bool, error) {
	if h.losses.recent(time.Now()) {
		return false, errors.New("a host was lost within the resend window")
	}
	var sent, unsure atomic.Bool
	var asking sync.WaitGroup
	for _, x := range others(h.members.Alive(), h.self.Name) {
		asking.Go(func() {
			answer, err := h.transport.Call(ctx, x.Address, &protocol.Message{OrderStatus: &protocol.OrderStatus{Key: key}})
			switch {
			case err != nil || answer.OrderState == nil || answer.OrderState.Lost:
				unsure.Store(true)
			case answer.OrderState.Sent:
				sent.Store(true)
			}
		})
	}
	asking.Wait()
	if sent.Load() {
		return true, nil
	}
	if unsure.Load() {
		return false, errors.New("a host that may have sent the request can't tell")
	}
	return false, nil
}

func (h *Host) orderState(s *protocol.OrderStatus) *protocol.OrderState {
	return &protocol.OrderState{
		Running: h.orders.Running(s.Attempt),
		Sent:    s.Key != "" && h.orders.Sent(s.Key),
		Lost:    h.losses.recent(time.Now()),
	}
}
