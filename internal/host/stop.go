package host

import (
	"context"
	"time"
)

// stopPoll is the interval at which a stopping host checks for unconfirmed releases.
const stopPoll = 50 * time.Millisecond

// releaseGrace limits how long a stopping host waits for engines to confirm releases. Engines free what remains when it
// expires.
const releaseGrace = 5 * time.Second

// stop waits until ctx ends and then stops the host gracefully. It first turns readiness off and waits until the load
// balancer sends no new requests, then leaves the membership and lets the requests in progress finish. It closes
// streams that are still open at the stop timeout. Finally it waits for releases and stops the schedulers.
func (h *Host) stop(ctx context.Context) error {
	<-ctx.Done()
	h.Log.Info("host stopping", "active_requests", h.entry.Active())
	h.stopping.Store(true)
	h.callerServer.BeginStop()
	time.Sleep(time.Duration(h.Settings.Timing.BalancerDelay))
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Duration(h.Settings.Timing.StopTimeout))
	defer cancel()
	h.members.Leave()
	h.edgeTasks.notify()
	if err := h.callerServer.Stop(stopCtx); err != nil {
		h.Log.Warn("stop timeout reached; closing open streams", "active_requests", h.entry.Active())
	}
	if err := h.orders.Stop(stopCtx); err != nil {
		h.Log.Warn("stop timeout reached; some orders have no recorded outcome")
	}
	h.awaitReleases()
	h.assignSchedulers()
	return nil
}

// awaitReleases waits until engines have confirmed all releases, for at most releaseGrace.
func (h *Host) awaitReleases() {
	for end := time.Now().Add(releaseGrace); h.reclaim.Pending() > 0 && time.Now().Before(end); {
		time.Sleep(stopPoll)
	}
}

// Ready reports whether the load balancer should send new requests to this host: it has started and is not stopping,
// has an active configuration, and knows at least one backend server.
func (h *Host) Ready() bool {
	return h.started.Load() && !h.stopping.Load() && h.configurationKnown.Load() && h.config.Current() != nil && len(h.fleet.View().Entries) > 0
}
