package grant

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Finish gives a grant back or withdraws an ask; repeating it changes nothing.
func (s *Scheduler) Finish(now time.Time, fin protocol.Finish) []Decision {
	s.advance(now)
	if _, ok := s.waiting[fin.ID]; ok {
		s.drop(fin.ID)
		s.revision++
	}
	if r, ok := s.held[fin.ID]; ok {
		s.learnFinish(now, r, fin)
		s.free(now, fin.ID)
	}
	s.finished[fin.ID] = now
	return s.drain(now, nil)
}

// Refresh repeats grants that an entry host still uses. Grants that this scheduler does not know were given
// by its predecessor; they are taken over.
func (s *Scheduler) Refresh(now time.Time, refresh protocol.Refresh) []Decision {
	s.advance(now)
	for _, h := range refresh.Held {
		if _, ok := s.finished[h.ID]; ok {
			continue
		}
		r, ok := s.held[h.ID]
		if !ok {
			r = s.adopt(now, h)
		}
		r.expires = now.Add(h.Expiry)
		s.memo = memo{}
		if !h.Prefilling {
			r.prefilling, r.left = false, 0
		}
	}
	return s.drain(now, nil)
}

func (s *Scheduler) adopt(now time.Time, h protocol.Held) *reservation {
	s.revision++
	ask := protocol.Ask{
		ID: h.ID, Server: s.Server.Name, Workspace: h.Workspace, Model: h.Model,
		PromptTokens: h.PromptTokens, OutputTokens: h.OutputTokens, Bytes: h.Bytes,
	}
	r := &reservation{
		ask: ask, bytes: h.Bytes, granted: now, expires: now.Add(h.Expiry), prefilling: h.Prefilling,
		grant: protocol.Grant{
			ID: h.ID, Server: s.Server.Name, Address: s.Server.Address, Expiry: h.Expiry, Priority: s.basePriority(ask),
		},
	}
	if h.Prefilling {
		r.left = float64(h.PromptTokens)
	}
	s.hold(r)
	return r
}

// Prefilled tells that the first output token of a grant has come.
func (s *Scheduler) Prefilled(now time.Time, id protocol.AttemptID) []Decision {
	s.advance(now)
	r, ok := s.held[id]
	if !ok || !r.prefilling {
		return nil
	}
	s.learnPrefill(now, r)
	s.cache.store(r.ask.Blocks)
	r.prefilling, r.left, r.first = false, 0, now
	s.memo = memo{}
	return s.drain(now, nil)
}

func (s *Scheduler) hold(r *reservation) {
	s.memo = memo{}
	s.grants++
	r.number = s.grants
	s.held[r.ask.ID] = r
	s.reserved += r.bytes
	if r.ask.PromptTokens > middleStep {
		s.heldAbove += r.bytes
	}
}

func (s *Scheduler) free(now time.Time, id protocol.AttemptID) {
	r := s.held[id]
	s.memo = memo{}
	delete(s.held, id)
	s.reserved -= r.bytes
	if r.ask.PromptTokens > middleStep {
		s.heldAbove -= r.bytes
	}
	s.freed = append(s.freed, release{at: now, bytes: r.bytes})
	s.finished[id] = now
	s.revision++
}
