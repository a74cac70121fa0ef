package longprompt

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// world holds the engines' memory and the network between them and one or two chains.
type world struct {
	rt     *rapid.T
	now    time.Time
	held   map[string]string // owner of a member's only place for a reservation, by member and allocation
	chains []*Chain
	inbox  []func() // answers under way
	over   map[*Chain]Reason
	ran    int
}

func newChain(request string) *Chain {
	return &Chain{Reservation: Reservation{
		ID:      protocol.AttemptID{Host: "h", Request: request, Attempt: 1},
		Members: []Member{{Server: "a", Tokens: 1}, {Server: "b", Tokens: 1}, {Server: "c", Tokens: 1}},
	}}
}

// room reports whether no other chain has memory on the member.
func (w *world) room(c *Chain, server string) bool {
	for key, owner := range w.held {
		if key[:1] == server && owner != c.ID.Request {
			return false
		}
	}
	return true
}

func (w *world) hold(c *Chain, server, kind string) {
	w.held[server+AllocationID(c.ID, kind)] = c.ID.Request
}

func (w *world) post(event func()) { w.inbox = append(w.inbox, event) }

// perform lets each action succeed, fail before or after its effect, or kill its member, as drawn.
func (w *world) perform(c *Chain, actions []Action) {
	for _, a := range actions {
		server := a.Member.Server
		fault := 0
		if a.Kind != ActionRelease && a.Kind != ActionGiveUp {
			fault = rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2, 3}).Draw(w.rt, "fault")
		}
		switch {
		case a.Kind == ActionGiveUp:
			w.over[c] = a.Reason
		case a.Kind == ActionRelease:
			delete(w.held, server+a.Allocation)
		case fault == 3:
			for key := range w.held {
				if key[:1] == server {
					delete(w.held, key)
				}
			}
			w.post(func() { w.perform(c, c.Died(w.now, server)) })
		default:
			w.step(c, a, fault)
		}
	}
}

// step carries out an action on an engine; fault 1 loses the request and 2 its answer.
func (w *world) step(c *Chain, a Action, fault int) {
	server := a.Member.Server
	var answer, failure func() []Action
	failure = func() []Action { return c.StepFailed(w.now, server) }
	switch a.Kind {
	case ActionReserve:
		failure = func() []Action { return c.Failed(w.now, server) }
		if !w.room(c, server) {
			answer = func() []Action { return c.Refused(w.now, server, engineapi.RefusalMemory) }
			break
		}
		answer = func() []Action { return c.Reserved(w.now, server) }
		if fault != 1 {
			w.hold(c, server, engineapi.KindReservation)
		}
	case ActionPrefill, ActionDecode:
		answer = func() []Action { return c.Prefilled(w.now, server) }
		if a.Kind == ActionDecode {
			w.ran++
			answer = func() []Action { return c.Done(w.now) }
		}
		if fault != 1 {
			w.hold(c, server, engineapi.KindSequence)
		}
	case ActionExport:
		answer = func() []Action { return c.Exported(w.now, server, AllocationID(c.ID, engineapi.KindExport)) }
		if fault != 1 {
			w.hold(c, server, engineapi.KindExport)
		}
	}
	if fault != 0 {
		answer = failure
	}
	w.post(func() { w.perform(c, answer()) })
}

// drive runs two chains over the same engines until nothing happens, and returns what is still held.
func drive(rt *rapid.T, change func(*Chain)) (left int, w *world) {
	w = &world{rt: rt, now: start, held: make(map[string]string), over: make(map[*Chain]Reason)}
	for _, request := range []string{"x", "y"} {
		c := newChain(request)
		change(c)
		w.chains = append(w.chains, c)
		w.post(func() { w.perform(c, c.Start(w.now)) })
	}
	for range 400 {
		if len(w.inbox) > 0 {
			i := rapid.IntRange(0, len(w.inbox)-1).Draw(rt, "next")
			event := w.inbox[i]
			w.inbox = append(w.inbox[:i], w.inbox[i+1:]...)
			event()
			continue
		}
		w.now = w.now.Add(50 * time.Millisecond)
		for _, c := range w.chains {
			w.perform(c, c.Tick(w.now))
		}
	}
	return len(w.held), w
}

func TestChainsFreeEverything(t *testing.T) {
	ran := 0
	rapid.Check(t, func(rt *rapid.T) {
		left, w := drive(rt, func(*Chain) {})
		if left != 0 {
			rt.Fatalf("left over: %v", w.held)
		}
		for _, c := range w.chains {
			if c.step != stepOver {
				rt.Fatalf("%s is still in step %d", c.ID.Request, c.step)
			}
		}
		ran += w.ran
	})
	if ran == 0 {
		t.Error("no chain came to its end")
	}
}

func TestChainsLeakWithoutReleases(t *testing.T) {
	for name, change := range map[string]func(*Chain){
		"keeps reservations": func(c *Chain) { c.keep = true },
		"keeps parts":        func(c *Chain) { c.leaky = true },
	} {
		found := false
		rapid.Check(t, func(rt *rapid.T) {
			left, _ := drive(rt, change)
			found = found || left > 0
		})
		if !found {
			t.Errorf("%s: no leak was found", name)
		}
	}
}

func TestReservationWaitsForRoomInOrder(t *testing.T) {
	r := newChain("x").Reservation
	r.Start(start)
	r.Reserved(start, "a")
	if got := r.Refused(start, "b", engineapi.RefusalMemory); got != nil {
		t.Fatalf("gave up at once: %+v", got)
	}
	again := r.Tick(r.Next())
	if len(again) != 1 || again[0].Kind != ActionReserve || again[0].Member.Server != "b" {
		t.Fatalf("got %+v", again)
	}
	late := start.Add(DefaultPatience)
	actions := r.Refused(late, "b", engineapi.RefusalMemory)
	if len(actions) != 2 || actions[0].Kind != ActionRelease || actions[0].Member.Server != "a" {
		t.Fatalf("got %+v", actions)
	}
	if over := actions[1]; over.Kind != ActionGiveUp || over.Reason != ReasonMemory || over.RetryAfter == 0 || !over.Rebuild {
		t.Errorf("got %+v", over)
	}
	if released := r.Reserved(late, "b"); len(released) != 1 || released[0].Kind != ActionRelease {
		t.Errorf("late confirmation: got %+v", released)
	}
}
