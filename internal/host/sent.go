package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// resendWindow is how long the loss of a host is remembered. A refusal of a resent request is only certain if the
// resend comes within this time of the first sending.
const resendWindow = time.Hour

// hostLosses records when a host was last lost. Its knowledge of the requests that it sent to services is lost with it.
type hostLosses struct {
	mu       sync.Mutex
	members  []protocol.Member // of the previous call of observe
	lastLoss time.Time         // zero if no host was lost
}

// observe compares the members with those of the previous call and returns the hosts that were lost. A host that
// stopped gracefully does not count as lost, since it has written the outcomes of its requests to the store.
func (l *hostLosses) observe(now time.Time, members []protocol.Member) []protocol.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lostHosts []protocol.Host
	for _, before := range l.members {
		if before.State == protocol.StateAlive || before.State == protocol.StateSuspect {
			if wasLost(before, members) {
				l.lastLoss = now
				lostHosts = append(lostHosts, before.Host)
			}
		}
	}
	l.members = members
	return lostHosts
}

// wasLost reports whether a former member is now dead, was restarted or is no longer among the members.
func wasLost(before protocol.Member, members []protocol.Member) bool {
	for _, m := range members {
		if m.Host.Name == before.Host.Name {
			return m.State == protocol.StateDead || m.Host.Incarnation > before.Host.Incarnation
		}
	}
	return true
}

// recent reports whether a host was lost within the resend window before now.
func (l *hostLosses) recent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lastLoss.IsZero() && now.Sub(l.lastLoss) < resendWindow
}

// SentElsewhere reports whether another live host has sent the request with the given claim key to a service. It
// returns an error at once if a host was lost within the resend window. It also returns an error if no host reports
// that it has sent the request, but a host did not respond or has itself seen such a loss.
func (h *Host) SentElsewhere(ctx context.Context, key string) (bool, error) {
	if h.losses.recent(time.Now()) {
		return false, errors.New("a host was lost within the resend window")
	}
	var sent, unknown atomic.Bool
	var queries sync.WaitGroup
	for _, x := range excludeHost(h.members.Alive(), h.self.Name) {
		queries.Go(func() {
			response, err := h.transport.Call(ctx, x.Address, &protocol.Message{OrderStatus: &protocol.ClaimQuery{Key: key}})
			switch {
			case err != nil || response.OrderState == nil || response.OrderState.HostLost:
				unknown.Store(true)
			case response.OrderState.Sent:
				sent.Store(true)
			}
		})
	}
	queries.Wait()
	if sent.Load() {
		return true, nil
	}
	if unknown.Load() {
		return false, errors.New("a host that may have sent the request did not respond or has seen the loss of a host")
	}
	return false, nil
}

// orderState responds to a peer's query in AttemptRunning or SentElsewhere.
func (h *Host) orderState(s *protocol.ClaimQuery) *protocol.ClaimStatus {
	return &protocol.ClaimStatus{
		Running:  h.orders.Running(s.Attempt),
		Sent:     s.Key != "" && h.orders.Sent(s.Key),
		HostLost: h.losses.recent(time.Now()),
	}
}
