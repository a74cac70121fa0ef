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
	s.Report(now, report(0))
	return s
}

func report(held int64) engineapi.Load {
	return engineapi.Load{
		Models: []string{"m"}, MemoryBytes: capacity, HeldBytes: held, KVBytesPerToken: 1,
		PrefillPerSecond: 20_000, DecodePerSecond: 50,
	}
}

// model follows what a scheduler has answered and checks each answer against it.
type model struct {
	s       *Scheduler
	now     time.Time
	asks    map[protocol.AttemptID]protocol.Ask
	pending map[protocol.AttemptID]time.Time // deadline of each ask that waits
	granted map[protocol.AttemptID]grantOf
}

type grantOf struct {
	grant   protocol.Grant
	bytes   int64
	expires time.Time
}

func newModel(s *Scheduler) *model {
	return &model{
		s: s, now: start, asks: make(map[protocol.AttemptID]protocol.Ask),
		pending: make(map[protocol.AttemptID]time.Time), granted: make(map[protocol.AttemptID]grantOf),
	}
}

func (m *model) take(decisions []Decision) error {
	for _, d := range decisions {
		deadline, ok := m.pending[d.ID]
		switch {
		case (d.Grant == nil) == (d.Refusal == nil):
			return fmt.Errorf("decision %+v", d)
		case !ok:
			return fmt.Errorf("decision for %v, which does not wait", d.ID)
		}
		delete(m.pending, d.ID)
		if d.Grant != nil {
			ask := m.asks[d.ID]
			m.granted[d.ID] = grantOf{grant: *d.Grant, bytes: ask.PromptTokens + ask.OutputTokens, expires: deadline}
		}
	}
	return m.check()
}

func (m *model) check() error {
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

// sleep moves time on and calls Tick whenever it is due.
func (m *model) sleep(d time.Duration) error {
	end := m.now.Add(d)
	for {
		next := m.s.Next()
		if next.IsZero() || next.After(end) {
			m.now = end
			return m.check()
		}
		m.now = next
		if err := m.take(m.s.Tick(m.now)); err != nil {
			return err
		}
	}
}

func (m *model) ask(ask protocol.Ask) error {
	if g, ok := m.granted[ask.ID]; ok {
		again := m.s.Ask(m.now, m.asks[ask.ID])
		if len(again) != 1 || again[0].Grant == nil || !reflect.DeepEqual(*again[0].Grant, g.grant) {
			return fmt.Errorf("repeated ask has another answer: %+v, was %+v", again, g.grant)
		}
		return nil
	}
	if _, ok := m.asks[ask.ID]; !ok {
		m.asks[ask.ID] = ask
		m.pending[ask.ID] = m.now.Add(ask.TimeLeft)
		return m.take(m.s.Ask(m.now, ask))
	}
	return nil
}

func (m *model) finish(id protocol.AttemptID) error {
	_, waits := m.pending[id]
	_, held := m.granted[id]
	delete(m.pending, id)
	delete(m.granted, id)
	decisions := m.s.Finish(m.now, protocol.Finish{ID: id, OutputTokens: 10})
	if err := m.take(decisions); err != nil {
		return err
	}
	before := m.s.Held(m.now)
	if again := m.s.Finish(m.now, protocol.Finish{ID: id}); len(again) > 0 && !waits && !held {
		return fmt.Errorf("repeated finish decided %+v", again)
	}
	if !reflect.DeepEqual(before, m.s.Held(m.now)) {
		return fmt.Errorf("repeated finish changed what is held")
	}
	return nil
}

// drive makes random calls; pick returns a number below n.
func drive(m *model, calls int, pick func(n int) int) error {
	for range calls {
		id := protocol.AttemptID{Host: "e1", Request: fmt.Sprint(pick(60))}
		var err error
		switch pick(8) {
		case 0, 1, 2:
			err = m.ask(protocol.Ask{
				ID: id, Workspace: fmt.Sprint(pick(3)), Model: "m", Class: protocol.Class(pick(3)), Queue: pick(4) > 0,
				PromptTokens: int64(1 + pick(60)*pick(1000)), OutputTokens: int64(1 + pick(200)),
				TimeLeft: time.Duration(1+pick(8000)) * time.Millisecond, Blocks: []uint64{uint64(pick(9))}, BlockTokens: 100,
			})
		case 3:
			err = m.finish(id)
		case 4:
			err = m.take(m.s.Prefilled(m.now, id))
		case 5:
			err = m.take(m.s.Report(m.now, report(int64(pick(capacity/2)))))
		case 6:
			m.s.Cached(m.now, engineapi.CacheEvents{Events: []engineapi.CacheEvent{{Block: uint64(pick(9)), Stored: pick(2) == 0}}})
		default:
			err = m.sleep(time.Duration(pick(2000)) * time.Millisecond)
		}
		if err != nil {
			return err
		}
	}
	return m.sleep(20 * time.Second)
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if err := drive(newModel(newScheduler(start)), 150, pick); err != nil {
			t.Fatal(err)
		}
	})
}

// Shows that the checks find what each protection prevents.
func TestInvariantsNeedProtections(t *testing.T) {
	tests := []struct {
		name string
		off  func(*Scheduler)
	}{
		{"memory", func(s *Scheduler) { s.noMemory = true }},
		{"refusal in the queue", func(s *Scheduler) { s.noRefusal = true }},
		{"identity of asks", func(s *Scheduler) { s.noIdentity = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(100) {
				s := newScheduler(start)
				tt.off(s)
				random := rand.New(rand.NewPCG(seed, 1))
				if drive(newModel(s), 150, random.IntN) != nil {
					return
				}
			}
			t.Error("no violation found")
		})
	}
}

// flood keeps a slow engine busy with short prompts and reports when the prompt w of another length is granted.
func flood(s *Scheduler, w protocol.Ask) bool {
	now := start
	w.ID, w.Queue, w.Model = protocol.AttemptID{Request: "w"}, true, "m"
	s.Ask(now, protocol.Ask{ID: protocol.AttemptID{Request: "0"}, Model: "m", PromptTokens: 4000, OutputTokens: 1, Queue: true, TimeLeft: time.Minute})
	decisions := s.Ask(now, w)
	running := map[protocol.AttemptID]time.Time{}
	for i := 1; now.Sub(start) < w.TimeLeft; i++ {
		decisions = append(decisions, s.Ask(now, protocol.Ask{
			ID: protocol.AttemptID{Request: fmt.Sprint(i)}, Model: "m", PromptTokens: 4000, OutputTokens: 1,
			Queue: true, TimeLeft: 3 * time.Second,
		})...)
		decisions = append(decisions, s.Tick(now)...)
		for id, end := range running {
			if !end.After(now) {
				delete(running, id)
				decisions = append(decisions, s.Prefilled(now, id)...)
				decisions = append(decisions, s.Finish(now, protocol.Finish{ID: id})...)
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

func TestFloodDoesNotStarve(t *testing.T) {
	tests := []struct {
		name string
		ask  protocol.Ask
		off  func(*Scheduler)
	}{
		{"middle prompt", protocol.Ask{PromptTokens: 20_000, OutputTokens: 1, TimeLeft: time.Minute}, func(s *Scheduler) { s.queue.NoAging = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !flood(newScheduler(start), tt.ask) {
				t.Error("starved")
			}
			s := newScheduler(start)
			tt.off(s)
			if flood(s, tt.ask) {
				t.Error("granted with the protection off, so the test shows nothing")
			}
		})
	}
}
