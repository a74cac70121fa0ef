package grant

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const capacity = 100_000

func newScheduler(now time.Time) *Scheduler {
	s := &Scheduler{Server: protocol.Server{Name: "g1"}}
	s.SetLoad(now, report(0))
	return s
}

func report(held int64) engineapi.Load {
	return engineapi.Load{
		Models: []string{"m"}, MemoryBytes: capacity, HeldBytes: held, KVBytesPerToken: 1,
		PrefillPerSecond: 20_000, DecodePerSecond: 50,
	}
}

// referenceModel records the decisions of a scheduler and checks each new decision against them.
type referenceModel struct {
	s        *Scheduler
	now      time.Time
	requests map[protocol.AttemptID]protocol.GrantRequest
	pending  map[protocol.AttemptID]time.Time // deadline of each request that waits
	granted  map[protocol.AttemptID]grantedRequest
}

// grantedRequest is a grant in use and the memory that it needs.
type grantedRequest struct {
	grant   protocol.Grant
	bytes   int64
	expires time.Time
}

func newReferenceModel(s *Scheduler) *referenceModel {
	return &referenceModel{
		s: s, now: start, requests: make(map[protocol.AttemptID]protocol.GrantRequest),
		pending: make(map[protocol.AttemptID]time.Time), granted: make(map[protocol.AttemptID]grantedRequest),
	}
}

// apply records decisions. It returns an error if one is invalid or for a request that does not wait.
func (m *referenceModel) apply(decisions []Decision) error {
	for _, d := range decisions {
		deadline, ok := m.pending[d.ID]
		switch {
		case (d.Grant == nil) == (d.Refusal == nil):
			return fmt.Errorf("decision without exactly one of grant and refusal: %+v", d)
		case !ok:
			return fmt.Errorf("decision for %v, which does not wait", d.ID)
		}
		delete(m.pending, d.ID)
		if d.Grant != nil {
			req := m.requests[d.ID]
			m.granted[d.ID] = grantedRequest{grant: *d.Grant, bytes: req.PromptTokens + req.OutputTokens, expires: deadline}
		}
	}
	return m.check()
}

// check returns an error if the grants in use exceed the memory or a request is undecided after its deadline.
func (m *referenceModel) check() error {
	var bytes int64
	for id, g := range m.granted {
		if !g.expires.After(m.now) {
			delete(m.granted, id)
			continue
		}
		bytes += g.bytes
	}
	if bytes > capacity {
		return fmt.Errorf("%d bytes granted of %d", bytes, capacity)
	}
	for id, deadline := range m.pending {
		if m.now.Sub(deadline) > tickInterval {
			return fmt.Errorf("%v undecided %v after its deadline", id, m.now.Sub(deadline))
		}
	}
	return nil
}

// advance advances the time by d and calls Tick whenever it is due.
func (m *referenceModel) advance(d time.Duration) error {
	end := m.now.Add(d)
	for {
		next := m.s.NextTick()
		if next.IsZero() || next.After(end) {
			m.now = end
			return m.check()
		}
		m.now = next
		if err := m.apply(m.s.Tick(m.now)); err != nil {
			return err
		}
	}
}

// request sends a new grant request, or repeats it if its grant is in use and checks that it gets the same grant.
func (m *referenceModel) request(req protocol.GrantRequest) error {
	if g, ok := m.granted[req.ID]; ok {
		again := m.s.Request(m.now, m.requests[req.ID])
		if len(again) != 1 || again[0].Grant == nil || !reflect.DeepEqual(*again[0].Grant, g.grant) {
			return fmt.Errorf("repeated request got another decision: %+v, the grant was %+v", again, g.grant)
		}
		return nil
	}
	if _, ok := m.requests[req.ID]; !ok {
		m.requests[req.ID] = req
		m.pending[req.ID] = m.now.Add(req.TimeLeft)
		return m.apply(m.s.Request(m.now, req))
	}
	return nil
}

// finish ends or withdraws a request and checks that a repeated Finish changes nothing.
func (m *referenceModel) finish(id protocol.AttemptID) error {
	_, waits := m.pending[id]
	_, held := m.granted[id]
	delete(m.pending, id)
	delete(m.granted, id)
	decisions := m.s.Finish(m.now, protocol.GrantRelease{ID: id, OutputTokens: 10})
	if err := m.apply(decisions); err != nil {
		return err
	}
	before := m.s.Grants(m.now)
	if again := m.s.Finish(m.now, protocol.GrantRelease{ID: id}); len(again) > 0 && !waits && !held {
		return fmt.Errorf("repeated finish decided %+v", again)
	}
	if !reflect.DeepEqual(before, m.s.Grants(m.now)) {
		return fmt.Errorf("repeated finish changed the grants in use")
	}
	return nil
}

// makeRandomCalls calls the scheduler at random; pick must return a number from 0 to n-1.
func makeRandomCalls(m *referenceModel, calls int, pick func(n int) int) error {
	for range calls {
		id := protocol.AttemptID{Host: "e1", Request: fmt.Sprint(pick(60))}
		var err error
		switch pick(8) {
		case 0, 1, 2:
			err = m.request(protocol.GrantRequest{
				ID: id, Workspace: fmt.Sprint(pick(3)), Model: "m", Class: protocol.Class(pick(3)), MayQueue: pick(4) > 0,
				PromptTokens: int64(1 + pick(60)*pick(1000)), OutputTokens: int64(1 + pick(200)),
				TimeLeft: time.Duration(1+pick(8000)) * time.Millisecond, Blocks: []uint64{uint64(pick(9))}, BlockTokens: 100,
			})
		case 3:
			err = m.finish(id)
		case 4:
			err = m.apply(m.s.PrefillDone(m.now, id))
		case 5:
			err = m.apply(m.s.SetLoad(m.now, report(int64(pick(capacity/2)))))
		case 6:
			m.s.ApplyCacheEvents(m.now, engineapi.CacheEvents{Events: []engineapi.CacheEvent{{
				Block:  uint64(pick(9)),
				Stored: pick(2) == 0,
			}}})
		default:
			err = m.advance(time.Duration(pick(2000)) * time.Millisecond)
		}
		if err != nil {
			return err
		}
	}
	return m.advance(20 * time.Second)
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if err := makeRandomCalls(newReferenceModel(newScheduler(start)), 150, pick); err != nil {
			t.Fatal(err)
		}
	})
}

// With one protection turned off, the checks of referenceModel must find the violation that it prevents.
func TestInvariantsNeedProtections(t *testing.T) {
	tests := []struct {
		name string
		off  func(*Scheduler)
	}{
		{"memory", func(s *Scheduler) { s.skipMemoryCheck = true }},
		{"refusal in the queue", func(s *Scheduler) { s.skipQueueRefusal = true }},
		{"repeated requests", func(s *Scheduler) { s.skipDuplicateCheck = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(100) {
				s := newScheduler(start)
				tt.off(s)
				random := rand.New(rand.NewPCG(seed, 1))
				if makeRandomCalls(newReferenceModel(s), 150, random.IntN) != nil {
					return
				}
			}
			t.Error("no violation found")
		})
	}
}

// grantedDuringFlood keeps a slow engine busy with short prompts and reports whether request w, whose prompt is
// longer, is granted within its time limit.
func grantedDuringFlood(s *Scheduler, w protocol.GrantRequest) bool {
	now := start
	w.ID, w.MayQueue, w.Model = protocol.AttemptID{Request: "w"}, true, "m"
	s.Request(now, protocol.GrantRequest{
		ID: protocol.AttemptID{Request: "0"}, Model: "m", PromptTokens: 4000,
		OutputTokens: 1, MayQueue: true, TimeLeft: time.Minute,
	})
	decisions := s.Request(now, w)
	running := map[protocol.AttemptID]time.Time{}
	for i := 1; now.Sub(start) < w.TimeLeft; i++ {
		decisions = append(decisions, s.Request(now, protocol.GrantRequest{
			ID: protocol.AttemptID{Request: fmt.Sprint(i)}, Model: "m", PromptTokens: 4000, OutputTokens: 1,
			MayQueue: true, TimeLeft: 3 * time.Second,
		})...)
		decisions = append(decisions, s.Tick(now)...)
		for id, end := range running {
			if !end.After(now) {
				delete(running, id)
				decisions = append(decisions, s.PrefillDone(now, id)...)
				decisions = append(decisions, s.Finish(now, protocol.GrantRelease{ID: id})...)
			}
		}
		for _, d := range decisions {
			if d.Grant != nil && d.ID == w.ID {
				return true
			}
			if d.Grant != nil {
				running[d.ID] = now.Add(200 * time.Millisecond)
			}
		}
		decisions = nil
		now = now.Add(100 * time.Millisecond)
	}
	return false
}

// Without aging, a steady flow of short prompts, which have a higher priority, keeps a longer one waiting forever.
func TestFloodDoesNotStarve(t *testing.T) {
	tests := []struct {
		name string
		req  protocol.GrantRequest
		off  func(*Scheduler)
	}{
		{
			"middle prompt",
			protocol.GrantRequest{PromptTokens: 20_000, OutputTokens: 1, TimeLeft: time.Minute},
			func(s *Scheduler) { s.queue.NoAging = true },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !grantedDuringFlood(newScheduler(start), tt.req) {
				t.Error("not granted within its time limit")
			}
			s := newScheduler(start)
			tt.off(s)
			if grantedDuringFlood(s, tt.req) {
				t.Error("granted with the protection off, so the test shows nothing")
			}
		})
	}
}
