package host

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/order"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/service"
)

const (
	finishTimeout    = 2 * time.Second
	finishTries      = 3
	ownerTimeout     = time.Second
	refreshPeriod    = time.Second
	suspicionTimeout = time.Second
	maxToldOfCrash   = 40 // hosts
	refreshTimeout   = 500 * time.Millisecond
)

// HandlePeer answers a message of another host.
func (h *Host) HandlePeer(ctx context.Context, m *protocol.Message) *protocol.Message {
	switch {
	case m.Ask != nil:
		g, refused := h.schedulers.Ask(ctx, *m.Ask)
		return &protocol.Message{Grant: g, Refusal: refused, Rows: h.news.answerRows()}
	case m.Finish != nil:
		h.schedulers.Finish(*m.Finish)
		return &protocol.Message{Done: &protocol.Done{}}
	case m.Refresh != nil:
		h.schedulers.Refresh(*m.Refresh)
		return &protocol.Message{Done: &protocol.Done{}}
	case m.Probe != nil:
		return &protocol.Message{Ack: h.members.Answer(ctx, m.Probe)}
	case m.PullConfig != nil:
		return &protocol.Message{Config: h.keeper.Pull(m.PullConfig.Have)}
	case m.Config != nil:
		return &protocol.Message{Config: h.takeConfig(m.Config)}
	case m.PullHosts != nil:
		return &protocol.Message{HostList: h.inventory.Pull(m.PullHosts.Have)}
	case m.OrderStatus != nil:
		return &protocol.Message{OrderState: h.orderState(m.OrderStatus)}
	}
	return nil
}

// Ask asks the host that schedules a backend server for a grant.
func (h *Host) Ask(ctx context.Context, to protocol.Host, ask protocol.Ask) (*protocol.Grant, *protocol.Refusal, error) {
	if to.Name == h.self.Name {
		g, refused := h.schedulers.Ask(ctx, ask)
		return g, refused, nil
	}
	answer, err := h.transport.Call(ctx, to.Address, &protocol.Message{Ask: &ask})
	if err != nil {
		return nil, nil, err
	}
	h.news.takeRows(answer.Rows)
	if answer.Grant == nil && answer.Refusal == nil {
		return nil, nil, errors.New("neither a grant nor a refusal")
	}
	return answer.Grant, answer.Refusal, nil
}

// Finish gives a grant back in the background; one that is lost ends with its expiry.
func (h *Host) Finish(to protocol.Host, fin protocol.Finish) {
	if to.Name == h.self.Name {
		h.schedulers.Finish(fin)
		return
	}
	go func() {
		for range finishTries {
			ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
			_, err := h.transport.Call(ctx, to.Address, &protocol.Message{Finish: &fin})
			cancel()
			if err == nil {
				return
			}
		}
	}()
}

// Repeats the grants in use to the hosts that schedule them now, which also rebuilds new schedulers.
func (h *Host) refresh(ctx context.Context) error {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		sent, received := h.transport.Traffic()
		h.metrics.Scope.Gauge("peer_bytes_sent").Update(float64(sent))
		h.metrics.Scope.Gauge("peer_bytes_received").Update(float64(received))
		view := h.fleet.View()
		for _, r := range h.dispatcher.Refreshes() {
			if entry, ok := view.Find(r.Server); ok && entry.Scheduler.Name != "" {
				go h.sendRefresh(ctx, entry.Scheduler, r)
			}
		}
	}
}

func (h *Host) sendRefresh(ctx context.Context, to protocol.Host, r protocol.Refresh) {
	if to.Name == h.self.Name {
		h.schedulers.Refresh(r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if _, err := h.transport.Call(ctx, to.Address, &protocol.Message{Refresh: &r}); err != nil {
		h.metrics.Scope.Counter("refreshes_failed").Inc(1)
	}
}

// Running asks the host of an attempt whether it still works on it.
func (h *Host) Running(ctx context.Context, id protocol.AttemptID) (bool, error) {
	if id.Host == h.self.Name {
		return id.Incarnation == h.self.Incarnation && h.orders.Running(id), nil
	}
	for _, peer := range h.members.Alive() {
		if peer.Name != id.Host {
			continue
		}
		if peer.Incarnation != id.Incarnation {
			return false, nil
		}
		ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
		defer cancel()
		answer, err := h.transport.Call(ctx, peer.Address, &protocol.Message{OrderStatus: &protocol.OrderStatus{Attempt: id}})
		if err != nil {
			return false, err
		}
		return answer.OrderState != nil && answer.OrderState.Running, nil
	}
	return false, errors.Errorf("host %s is not a member", id.Host)
}

// TellSuspicions sends the suspicions to other hosts without waiting for the next probes: to all of a small fleet, and
// otherwise to those of the failure domain.
func (h *Host) TellSuspicions() {
	told := others(h.members.Alive(), h.self.Name)
	if len(told) > maxToldOfCrash {
		told = inDomain(told, h.self.FailureDomain)
	}
	h.announce(told)
}

// relaySuspicions passes new evidence on to the hosts that its first host doesn't reach itself.
func (h *Host) relaySuspicions(from protocol.Host) {
	if len(h.members.Alive()) > maxToldOfCrash {
		h.announce(h.members.Relay(from))
	}
}

// announce sends this host's news to others without waiting for the next probes.
func (h *Host) announce(to []protocol.Host) {
	for _, x := range to {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), suspicionTimeout)
			defer cancel()
			h.members.Announce(ctx, x)
		}()
	}
}

// Do sends a call that may be repeated to a plain service.
func (h *Host) Do(ctx context.Context, call *service.Call) (service.Answer, error) {
	return h.services.Do(ctx, call)
}

// Order runs a request that must not be repeated.
func (h *Host) Order(ctx context.Context, q *order.Request) (order.Answer, error) {
	return h.orders.Do(ctx, q)
}
