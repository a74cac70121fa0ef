package appointment

import "time"

// purgeInterval is the interval at which callers that have returned are forgotten.
const purgeInterval = time.Second

// Order is the order in which the refused callers of a service return: each when the work of those before it is done. Its
// exported field must be set before use.
type Order struct {
	// Horizon is the longest time for which callers are kept away. Those that would have to wait longer begin the order
	// anew.
	Horizon time.Duration

	until   time.Time            // when the work of all callers in the order is done
	returns map[uint64]time.Time // when callers return, by the identity that they have given
	// When callers that have returned were last removed from returns.
	lastPurge time.Time
}

// Next adds a caller to the order and returns the time from now after which it may return. Before earliest there is no
// capacity. The work of the caller takes up all capacity for the given time. A caller that comes before the time that it was
// told keeps its place; it is recognized by its identity, 0 if it has none.
func (o *Order) Next(now time.Time, caller uint64, earliest, work time.Duration) time.Duration {
	if after := o.returns[caller].Sub(now); after > 0 {
		return max(after, earliest)
	}
	after := max(o.until.Sub(now), earliest)
	if after > max(o.Horizon, earliest) {
		after = earliest
	}
	o.until = now.Add(after + work)
	o.remember(now, caller, o.until.Add(-work))
	return after
}

// remember records when a caller returns, and forgets those that have.
func (o *Order) remember(now time.Time, caller uint64, at time.Time) {
	if caller == 0 {
		return
	}
	if o.returns == nil {
		o.returns = make(map[uint64]time.Time)
	}
	o.returns[caller] = at
	if now.Sub(o.lastPurge) < purgeInterval {
		return
	}
	o.lastPurge = now
	for other, due := range o.returns {
		if due.Before(now) {
			delete(o.returns, other)
		}
	}
}
