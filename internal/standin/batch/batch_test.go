package batch

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drain advances until nothing is due and returns the time of the last event of each kind and id.
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
		name   string
		tokens int64
		least  time.Duration
		most   time.Duration
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
			first := seen[EventFirst]["a"].Sub(start)
			if first < tt.least || first > tt.most {
				t.Errorf("first token after %v", first)
			}
			if seen[EventEnd]["a"].Before(seen[EventFirst]["a"].Add(99 * DefaultStepTime)) {
				t.Errorf("ended too early at %v", seen[EventEnd]["a"].Sub(start))
			}
		})
	}
}

func TestNewcomerJoinsLongDecode(t *testing.T) {
	e := &Engine{}
	_ = e.Submit(start, Job{ID: "a", PromptTokens: 1000, OutputTokens: 10_000})
	at := start.Add(10 * time.Second)
	_ = e.Submit(at, Job{ID: "b", PromptTokens: 1000, OutputTokens: 1})
	if got := drain(e)[EventFirst]["b"].Sub(at); got > 100*time.Millisecond {
		t.Errorf("waited %v for a running decode", got)
	}
}

func TestPrefixCache(t *testing.T) {
	e := &Engine{MemoryBytes: 10 * DefaultBlockTokens * DefaultKVBytesPerToken}
	_ = e.Submit(start, Job{ID: "a", PromptTokens: 4096, OutputTokens: 1, Blocks: []uint64{1, 2, 3, 4}})
	drain(e)
	if got := e.Cached([]uint64{1, 2, 9}); got != 2048 {
		t.Errorf("cached %d tokens", got)
	}
	_ = e.Submit(start.Add(time.Minute), Job{ID: "b", PromptTokens: 8192, OutputTokens: 1, Blocks: []uint64{5}})
	seen := drain(e)
	if len(seen[EventEvicted]) == 0 || e.Cached([]uint64{1, 2, 3, 4}) != 1024 {
		t.Errorf("eviction left %d tokens of the prefix", e.Cached([]uint64{1, 2, 3, 4}))
	}
}

func TestReservationWakesWaitingJob(t *testing.T) {
	e := &Engine{}
	if err := e.Reserve(start, "r", DefaultMemoryTokens*DefaultKVBytesPerToken, start.Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	_ = e.Submit(start, Job{ID: "a", PromptTokens: 1000, OutputTokens: 1})
	_ = e.Submit(start, Job{ID: "b", PromptTokens: 300_000, OutputTokens: 1, Reservation: "r", Priority: 1})
	seen := drain(e)
	if seen[EventEnd]["b"].Sub(start) > 20*time.Second {
		t.Errorf("the reservation's own job ended only after %v", seen[EventEnd]["b"].Sub(start))
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
	if got, _ := e.Bytes("x"); got != 300_000*DefaultKVBytesPerToken {
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

// TestMemoryAccounting checks after random calls that the held memory is what the allocations add up to, that it
// never exceeds the engine's memory, and that all of it is free at the end.
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
			checkAccounts(t, e)
			e.Advance(now)
		}
		drain(e)
		checkAccounts(t, e)
		if l := e.Load(); l.HeldBytes != 0 {
			t.Fatalf("%d bytes held after the end", l.HeldBytes)
		}
	})
}

func checkAccounts(t *rapid.T, e *Engine) {
	var sum int64
	for _, a := range e.owned {
		sum += a.tokens
	}
	if sum != e.held {
		t.Fatalf("allocations add up to %d tokens, held are %d", sum, e.held)
	}
	if e.held+e.cache.tokens(e.BlockTokens) > e.capacityTokens() {
		t.Fatal("more memory in use than there is")
	}
	if int64(e.cache.idle.Len())+e.cache.pinned != int64(len(e.cache.blocks)) {
		t.Fatal("cached blocks are neither pinned nor evictable")
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
