package quota

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// peerAge is the time after which a silent host's requests no longer count as in flight.
const peerAge = 10 * time.Second

// Admit takes one request with its predicted tokens into account unless a limit is reached.
// Each admitted request needs one call of Done.
func (l *Limiter) Admit(now time.Time, workspace string, tokens int64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.workspaces[workspace]
	if !ok {
		return Verdict{OK: true}
	}
	u.refill(now)
	if wait := u.wait(now, l.Hosts, l.spread()); wait > 0 {
		return Verdict{RetryAfter: wait}
	}
	u.window.tokens -= float64(tokens)
	u.window.requests--
	u.inFlight++
	u.pending += float64(tokens)
	return Verdict{OK: true}
}

// Done ends a request that Admit let in; tokens is what it has used.
func (l *Limiter) Done(now time.Time, workspace string, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.workspaces[workspace]
	if !ok || u.inFlight == 0 {
		return
	}
	u.refill(now)
	// Predictions are settled by their average, so that they add up to nothing when no request is left.
	u.pending -= u.pending / float64(u.inFlight)
	u.inFlight--
	u.window.requests++
	u.total += float64(tokens)
	u.level -= float64(tokens)
}

func (l *Limiter) spread() time.Duration {
	if l.Spread > 0 {
		return l.Spread
	}
	return DefaultSpread
}

// Usage returns what the workspaces have used through this host, for the other hosts of the failure domain.
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

// Merge takes in what other hosts have told.
func (l *Limiter) Merge(now time.Time, rows []protocol.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		if u, ok := l.workspaces[row.Workspace]; ok && row.Host != l.Host {
			u.merge(now, row)
		}
	}
}

func (u *usage) merge(now time.Time, row protocol.Usage) {
	u.refill(now)
	p, known := u.peers[row.Host]
	if known && row.Incarnation < p.incarnation {
		return
	}
	before := p.total
	if row.Incarnation > p.incarnation {
		before = 0
	}
	u.level -= row.Tokens - before
	u.peers[row.Host] = peer{incarnation: row.Incarnation, total: row.Tokens, inFlight: row.InFlight, pending: row.Pending, at: now}
}

// refill adds the tokens that time has given back.
func (u *usage) refill(now time.Time) {
	limit := float64(u.limits.TokensPerMinute)
	if u.at.IsZero() {
		u.at = now
	}
	if now.After(u.at) {
		_, free := u.known(now)
		u.level += max(min(limit*now.Sub(u.at).Minutes(), limit-free), 0)
		u.at = now
	}
}

// wait is the time until a limit allows the next request.
func (u *usage) wait(now time.Time, hosts int, spread time.Duration) time.Duration {
	inFlight, level := u.known(now)
	limit, most := float64(u.limits.TokensPerMinute), u.limits.MaxInFlight
	switch {
	case most > 0 && inFlight >= most:
		return spread
	case limit > 0 && level <= 0:
		return time.Duration((1 - level) / limit * float64(time.Minute))
	case hosts <= 1:
		return 0
	}
	// The others may admit at the same time, so this host takes no more than its part of what is left.
	if !now.Before(u.window.end) {
		u.window = window{
			end: now.Add(spread), tokens: level / float64(hosts), requests: (most - inFlight + hosts - 1) / hosts,
		}
	}
	if most > 0 && u.window.requests <= 0 || limit > 0 && u.window.tokens <= 0 {
		return u.window.end.Sub(now)
	}
	return 0
}

// known is the use of the workspace as far as this host knows.
func (u *usage) known(now time.Time) (inFlight int, level float64) {
	inFlight, level = u.inFlight, u.level-u.pending
	for _, p := range u.peers {
		if now.Sub(p.at) <= peerAge {
			inFlight += p.inFlight
			level -= p.pending
		}
	}
	return inFlight, level
}
