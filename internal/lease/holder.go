package lease

import "time"

// What a Holder asks its shell to do.
const (
	ActionWait    ActionKind = "wait"
	ActionAcquire ActionKind = "acquire"
	ActionRenew   ActionKind = "renew"
	ActionRelease ActionKind = "release"
)

const renewalsPerTTL = 3

type (
	// ActionKind names what the shell has to do next.
	ActionKind string

	// Action is the next thing to do; At is when to ask again for ActionWait.
	Action struct {
		Kind ActionKind
		ID   string // of the lease, for ActionRenew and ActionRelease
		At   time.Time
	}

	// Holder decides whether this process may act under a lease; TTL and Margin are set before use.
	//
	// The lease counts from the moment before its grant or renewal was requested, so that this process gives it up
	// before the store does. Margin covers the drift of clocks over TTL and the flight of an order that was sent
	// under the lease.
	Holder struct {
		TTL    time.Duration
		Margin time.Duration

		id       string
		fencing  uint64
		acquired time.Time // when the grant was confirmed; zero while not holding
		start    time.Time // of the last confirmed time to live
		asked    time.Time // when the last acquisition or renewal was tried
		stopped  bool

		noCheck bool // lets tests show what the check of remaining time prevents
	}
)

// Next returns what to do at now.
func (h *Holder) Next(now time.Time) Action {
	switch {
	case h.stopped && h.id != "":
		return Action{Kind: ActionRelease, ID: h.id}
	case h.stopped:
		return Action{Kind: ActionWait, At: now.Add(h.TTL)}
	case h.id != "" && elapsed(now, h.start) >= h.TTL:
		h.drop()
	}
	due := h.asked.Add(h.interval())
	if !h.asked.IsZero() && now.Before(due) {
		return Action{Kind: ActionWait, At: due}
	}
	h.asked = now
	if h.id != "" {
		return Action{Kind: ActionRenew, ID: h.id}
	}
	return Action{Kind: ActionAcquire}
}

// Granted tells that the lease is held since a request that was sent at sent and confirmed at now.
func (h *Holder) Granted(sent, now time.Time, id string, fencing uint64) {
	h.id, h.fencing = id, fencing
	h.start, h.acquired, h.asked = sent, now, sent
}

// Renewed tells that a renewal that was sent at sent was confirmed.
func (h *Holder) Renewed(sent time.Time) {
	if h.id != "" && sent.After(h.start) {
		h.start = sent
	}
}

// Lapsed tells that the store no longer has the lease.
func (h *Holder) Lapsed() { h.drop() }

// Stop makes the holder release its lease and acquire no other.
func (h *Holder) Stop() { h.stopped = true }

// Released tells that the lease was given back.
func (h *Holder) Released() { h.drop() }

// Fencing returns the fencing number of the lease, or 0 while none is held.
func (h *Holder) Fencing() uint64 { return h.fencing }

// MayAct reports whether an order that is sent at now is still covered by the lease.
func (h *Holder) MayAct(now time.Time) bool {
	if h.id == "" || h.stopped {
		return false
	}
	return h.noCheck || elapsed(now, h.start) < h.TTL-h.Margin
}

// MayActUnfenced reports whether an order may be sent at now to an engine that does not check fencing numbers.
//
// A new holder first waits until orders that an earlier holder sent under its lease have arrived.
func (h *Holder) MayActUnfenced(now time.Time) bool {
	if !h.MayAct(now) {
		return false
	}
	return h.noCheck || now.Sub(h.acquired) >= h.TTL+h.Margin
}

func (h *Holder) interval() time.Duration { return h.TTL / renewalsPerTTL }

func (h *Holder) drop() {
	h.id, h.fencing = "", 0
	h.start, h.acquired = time.Time{}, time.Time{}
}

// Returns the time since start by the clock that shows more of it.
//
// The monotonic clock may stand still while a virtual machine is paused; the wall clock may be set back.
func elapsed(now, start time.Time) time.Duration {
	return max(now.Sub(start), now.Round(0).Sub(start.Round(0)))
}
