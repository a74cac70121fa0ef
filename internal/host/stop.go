package host

import (
	"context"
	"time"
)

const stopPoll = 50 * time.Millisecond

// Releases that engines have not confirmed hold a stop up for at most this long; the engines' expiry frees the rest.
const releaseGrace = 5 * time.Second

// Waits for the signal to stop and then ends the host without cutting a request.
func (h *Host) stop(ctx context.Context) error {
	<-ctx.Done()
	h.Log.Info("host stopping", "active_requests", h.entry.Active())
	h.stopping.Store(true)
	h.callers.SetKeepAlivesEnabled(false)
	time.Sleep(time.Duration(h.Settings.Timing.BalancerDelay))
	limit, cancel := context.WithTimeout(context.Background(), time.Duration(h.Settings.Timing.StopTimeout))
	defer cancel()
	h.members.Leave()
	h.duties.notify()
	if err := h.callers.Shutdown(limit); err != nil {
		h.Log.Warn("streams cut at the stop's timeout", "active_requests", h.entry.Active())
	}
	if err := h.orders.Stop(limit); err != nil {
		h.Log.Warn("orders without a recorded outcome at the stop's timeout")
	}
	h.awaitReleases()
	h.assign()
	return nil
}

func (h *Host) awaitReleases() {
	for end := time.Now().Add(releaseGrace); h.reclaim.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(stopPoll)
	}
}

// Ready reports whether new requests should come to this host.
func (h *Host) Ready() bool {
	return h.started.Load() && !h.stopping.Load() && h.configurationKnown.Load() && h.keeper.Current() != nil && len(h.fleet.View().Entries) > 0
}
