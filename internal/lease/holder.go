package lease

import "time"

// The actions that Next returns for the caller to carry out.
const (
	ActionWait    ActionKind = "wait"
	ActionAcquire ActionKind = "acquire"
	ActionRenew   ActionKind = "renew"
	ActionRelease ActionKind = "release"
)

// renewalsPerTTL is how many times per TTL an acquisition or renewal is requested.
const renewalsPerTTL = 3

type (
	// ActionKind is the kind of an Action.
	ActionKind string

	// Action is what the caller of Next must do next.
	Action struct {
		Kind ActionKind
		ID   string    // lease ID, for ActionRenew and ActionRelease
		At   time.Time // when to call Next again, for ActionWait
	}

	// Holder decides whether this process may act under a lease. TTL and Margin are set before use.
	//
	// The TTL runs from the time just before the grant or renewal was requested, so that the lease expires in this
	// process before it expires in the store. Margin covers the drift of clocks during TTL and the time that a command
	// sent under the lease takes to arrive.
	Holder struct {
		TTL    time.Duration
		Margin time.Duration

		id          string    // lease ID; empty while no lease is held
		fencing     uint64    // fencing number of the lease; 0 while no lease is held
		confirmed   time.Time // when the grant was confirmed; zero while no lease is held
		ttlStart    time.Time // when the last confirmed grant or renewal was requested; the TTL runs from then
		lastRequest time.Time // when an acquisition or renewal was last requested
		stopped     bool      // Stop was called

		skipTimeCheck bool // skips the time checks of MayAct and MayActUnfenced, so that tests show what they prevent
	}
)

// Next returns what the caller must do at now. If the TTL has passed without a renewal, the lease counts as expired.
func (h *Holder) Next(now time.Time) Action {
	switch {
	case h.stopped && h.id != "":
		return Action{Kind: ActionRelease, ID: h.id}
	case h.stopped:
		return Action{Kind: ActionWait, At: now.Add(h.TTL)}
	case h.id != "" && elapsed(now, h.ttlStart) >= h.TTL:
		h.clear()
	}
	due := h.lastRequest.Add(h.renewalInterval())
	if !h.lastRequest.IsZero() && now.Before(due) {
		return Action{Kind: ActionWait, At: due}
	}
	h.lastRequest = now
	if h.id != "" {
		return Action{Kind: ActionRenew, ID: h.id}
	}
	return Action{Kind: ActionAcquire}
}

// Granted records that the store granted lease id with a fencing number, in response to a request that was sent at sent
// and confirmed at now.
func (h *Holder) Granted(sent, now time.Time, id string, fencing uint64) {
	h.id, h.fencing = id, fencing
	h.ttlStart, h.confirmed, h.lastRequest = sent, now, sent
}

// Renewed records that a renewal sent at sent was confirmed. It has no effect if no lease is held, or if a grant or
// renewal that was sent at the same time or later is confirmed already.
func (h *Holder) Renewed(sent time.Time) {
	if h.id != "" && sent.After(h.ttlStart) {
		h.ttlStart = sent
	}
}

// Expired records that the store no longer has the lease.
func (h *Holder) Expired() { h.clear() }

// Stop makes Next ask for the release of the lease and for no further acquisition. From then on, MayAct returns false.
func (h *Holder) Stop() { h.stopped = true }

// Released records that the lease was released.
func (h *Holder) Released() { h.clear() }

// Fencing returns the fencing number of the lease, or 0 while none is held.
func (h *Holder) Fencing() uint64 { return h.fencing }

// MayAct reports whether the lease covers a command that is sent at now.
func (h *Holder) MayAct(now time.Time) bool {
	if h.id == "" || h.stopped {
		return false
	}
	return h.skipTimeCheck || elapsed(now, h.ttlStart) < h.TTL-h.Margin
}

// MayActUnfenced reports whether a command may be sent at now to an engine that does not check fencing numbers.
//
// A new holder first waits for TTL+Margin after its grant, until commands that an earlier holder sent under its lease
// have arrived.
func (h *Holder) MayActUnfenced(now time.Time) bool {
	if !h.MayAct(now) {
		return false
	}
	return h.skipTimeCheck || now.Sub(h.confirmed) >= h.TTL+h.Margin
}

// renewalInterval returns the time from one acquisition or renewal request to the next.
func (h *Holder) renewalInterval() time.Duration { return h.TTL / renewalsPerTTL }

// clear makes h hold no lease.
func (h *Holder) clear() {
	h.id, h.fencing = "", 0
	h.ttlStart, h.confirmed = time.Time{}, time.Time{}
}

// elapsed returns the larger of the times since start by the monotonic clock and by the wall clock.
//
// The monotonic clock may stop while a virtual machine is paused, and the wall clock may be set back.
func elapsed(now, start time.Time) time.Duration {
	return max(now.Sub(start), now.Round(0).Sub(start.Round(0)))
}
