package longprompt

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// simulation models the memory of three engines, and the network between them and two chains.
type simulation struct {
	rt          *rapid.T
	now         time.Time
	allocations map[string]string // request that owns each allocation, keyed by one-letter server name and allocation ID
	chains      []*Chain
	pending     []func() // results in flight
	gaveUp      map[*Chain]Reason
	decodes     int // calls for ActionDecode
}

func newChain(request string) *Chain {
	return &Chain{Reservation: Reservation{
		ID:      protocol.AttemptID{Host: "h", Request: request, Attempt: 1},
		Members: []Member{{Server: "a", PromptTokens: 1}, {Server: "b", PromptTokens: 1}, {Server: "c", PromptTokens: 1}},
	}}
}

// hasRoom reports whether no other chain holds memory on the server, which has room for one chain at a time.
func (s *simulation) hasRoom(c *Chain, server string) bool {
	for key, owner := range s.allocations {
		if key[:1] == server && owner != c.ID.Request {
			return false
		}
	}
	return true
}

// allocate records that the server holds an allocation of the chain.
func (s *simulation) allocate(c *Chain, server, kind string) {
	s.allocations[server+AllocationID(c.ID, kind)] = c.ID.Request
}

func (s *simulation) enqueue(event func()) { s.pending = append(s.pending, event) }

// perform carries out the actions. As drawn, each one succeeds, fails before or after its effect, or ends its member's
// process. Releases and giving up always succeed.
func (s *simulation) perform(c *Chain, actions []Action) {
	for _, a := range actions {
		server := a.Member.Server
		fault := 0
		if a.Kind != ActionRelease && a.Kind != ActionGiveUp {
			fault = rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2, 3}).Draw(s.rt, "fault")
		}
		switch {
		case a.Kind == ActionGiveUp:
			s.gaveUp[c] = a.Reason
		case a.Kind == ActionRelease:
			delete(s.allocations, server+a.Allocation)
		case fault == 3:
			for key := range s.allocations {
				if key[:1] == server {
					delete(s.allocations, key)
				}
			}
			s.enqueue(func() { s.perform(c, c.ProcessEnded(s.now, server)) })
		default:
			s.execute(c, a, fault)
		}
	}
}

// execute carries out an action on an engine; with fault 1 the request is lost, with fault 2 the response.
func (s *simulation) execute(c *Chain, a Action, fault int) {
	server := a.Member.Server
	var response, failure func() []Action
	failure = func() []Action { return c.PartFailed(s.now, server) }
	switch a.Kind {
	case ActionReserve:
		failure = func() []Action { return c.Failed(s.now, server) }
		if !s.hasRoom(c, server) {
			response = func() []Action { return c.Refused(s.now, server, engineapi.RefusalMemory) }
			break
		}
		response = func() []Action { return c.Reserved(s.now, server) }
		if fault != 1 {
			s.allocate(c, server, engineapi.KindReservation)
		}
	case ActionPrefill, ActionDecode:
		response = func() []Action { return c.Prefilled(s.now, server) }
		if a.Kind == ActionDecode {
			s.decodes++
			response = func() []Action { return c.Completed(s.now) }
		}
		if fault != 1 {
			s.allocate(c, server, engineapi.KindSequence)
		}
	case ActionExport:
		response = func() []Action { return c.Exported(s.now, server, AllocationID(c.ID, engineapi.KindExport)) }
		if fault != 1 {
			s.allocate(c, server, engineapi.KindExport)
		}
	}
	if fault != 0 {
		response = failure
	}
	s.enqueue(func() { s.perform(c, response()) })
}

// simulate runs two chains on the same engines for 400 events or ticks, enough for both to end. It returns the number
// of allocations that are still held.
func simulate(rt *rapid.T, configure func(*Chain)) (leftover int, s *simulation) {
	s = &simulation{rt: rt, now: start, allocations: make(map[string]string), gaveUp: make(map[*Chain]Reason)}
	for _, request := range []string{"x", "y"} {
		c := newChain(request)
		configure(c)
		s.chains = append(s.chains, c)
		s.enqueue(func() { s.perform(c, c.Start(s.now)) })
	}
	for range 400 {
		if len(s.pending) > 0 {
			i := rapid.IntRange(0, len(s.pending)-1).Draw(rt, "next")
			event := s.pending[i]
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			event()
			continue
		}
		s.now = s.now.Add(50 * time.Millisecond)
		for _, c := range s.chains {
			s.perform(c, c.Tick(s.now))
		}
	}
	return len(s.allocations), s
}

func TestChainsFreeEverything(t *testing.T) {
	decodes := 0
	rapid.Check(t, func(rt *rapid.T) {
		leftover, s := simulate(rt, func(*Chain) {})
		if leftover != 0 {
			rt.Fatalf("allocations not freed: %v", s.allocations)
		}
		for _, c := range s.chains {
			if c.phase != phaseEnded {
				rt.Fatalf("%s is still in phase %d", c.ID.Request, c.phase)
			}
		}
		decodes += s.decodes
	})
	if decodes == 0 {
		t.Error("no chain reached its last member")
	}
}

// Without one of the two kinds of releases the simulation must find allocations that are not freed.
func TestChainsLeakWithoutReleases(t *testing.T) {
	for name, configure := range map[string]func(*Chain){
		"keeps reservations": func(c *Chain) { c.keepReservations = true },
		"keeps parts":        func(c *Chain) { c.keepParts = true },
	} {
		found := false
		rapid.Check(t, func(rt *rapid.T) {
			leftover, _ := simulate(rt, configure)
			found = found || leftover > 0
		})
		if !found {
			t.Errorf("%s: no leak was found", name)
		}
	}
}

// A member without free memory is asked again while the members before it stay reserved. Once MaxWait is over, all
// reservations are freed, including one that is confirmed later.
func TestReservationWaitsForRoomInOrder(t *testing.T) {
	r := newChain("x").Reservation
	r.Start(start)
	r.Reserved(start, "a")
	if got := r.Refused(start, "b", engineapi.RefusalMemory); got != nil {
		t.Fatalf("gave up at once instead of waiting for memory: %+v", got)
	}
	again := r.Tick(r.Next())
	if len(again) != 1 || again[0].Kind != ActionReserve || again[0].Member.Server != "b" {
		t.Fatalf("got %+v", again)
	}
	late := start.Add(DefaultMaxWait)
	actions := r.Refused(late, "b", engineapi.RefusalMemory)
	if len(actions) != 2 || actions[0].Kind != ActionRelease || actions[0].Member.Server != "a" {
		t.Fatalf("got %+v", actions)
	}
	if over := actions[1]; over.Kind != ActionGiveUp || over.Reason != ReasonMemory || over.RetryAfter == 0 ||
		!over.Replan {
		t.Errorf("got %+v", over)
	}
	if released := r.Reserved(late, "b"); len(released) != 1 || released[0].Kind != ActionRelease {
		t.Errorf("late confirmation: got %+v", released)
	}
}
