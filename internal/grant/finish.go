package grant

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Finish ends a grant or withdraws a waiting request; repeating it changes nothing.
func (s *Scheduler) Finish(now time.Time, fin protocol.GrantRelease) []Decision {
	s.advance(now)
	if _, ok := s.waiting[fin.ID]; ok {
		s.dequeue(fin.ID)
		s.revision++
	}
	if r, ok := s.reservations[fin.ID]; ok {
		s.observeFinish(now, r, fin)
		s.free(now, fin.ID)
	}
	s.finished[fin.ID] = now
	return s.grantWaiting(now, nil)
}

// Refresh extends the grants that an entry host reports as still in use. A grant that this scheduler does not know was
// made by the scheduler before it, on another host; its reservation is restored.
func (s *Scheduler) Refresh(now time.Time, refresh protocol.Refresh) []Decision {
	s.advance(now)
	for _, h := range refresh.Grants {
		if _, ok := s.finished[h.ID]; ok {
			continue
		}
		r, ok := s.reservations[h.ID]
		if !ok {
			r = s.restore(now, h)
		}
		r.expires = now.Add(h.Expiry)
		s.memo = memo{}
		if !h.Prefilling {
			r.prefilling, r.prefillLeft = false, 0
		}
	}
	return s.grantWaiting(now, nil)
}

// restore adds the reservation of a grant that an earlier scheduler made.
func (s *Scheduler) restore(now time.Time, h protocol.HeldGrant) *reservation {
	s.revision++
	req := protocol.GrantRequest{
		ID: h.ID, Server: s.Server.Name, Workspace: h.Workspace, Model: h.Model,
		PromptTokens: h.PromptTokens, OutputTokens: h.OutputTokens, Bytes: h.Bytes,
	}
	r := &reservation{
		req: req, bytes: h.Bytes, granted: now, expires: now.Add(h.Expiry), prefilling: h.Prefilling,
		grant: protocol.Grant{
			ID: h.ID, Server: s.Server.Name, Address: s.Server.Address, Expiry: h.Expiry, Priority: s.basePriority(req),
		},
	}
	if h.Prefilling {
		r.prefillLeft = float64(h.PromptTokens)
	}
	s.reserve(r)
	return r
}

// PrefillDone records that the first output token of a grant has come.
func (s *Scheduler) PrefillDone(now time.Time, id protocol.AttemptID) []Decision {
	s.advance(now)
	r, ok := s.reservations[id]
	if !ok || !r.prefilling {
		return nil
	}
	s.observePrefill(now, r)
	s.cache.store(r.req.Blocks)
	r.prefilling, r.prefillLeft, r.firstToken = false, 0, now
	s.memo = memo{}
	return s.grantWaiting(now, nil)
}

// reserve adds a reservation and numbers it.
func (s *Scheduler) reserve(r *reservation) {
	s.memo = memo{}
	s.grantCount++
	r.number = s.grantCount
	s.reservations[r.req.ID] = r
	s.reservedBytes += r.bytes
	if r.req.PromptTokens > mediumMaxTokens {
		s.reservedAboveMedium += r.bytes
	}
}

// free removes the reservation of an attempt, which must exist, and records the attempt as finished.
func (s *Scheduler) free(now time.Time, id protocol.AttemptID) {
	r := s.reservations[id]
	s.memo = memo{}
	delete(s.reservations, id)
	s.reservedBytes -= r.bytes
	if r.req.PromptTokens > mediumMaxTokens {
		s.reservedAboveMedium -= r.bytes
	}
	s.freed = append(s.freed, freedMemory{at: now, bytes: r.bytes})
	s.finished[id] = now
	s.revision++
}
