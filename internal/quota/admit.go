package quota

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// maxPeerAge is the age of another host's last report above which its requests in flight, and the tokens predicted for
// them, no longer count.
const maxPeerAge = 10 * time.Second

// Admit tells whether a request with the given number of predicted tokens is within the limits of its workspace, and
// counts it if it is. The caller must call Done once for each admitted request. Requests of unknown workspaces are not
// limited.
func (l *Limiter) Admit(now time.Time, workspace string, tokens int64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.workspaces[workspace]
	if !ok {
		return Decision{OK: true}
	}
	u.refill(now)
	if wait := u.retryAfter(now, l.HostCount, l.propagationDelay()); wait > 0 {
		return Decision{RetryAfter: wait}
	}
	u.share.tokens -= float64(tokens)
	u.share.requests--
	u.inFlight++
	u.pending += float64(tokens)
	return Decision{OK: true}
}

// Done ends an admitted request, which has used the given number of tokens. It does nothing if no request of the
// workspace is in flight.
func (l *Limiter) Done(now time.Time, workspace string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.workspaces[workspace]
	if !ok || u.inFlight == 0 {
		return
	}
	u.refill(now)
	// The single predictions are not stored. Each request that ends takes off their average, so that their sum is 0 when
	// no request is left.
	u.pending -= u.pending / float64(u.inFlight)
	u.inFlight--
	u.share.requests++
	u.total += float64(tokens)
	u.balance -= float64(tokens)
}

// propagationDelay returns l.PropagationDelay or its default.
func (l *Limiter) propagationDelay() time.Duration {
	if l.PropagationDelay > 0 {
		return l.PropagationDelay
	}
	return DefaultPropagationDelay
}

// Usage returns what the workspaces have used through this host, to be sent to the other hosts of the failure domain.
func (l *Limiter) Usage(_ time.Time) []protocol.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := make([]protocol.Usage, 0, len(l.workspaces))
	for name, u := range l.workspaces {
		if u.total != 0 || u.inFlight != 0 {
			rows = append(rows, protocol.Usage{
				Host: l.Host, Incarnation: l.Incarnation, Workspace: name,
				Tokens: u.total, InFlight: u.inFlight, Pending: u.pending,
			})
		}
	}
	return rows
}

// Merge applies usage that other hosts have reported. It ignores rows of this host and of unknown workspaces.
func (l *Limiter) Merge(now time.Time, rows []protocol.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		if u, ok := l.workspaces[row.Workspace]; ok && row.Host != l.Host {
			u.merge(now, row)
		}
	}
}

// merge applies a row of another host. The row gives a total, of which only the part not yet counted is deducted; the
// total starts again with each incarnation of the host. A row of an earlier incarnation is ignored.
func (u *usage) merge(now time.Time, row protocol.Usage) {
	u.refill(now)
	p, known := u.peers[row.Host]
	if known && row.Incarnation < p.incarnation {
		return
	}
	previousTotal := p.total
	if row.Incarnation > p.incarnation {
		previousTotal = 0
	}
	u.balance -= row.Tokens - previousTotal
	u.peers[row.Host] = peerUsage{
		incarnation: row.Incarnation, total: row.Tokens, inFlight: row.InFlight, pending: row.Pending, receivedAt: now,
	}
}

// refill adds the tokens for the time since the last refill, up to the tokens of one minute. Tokens that are predicted
// for requests in flight count as used.
func (u *usage) refill(now time.Time) {
	limit := float64(u.limits.TokensPerMinute)
	if u.refilledAt.IsZero() {
		u.refilledAt = now
	}
	if now.After(u.refilledAt) {
		_, balance := u.domainUsage(now)
		u.balance += max(min(limit*now.Sub(u.refilledAt).Minutes(), limit-balance), 0)
		u.refilledAt = now
	}
}

// retryAfter returns the time until the limits allow the next request, or 0 if they allow it now. For a limit on
// requests in flight it is propagationDelay.
func (u *usage) retryAfter(now time.Time, hosts int, propagationDelay time.Duration) time.Duration {
	inFlight, balance := u.domainUsage(now)
	limit, maxInFlight := float64(u.limits.TokensPerMinute), u.limits.MaxInFlight
	switch {
	case maxInFlight > 0 && inFlight >= maxInFlight:
		return propagationDelay
	case limit > 0 && balance <= 0:
		return time.Duration((1 - balance) / limit * float64(time.Minute))
	case hosts <= 1:
		return 0
	}
	// The other hosts may admit requests at the same time, so this host admits no more than its equal share of what is
	// left until it has received their usage.
	if !now.Before(u.share.end) {
		u.share = hostShare{
			end: now.Add(propagationDelay), tokens: balance / float64(hosts),
			requests: (maxInFlight - inFlight + hosts - 1) / hosts,
		}
	}
	if maxInFlight > 0 && u.share.requests <= 0 || limit > 0 && u.share.tokens <= 0 {
		return u.share.end.Sub(now)
	}
	return 0
}

// domainUsage returns the requests in flight of the workspace in the failure domain and the tokens that are left after
// the predictions for them, as far as this host knows.
func (u *usage) domainUsage(now time.Time) (inFlight int, balance float64) {
	inFlight, balance = u.inFlight, u.balance-u.pending
	for _, p := range u.peers {
		if now.Sub(p.receivedAt) <= maxPeerAge {
			inFlight += p.inFlight
			balance -= p.pending
		}
	}
	return inFlight, balance
}
