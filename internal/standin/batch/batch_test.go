package batch

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drain advances the engine until nothing is due. It returns the time of the last event of each kind and id.
func drain(e *Engine) map[EventKind]map[string]time.Time {
	seen := make(map[EventKind]map[string]time.Time)
	for {
		at, ok := e.Next()
		if !ok {
			return seen
		}
		for _, ev := range e.Advance(at) {
			if seen[ev.Kind] == nil {
				seen[ev.Kind] = make(map[string]time.Time)
			}
			seen[ev.Kind][ev.ID] = ev.At
		}
	}
}

func TestFirstTokenTime(t *testing.T) {
	tests := []struct {
		name    string
		tokens  int64
		atLeast time.Duration
		atMost  time.Duration
	}{
		{"1000 tokens", 1_000, 25 * time.Millisecond, 50 * time.Millisecond},
		{"200000 tokens", 200_000, 5 * time.Second, 7 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &Engine{}
			if err := e.Submit(start, Job{ID: "a", PromptTokens: tt.tokens, OutputTokens: 100}); err != nil {
				t.Fatal(err)
			}
			seen := drain(e)
			first := seen[EventFirstToken]["a"].Sub(start)
			if first < tt.atLeast || first > tt.atMost {
				t.Errorf("first token after %v", first)
			}
			if seen[EventEnd]["a"].Before(seen[EventFirstToken]["a"].Add(99 * DefaultStepTime)) {
				t.Errorf("ended too early at %v", seen[EventEnd]["a"].Sub(start))
			}
		})
	}
}

func TestNewJobJoinsLongDecode(t *testing.T) {
	e := &Engine{}
	_ = e.Submit(start, Job{ID: "a", PromptTokens: 1000, OutputTokens: 10_000})
	at := start.Add(10 * time.Second)
	_ = e.Submit(at, Job{ID: "b", PromptTokens: 1000, OutputTokens: 1})
	if got := drain(e)[EventFirstToken]["b"].Sub(at); got > 100*time.Millisecond {
		t.Errorf("first token %v after the job was submitted to a decoding engine", got)
	}
}

func TestPrefixCache(t *testing.T) {
	e := &Engine{MemoryBytes: 10 * DefaultBlockTokens * DefaultKVBytesPerToken}
	_ = e.Submit(start, Job{ID: "a", PromptTokens: 4096, OutputTokens: 1, Blocks: []uint64{1, 2, 3, 4}})
	drain(e)
	if got := e.CachedTokens([]uint64{1, 2, 9}); got != 2048 {
		t.Errorf("cached %d tokens, want 2048", got)
	}
	_ = e.Submit(start.Add(time.Minute), Job{ID: "b", PromptTokens: 8192, OutputTokens: 1, Blocks: []uint64{5}})
	seen := drain(e)
	if len(seen[EventEvicted]) == 0 || e.CachedTokens([]uint64{1, 2, 3, 4}) != 1024 {
		t.Errorf("eviction left %d tokens of the prefix", e.CachedTokens([]uint64{1, 2, 3, 4}))
	}
}

func TestJobTakesOverReservation(t *testing.T) {
	e := &Engine{}
	if err := e.Reserve(start, "r", DefaultMemoryTokens*DefaultKVBytesPerToken, start.Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	_ = e.Submit(start, Job{ID: "a", PromptTokens: 1000, OutputTokens: 1})
	_ = e.Submit(start, Job{ID: "b", PromptTokens: 300_000, OutputTokens: 1, Reservation: "r", Priority: 1})
	seen := drain(e)
	if seen[EventEnd]["b"].Sub(start) > 20*time.Second {
		t.Errorf("the job with the reservation ended only after %v", seen[EventEnd]["b"].Sub(start))
	}
	if seen[EventEnd]["a"].IsZero() {
		t.Error("the waiting job never ran")
	}
}

func TestExport(t *testing.T) {
	e := &Engine{}
	_ = e.Submit(start, Job{ID: "a", PromptTokens: 300_000, PrefillOnly: true})
	drain(e)
	at := start.Add(time.Minute)
	if err := e.Export(at, "a", "x", at.Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if got, _ := e.AllocationBytes("x"); got != 300_000*DefaultKVBytesPerToken {
		t.Errorf("export holds %d bytes", got)
	}
	drain(e)
	if e.Load().HeldBytes != 0 {
		t.Error("memory of an expired export is still held")
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		job  Job
		want string
	}{
		{"larger than memory", Job{ID: "a", PromptTokens: 1_000_000}, engineapi.RefusalMemory},
		{"no id", Job{PromptTokens: 1}, engineapi.RefusalInvalid},
		{"unknown reservation", Job{ID: "a", PromptTokens: 1, Reservation: "r"}, engineapi.RefusalNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := (&Engine{}).Submit(start, tt.job)
			var refusal *Error
			if !errors.As(err, &refusal) || refusal.Kind != tt.want {
				t.Errorf("got %v, want %s", err, tt.want)
			}
		})
	}
}

// TestMemoryAccounting checks after each of a series of random calls that Engine.heldTokens is the sum of all
// allocations and that the memory in use does not exceed the engine's. When all jobs have ended and all allocations
// have expired, no memory may be held.
func TestMemoryAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &Engine{MemoryBytes: 20_000 * DefaultKVBytesPerToken}
		now := start
		ids := []string{"a", "b", "c", "d", "e"}
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			expiry := now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ttl")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0, 1:
				n := rapid.IntRange(0, 4).Draw(t, "blocks")
				_ = e.Submit(now, Job{
					ID: id, PromptTokens: int64(rapid.IntRange(1, 9000).Draw(t, "prompt")), Expiry: expiry,
					OutputTokens: int64(rapid.IntRange(0, 300).Draw(t, "output")), Blocks: []uint64{1, 2, 3, 4}[:n],
					PrefillOnly: rapid.Bool().Draw(t, "prefill"), Reservation: rapid.SampledFrom([]string{"", "r"}).Draw(t, "r"),
				})
			case 2:
				_ = e.Reserve(now, "r", int64(rapid.IntRange(0, 9000).Draw(t, "reserve"))*DefaultKVBytesPerToken, expiry)
			case 3:
				_ = e.Export(now, id, id+".x", expiry)
			case 4:
				e.Release(now, id)
			}
			checkMemoryAccounting(t, e)
			e.Advance(now)
		}
		drain(e)
		checkMemoryAccounting(t, e)
		if l := e.Load(); l.HeldBytes != 0 {
			t.Fatalf("%d bytes still held after all jobs have ended", l.HeldBytes)
		}
	})
}

// checkMemoryAccounting compares Engine.heldTokens with the allocations, the memory in use with the capacity, and the
// number of pinned and evictable blocks with the number of cached blocks.
func checkMemoryAccounting(t *rapid.T, e *Engine) {
	var sum int64
	for _, a := range e.allocations {
		sum += a.tokens
	}
	if sum != e.heldTokens {
		t.Fatalf("allocations add up to %d tokens, heldTokens is %d", sum, e.heldTokens)
	}
	if e.heldTokens+e.cache.tokens(e.BlockTokens) > e.capacityTokens() {
		t.Fatal("memory in use exceeds the engine's memory")
	}
	if int64(e.cache.evictable.Len())+e.cache.pinnedBlocks != int64(len(e.cache.blocks)) {
		t.Fatal("pinned and evictable blocks do not add up to the cached blocks")
	}
}

func BenchmarkEngine(b *testing.B) {
	e := &Engine{}
	now := start
	for i := range b.N {
		now = now.Add(40 * time.Millisecond)
		id := string(rune('a' + i%64))
		_ = e.Submit(now, Job{ID: id, PromptTokens: 1000, OutputTokens: 60})
		e.Advance(now)
	}
}
