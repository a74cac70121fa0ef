package relay

import (
	"context"
	"log/slog"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

const (
	reserveTimeout = 300 * time.Millisecond
	releaseTimeout = 500 * time.Millisecond
	releaseTries   = 5
	releasePause   = 200 * time.Millisecond
)

// reservation is memory set aside at one engine.
type reservation struct {
	engine netip.AddrPort
	ticket string
}

var tickets atomic.Uint64

// reserve sets aside the memory that the plan asks for and enters the helpers in the attempt.
func (t *transfer) reserve(plan *planner.Plan, a *backend.Attempt) ([]reservation, error) {
	var reserved []reservation
	hold := min(a.Left+time.Second, t.relay.MemoryHold)
	for _, h := range plan.Helpers {
		helper := backend.Helper{Address: h.Address}
		if h.Reserve > 0 {
			helper.Ticket = t.call.ID + "-" + strconv.FormatUint(tickets.Add(1), 36)
			ctx, cancel := context.WithTimeout(t.ctx, reserveTimeout)
			reserved = append(reserved, reservation{engine: h.Address, ticket: helper.Ticket})
			err := t.relay.Memory.Reserve(ctx, h.Address, helper.Ticket, h.Reserve, hold)
			cancel()
			if err != nil {
				return reserved, err
			}
		}
		a.Helpers = append(a.Helpers, helper)
	}
	return reserved, nil
}

// release frees reserved memory and repeats that until it is confirmed or the lease has ended.
func (t *transfer) release(reserved []reservation) {
	for _, r := range reserved {
		go t.relay.releaseOne(t.call.ID, r)
	}
}

func (r *Relay) releaseOne(id string, one reservation) {
	began := steady.Now()
	var err error
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		err = r.Memory.Release(ctx, one.engine, one.ticket)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(releasePause)
	}
	r.Log.Warn("release_failed", slog.String("request_id", id), slog.String("engine", one.engine.String()),
		slog.String("ticket", one.ticket), slog.String("error", err.Error()),
		millisecondsField("tried_for_ms", steady.Now().Sub(began)))
}
