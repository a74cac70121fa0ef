package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/planner"
)

// hostStop is the planned stop of a host, which limits how long calls may take as their deadlines do. Its zero value is that of
// a host that doesn't stop.
type hostStop struct {
	once            sync.Once
	begun           context.Context // ends when the stop begins
	begin           context.CancelFunc
	unansweredEnded context.Context // ends when calls without a response end
	endUnanswered   context.CancelFunc
	endBy           atomic.Int64 // by when responses must be complete, in nanoseconds of the boot-time clock; 0 before the stop
}

func (s *hostStop) init() {
	s.once.Do(func() {
		s.begun, s.begin = context.WithCancel(context.Background())
		s.unansweredEnded, s.endUnanswered = context.WithCancel(context.Background())
	})
}

// BeginStop says that this host stops and that responses which aren't complete at endBy, on the boot-time clock, will be cut off.
// Calls that wait for a server are placed anew with the time that is left.
func (r *Relay) BeginStop(endBy time.Time) {
	r.stop.init()
	r.stop.endBy.Store(endBy.UnixNano())
	r.stop.begin()
}

// EndUnanswered ends the calls whose callers have no part of a response yet, with an error response or a refusal.
func (r *Relay) EndUnanswered() {
	r.stop.init()
	r.stop.endUnanswered()
}

// onUnansweredEnd calls end when EndUnanswered is called, also if that was before. The function that it returns prevents that.
func (s *hostStop) onUnansweredEnd(end func()) (cancel func() bool) {
	s.init()
	return context.AfterFunc(s.unansweredEnded, end)
}

// untilBegun returns a context that ends with ctx or when the stop begins. If that has begun, it ends with ctx only.
func (s *hostStop) untilBegun(ctx context.Context) (context.Context, context.CancelFunc) {
	s.init()
	ctx, cancel := context.WithCancel(ctx)
	if s.begun.Err() != nil {
		return ctx, cancel
	}
	stopAfterFunc := context.AfterFunc(s.begun, cancel)
	return ctx, func() { stopAfterFunc(); cancel() }
}

// limit limits the deadline of a placement request, whose times are relative to now, to the time that the stop leaves.
func (s *hostStop) limit(now time.Time, req *planner.Request) {
	if endBy := s.endBy.Load(); endBy != 0 {
		req.Deadline = min(req.Deadline, time.Duration(endBy-now.UnixNano()))
	}
}
