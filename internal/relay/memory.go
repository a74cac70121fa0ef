package relay

import (
	"context"
	"log/slog"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

const (
	// Reserved memory is leased for a short time and renewed, so that a host that dies leaves none behind.
	memoryLease   = 3 * time.Second
	memoryRenewal = time.Second

	orderTimeout = 500 * time.Millisecond
	releaseTries = 5
	releasePause = 200 * time.Millisecond
)

// reservation is memory set aside at one engine.
type reservation struct {
	engine netip.AddrPort
	ticket string
	tokens int
}

var tickets atomic.Uint64

// reserve sets aside the memory that the plan asks for, enters the helpers in the attempt and returns what frees the
// memory.
func (t *transfer) reserve(plan *planner.Plan, a *backend.Attempt) (free func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	free = cancel
	for _, h := range plan.Helpers {
		helper := backend.Helper{Address: h.Address}
		if h.Reserve > 0 {
			helper.Ticket = t.call.ID + "-" + strconv.FormatUint(tickets.Add(1), 36)
			one := reservation{engine: h.Address, ticket: helper.Ticket, tokens: h.Reserve}
			err = t.relay.reserveOne(t.ctx, one)
			go t.relay.keep(ctx, t.call.ID, one)
			if err != nil {
				return free, err
			}
		}
		a.Helpers = append(a.Helpers, helper)
	}
	return free, nil
}

func (r *Relay) reserveOne(ctx context.Context, one reservation) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return r.Memory.Reserve(ctx, one.engine, one.ticket, one.tokens, memoryLease)
}

// keep renews a reservation until ctx ends, and then frees it.
func (r *Relay) keep(ctx context.Context, id string, one reservation) {
	for wait.For(ctx, memoryRenewal); ctx.Err() == nil; wait.For(ctx, memoryRenewal) {
		// Not under ctx: a renewal that is cut short might arrive after the release.
		if err := r.reserveOne(context.Background(), one); err != nil {
			r.Log.Warn("renewal_failed", slog.String("request_id", id), slog.String("engine", one.engine.String()),
				slog.String("ticket", one.ticket), slog.String("error", err.Error()))
		}
	}
	r.release(id, one)
}

// release frees reserved memory and repeats that until it is confirmed; what is left over then ends with its lease.
func (r *Relay) release(id string, one reservation) {
	began := steady.Now()
	var err error
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		err = r.Memory.Release(ctx, one.engine, one.ticket)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(releasePause)
	}
	r.Log.Warn("release_failed", slog.String("request_id", id), slog.String("engine", one.engine.String()),
		slog.String("ticket", one.ticket), slog.String("error", err.Error()),
		eventlog.Milliseconds("tried_for_ms", steady.Now().Sub(began)))
}
