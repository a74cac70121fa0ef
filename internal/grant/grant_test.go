package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// newRequest returns a grant request with a time limit of 20 s.
func newRequest(name string, tokens int64, queue bool) protocol.GrantRequest {
	return protocol.GrantRequest{
		ID: protocol.AttemptID{Host: "e1", Request: name}, Model: "m", PromptTokens: tokens, OutputTokens: 10,
		TimeLeft: 20 * time.Second, MayQueue: queue,
	}
}

// result returns the refusal of the first decision, "granted" for a grant, or "waits" if there is no decision.
func result(d []Decision) protocol.RefusalKind {
	switch {
	case len(d) == 0:
		return "waits"
	case d[0].Grant != nil:
		return "granted"
	}
	return d[0].Refusal.Kind
}

func TestAsk(t *testing.T) {
	suspect := newRequest("b", 1000, false)
	suspect.Suspect = true
	other := newRequest("b", 1000, false)
	other.Model = "x"
	tests := []struct {
		name   string
		before func(*Scheduler)
		req    protocol.GrantRequest
		want   protocol.RefusalKind
	}{
		{"idle", nil, newRequest("b", 1000, false), "granted"},
		{
			"busy", func(s *Scheduler) { s.Request(start, newRequest("a", 4000, false)) }, newRequest("b", 1000, false),
			protocol.RefusalBusy,
		},
		{
			"busy and queues", func(s *Scheduler) { s.Request(start, newRequest("a", 4000, false)) },
			newRequest("b", 1000, true), "waits",
		},
		{
			"prefilled before a longer prompt", func(s *Scheduler) { s.Request(start, newRequest("a", 20_000, false)) },
			newRequest("b", 1000, false), "granted",
		},
		{"larger than the memory", nil, newRequest("b", capacity, true), protocol.RefusalMemory},
		{"deadline cannot be met", func(s *Scheduler) { s.load.PrefillPerSecond = 10 }, newRequest("b", 1000, true), protocol.RefusalDeadline},
		{"other model", nil, other, protocol.RefusalModel},
		{
			"leaving", func(s *Scheduler) { s.SetLoad(start, engineapi.Load{Leaving: true}) }, newRequest("b", 1, true),
			protocol.RefusalLeaving,
		},
		{"down", func(s *Scheduler) { s.SetUnhealthy(start, true) }, newRequest("b", 1, true), protocol.RefusalUnhealthy},
		{
			"withdrawn before it came",
			func(s *Scheduler) { s.Finish(start, protocol.GrantRelease{ID: newRequest("b", 1, true).ID}) },
			newRequest("b", 1, true), protocol.RefusalBusy,
		},
		{"suspect beside another", func(s *Scheduler) {
			a := newRequest("a", 1, false)
			a.Suspect = true
			s.Request(start, a)
		}, suspect, protocol.RefusalSuspect},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScheduler(start)
			if tt.before != nil {
				tt.before(s)
			}
			if got := result(s.Request(start, tt.req)); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

func TestQueuedAskIsGrantedAndExpires(t *testing.T) {
	s := newScheduler(start)
	s.Request(start, newRequest("a", 4000, false))
	s.Request(start, newRequest("b", 4000, true))
	if got := result(s.PrefillDone(start.Add(200*time.Millisecond), newRequest("a", 0, false).ID)); got != "granted" {
		t.Errorf("after the first token of the granted prompt: %s", got)
	}
	s.Tick(start.Add(time.Minute))
	if held := s.Grants(start.Add(time.Minute)); len(held) != 0 {
		t.Errorf("held after expiry: %v", held)
	}
}

// A scheduler that takes over a backend server must not grant before the first load report, must not refuse for an
// assumed rate, and must restore the grants of the scheduler before it.
func TestTakeover(t *testing.T) {
	s := &Scheduler{Server: protocol.Server{Name: "g1"}}
	if got := result(s.Request(start, newRequest("a", 1000, false))); got != protocol.RefusalBusy {
		t.Errorf("before the first report: %s", got)
	}
	shortDeadline := newRequest("h", 1_000_000, true)
	shortDeadline.TimeLeft = time.Second
	if got := result(s.Request(start, shortDeadline)); got != "waits" {
		t.Errorf("decided before the first load report: %s", got)
	}
	if d := s.Tick(start.Add(500 * time.Millisecond)); len(d) != 0 {
		t.Errorf("decided before the first load report and the deadline: %+v", d)
	}
	if got := result(s.Tick(start.Add(2 * time.Second))); got != protocol.RefusalDeadline {
		t.Errorf("after its deadline: %s", got)
	}
	s.SetLoad(start, report(95_000))
	if got := result(s.Request(start, newRequest("b", 10_000, false))); got != protocol.RefusalBusy {
		t.Errorf("with memory held by grants that the scheduler does not know: %s", got)
	}
	old := protocol.HeldGrant{
		ID: protocol.AttemptID{Request: "old"}, Model: "m", PromptTokens: 90_000, Bytes: 95_000,
		Expiry: time.Second,
	}
	s.Refresh(start, protocol.Refresh{Grants: []protocol.HeldGrant{old}})
	if held := s.Grants(start); len(held) != 1 || held[0].Bytes != 95_000 {
		t.Errorf("held after the refresh: %v", held)
	}
	s.Finish(start, protocol.GrantRelease{ID: old.ID})
	if got := result(s.Request(start, newRequest("c", 10_000, false))); got != "granted" {
		t.Errorf("after the old grant ended: %s", got)
	}
}

func TestCache(t *testing.T) {
	s := newScheduler(start)
	a := newRequest("a", 4000, false)
	a.Blocks, a.BlockTokens = []uint64{1, 2, 3}, 1000
	s.Request(start, a)
	s.PrefillDone(start, a.ID)
	b := a
	b.ID.Request = "b"
	if d := s.Request(start.Add(time.Second), b); d[0].Grant.CachedTokens != 3000 {
		t.Errorf("%d tokens cached by the first prompt", d[0].Grant.CachedTokens)
	}
	s.SetLoad(start, report(0))
	for block := range uint64(97) {
		s.ApplyCacheEvents(start, engineapi.CacheEvents{Events: []engineapi.CacheEvent{{Block: 100 + block, Stored: true}}})
	}
	if got := s.cachedTokens(a); got != 3000 || len(s.cache.blocks) != 100 {
		t.Errorf("%d tokens cached and %d blocks known where 100 fit", got, len(s.cache.blocks))
	}
	s.ApplyCacheEvents(start, engineapi.CacheEvents{Events: []engineapi.CacheEvent{{Block: 2}}})
	if got := s.cachedTokens(a); got != 1000 {
		t.Errorf("%d tokens cached after an eviction", got)
	}
	s.ApplyCacheEvents(start, engineapi.CacheEvents{Events: []engineapi.CacheEvent{
		{Block: 500, Stored: true},
		{Block: 501, Stored: true},
	}})
	if len(s.cache.blocks) != 100 {
		t.Errorf("%d blocks known where 100 fit", len(s.cache.blocks))
	}
}

func TestSubsetFollowsDemand(t *testing.T) {
	rows := func(long float64) []protocol.Row {
		list := make([]protocol.Row, 5)
		for i := range list {
			list[i] = protocol.Row{Server: fmt.Sprint("g", i), LongDemand: long, ShortDemand: 100 - long}
		}
		return list
	}
	size := func(now time.Time, long float64, s []*Scheduler) int {
		n := 0
		for _, x := range s {
			x.UpdateSubset(now, rows(long))
			if x.Row(now).ForLongPrompts {
				n++
			}
		}
		return n
	}
	var all []*Scheduler
	for i := range 5 {
		all = append(all, &Scheduler{Server: protocol.Server{Name: fmt.Sprint("g", i)}})
	}
	steps := []struct {
		at   time.Duration
		long float64
		want int
	}{
		{0, 0, 0},
		{time.Second, 40, 2},
		{2 * time.Second, 50, 2},
		{30 * time.Second, 54, 2},
		{31 * time.Second, 80, 2},
		{32 * time.Second, 80, 2},
		{42 * time.Second, 80, 4},
		{43 * time.Second, 100, 4},
	}
	for _, step := range steps {
		if got := size(start.Add(step.at), step.long, all); got != step.want {
			t.Errorf("%v with %v%% long: %d engines, want %d", step.at, step.long, got, step.want)
		}
	}
}

func benchmarkAsk(b *testing.B, held int) {
	s := newScheduler(start)
	s.MaxRunning = held + 2
	for i := range held {
		s.Request(start, newRequest(fmt.Sprint(i), 100, false))
		s.PrefillDone(start, newRequest(fmt.Sprint(i), 100, false).ID)
	}
	req := newRequest("x", 100, false)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		req.ID.Attempt = uint32(i)
		s.Request(start, req)
		s.Finish(start, protocol.GrantRelease{ID: req.ID})
		if len(s.finished) > 1000 {
			clear(s.finished)
			s.freed = s.freed[:0]
		}
	}
}

func BenchmarkAskAndFinishBeside4(b *testing.B)  { benchmarkAsk(b, 4) }
func BenchmarkAskAndFinishBeside64(b *testing.B) { benchmarkAsk(b, 64) }
