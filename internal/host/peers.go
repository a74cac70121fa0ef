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
	finishTimeout          = 2 * time.Second // of one attempt to return a grant
	maxFinishAttempts      = 3
	runningTimeout         = time.Second            // of one query in AttemptRunning
	refreshPeriod          = time.Second            // between refreshes of the grants in use
	suspicionTimeout       = time.Second            // of sending gossip to one host
	maxSuspicionRecipients = 40                     // hosts; see ReportSuspicions
	refreshTimeout         = 500 * time.Millisecond // of one refresh
)

// HandlePeer handles a message of another host and returns the response, or nil if the kind of message is unknown.
func (h *Host) HandlePeer(ctx context.Context, m *protocol.Message) *protocol.Message {
	switch {
	case m.GrantRequest != nil:
		g, refused := h.schedulers.RequestGrant(ctx, *m.GrantRequest)
		return &protocol.Message{Grant: g, Refusal: refused, Rows: h.gossip.responseRows()}
	case m.GrantRelease != nil:
		h.schedulers.ReturnGrant(*m.GrantRelease)
		return &protocol.Message{Done: &protocol.Confirmation{}}
	case m.Refresh != nil:
		h.schedulers.Refresh(*m.Refresh)
		return &protocol.Message{Done: &protocol.Confirmation{}}
	case m.Probe != nil:
		return &protocol.Message{Ack: h.members.HandleProbe(ctx, m.Probe)}
	case m.PullConfig != nil:
		return &protocol.Message{Config: h.config.Pull(m.PullConfig.Have)}
	case m.Config != nil:
		return &protocol.Message{Config: h.acceptPushedConfig(m.Config)}
	case m.PullHosts != nil:
		return &protocol.Message{HostList: h.inventory.NewerThan(m.PullHosts.Have)}
	case m.OrderStatus != nil:
		return &protocol.Message{OrderState: h.orderState(m.OrderStatus)}
	}
	return nil
}

// RequestGrant sends a grant request to the host that schedules a backend server. It returns a grant, a refusal, or
// an error if the host did not respond with one of them.
func (h *Host) RequestGrant(ctx context.Context, to protocol.Host, req protocol.GrantRequest) (*protocol.Grant,
	*protocol.Refusal, error,
) {
	if to.Name == h.self.Name {
		g, refused := h.schedulers.RequestGrant(ctx, req)
		return g, refused, nil
	}
	response, err := h.transport.Call(ctx, to.Address, &protocol.Message{GrantRequest: &req})
	if err != nil {
		return nil, nil, err
	}
	h.gossip.addRows(response.Rows)
	if response.Grant == nil && response.Refusal == nil {
		return nil, nil, errors.New("neither a grant nor a refusal")
	}
	return response.Grant, response.Refusal, nil
}

// ReturnGrant returns a grant to its scheduler in the background. If all attempts fail, the grant ends when it expires.
func (h *Host) ReturnGrant(to protocol.Host, fin protocol.GrantRelease) {
	if to.Name == h.self.Name {
		h.schedulers.ReturnGrant(fin)
		return
	}
	go func() {
		for range maxFinishAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
			_, err := h.transport.Call(ctx, to.Address, &protocol.Message{GrantRelease: &fin})
			cancel()
			if err == nil {
				return
			}
		}
	}()
}

// refresh regularly reports the grants in use to the hosts that schedule their backend servers now, until ctx ends. A
// new scheduler rebuilds its state from these reports. It also updates the metrics of traffic between hosts.
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
		for _, r := range h.dispatcher.GrantRefreshes() {
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

// AttemptRunning reports whether the host that started an attempt still runs it. The result is false if that host has
// restarted since. It returns an error if the host is not a live member or does not respond.
func (h *Host) AttemptRunning(ctx context.Context, id protocol.AttemptID) (bool, error) {
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
		ctx, cancel := context.WithTimeout(ctx, runningTimeout)
		defer cancel()
		response, err := h.transport.Call(ctx, peer.Address,
			&protocol.Message{OrderStatus: &protocol.ClaimQuery{Attempt: id}})
		if err != nil {
			return false, err
		}
		return response.OrderState != nil && response.OrderState.Running, nil
	}
	return false, errors.Errorf("host %s is not a member", id.Host)
}

// ReportSuspicions sends this host's suspicions to other hosts without waiting for the next probes: to all hosts of a
// fleet of up to maxSuspicionRecipients other hosts, and otherwise to those of the failure domain.
func (h *Host) ReportSuspicions() {
	recipients := excludeHost(h.members.Alive(), h.self.Name)
	if len(recipients) > maxSuspicionRecipients {
		recipients = hostsInDomain(recipients, h.self.FailureDomain)
	}
	h.sendGossip(recipients)
}

// forwardSuspicions forwards new suspicions to the hosts to which their sender does not send them itself, which only
// happens in large fleets.
func (h *Host) forwardSuspicions(from protocol.Host) {
	if len(h.members.Alive()) > maxSuspicionRecipients {
		h.sendGossip(h.members.RelayTargets(from))
	}
}

// sendGossip sends this host's gossip to the given hosts in the background, without waiting for the next probes.
func (h *Host) sendGossip(to []protocol.Host) {
	for _, x := range to {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), suspicionTimeout)
			defer cancel()
			h.members.SendGossip(ctx, x)
		}()
	}
}

// Do sends a call that may be retried to a plain service.
func (h *Host) Do(ctx context.Context, call *service.Call) (service.Response, error) {
	return h.services.Do(ctx, call)
}

// RunOrder runs a request that must not be executed twice.
func (h *Host) RunOrder(ctx context.Context, q *order.Request) (order.Response, error) {
	return h.orders.Do(ctx, q)
}
