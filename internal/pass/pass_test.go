package pass

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
)

var (
	start  = time.Unix(1000, 0)
	engine = &catalog.Engine{
		Slots: 16, MemoryTokens: 315000, PassSteps: 51, Step: 850 * time.Microsecond,
		StepWriter: 4250 * time.Nanosecond, StepContext: 2850 * time.Nanosecond, ReadRate: 177000,
		PairsTime: 184 * time.Microsecond, ChunkTokens: 2048,
	}
)

func TestReadTime(t *testing.T) {
	for _, test := range []struct {
		tokens, parts int
		want          time.Duration
	}{
		{4960, 1, 30 * time.Millisecond},
		{45000, 1, 440 * time.Millisecond},
		{154000, 1, 3052 * time.Millisecond},
		{154000, 4, 763 * time.Millisecond},
	} {
		got := ReadTime(engine, test.tokens, test.parts)
		if diff := (got - test.want).Abs(); diff > 2*time.Millisecond {
			t.Errorf("%d tokens in %d parts: %v, want about %v", test.tokens, test.parts, got, test.want)
		}
	}
}

func TestArrivalsWaitForThePassUnderWay(t *testing.T) {
	m := NewModel(engine)
	m.Join(start, Read{ID: "a", Tokens: 4960, Time: 30 * time.Millisecond})
	begin, reading := m.NextPass(start.Add(10 * time.Millisecond))
	if begin != start.Add(30*time.Millisecond) || reading != 0 {
		t.Errorf("next pass at %v with %v to read", begin.Sub(start), reading)
	}
	m.Join(start.Add(10*time.Millisecond), Read{ID: "b", Tokens: 4960, Time: 30 * time.Millisecond})
	if _, reading = m.NextPass(start.Add(20 * time.Millisecond)); reading != 30*time.Millisecond {
		t.Errorf("%v waits to be read, want 30ms", reading)
	}
	if begin, _ = m.NextPass(start.Add(40 * time.Millisecond)); begin != start.Add(60*time.Millisecond) {
		t.Errorf("the pass after ends at %v, want 60ms", begin.Sub(start))
	}
}

func TestWritersPauseForReading(t *testing.T) {
	m := NewModel(engine)
	m.Write(start, "w", 5000, false)
	alone := m.Steps(0, 0)
	if alone < 44*time.Millisecond || alone > 46*time.Millisecond {
		t.Errorf("a pass of one writer takes %v, want about 44ms", alone)
	}
	m.Join(start.Add(time.Millisecond), Read{ID: "r", Tokens: 45000, Time: 440 * time.Millisecond})
	begin, _ := m.NextPass(start.Add(alone + time.Millisecond))
	if want := start.Add(2*alone + 440*time.Millisecond); begin != want {
		t.Errorf("the pass with reading ends at %v, want %v", begin.Sub(start), want.Sub(start))
	}
	m.Leave(start.Add(alone+2*time.Millisecond), "w", false)
	if m.Writers() != 0 || m.Steps(0, 0) != 0 {
		t.Error("an engine without writers makes no steps")
	}
}

func TestLongReadGoesOnInLaterPasses(t *testing.T) {
	m := NewModel(engine)
	m.Write(start, "w", 0, false)
	m.Join(start, Read{ID: "r", Tokens: 2 * 51 * 2048, Time: 4 * time.Second})
	alone := m.Steps(0, 0)
	begin, rest := m.NextPass(start.Add(alone + time.Millisecond))
	if want := start.Add(2*alone + 2*time.Second); begin != want || rest != 2*time.Second {
		t.Errorf("first half ends at %v with %v left, want %v with 2s", begin.Sub(start), rest, want.Sub(start))
	}
}

func TestFirstEventMovesThePass(t *testing.T) {
	m := NewModel(engine)
	m.Join(start, Read{ID: "a", Tokens: 4960, Time: 30 * time.Millisecond})
	seen := start.Add(50 * time.Millisecond)
	m.Write(seen, "a", 4960, false)
	if begin, _ := m.NextPass(seen); begin != seen.Add(m.Steps(0, 0)) {
		t.Errorf("the next pass begins %v after the first event, want %v", begin.Sub(seen), m.Steps(0, 0))
	}
}
