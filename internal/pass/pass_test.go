package pass

import (
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

var (
	start  = time.Unix(1000, 0)
	engine = passes.SampleEngine()
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if (got - want).Abs() > 2*time.Millisecond {
		t.Errorf("%s: %v, want about %v", what, got, want)
	}
}

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
		near(t, "read", ReadTime(engine, test.tokens, test.parts), test.want)
	}
}

func TestEngineWithoutWritersReadsAtOnce(t *testing.T) {
	m := NewModel(engine)
	m.Join(at(0), Read{ID: "a", Tokens: 40000, Time: 400 * time.Millisecond})
	o := m.Outlook(at(100))
	if o.Begin != at(100) {
		t.Errorf("begins at %v", o.Begin.Sub(start))
	}
	near(t, "own reading left", o.Own, 300*time.Millisecond)
	if o = m.Outlook(at(500)); o.Own != 0 {
		t.Errorf("%v left of what is read", o.Own)
	}
}

func TestPartsGoBeforeOwnPrompts(t *testing.T) {
	m := NewModel(engine)
	m.Join(at(0), Read{ID: "own", Tokens: 40000, Time: 400 * time.Millisecond})
	m.Join(at(100), Read{ID: "part", Tokens: 20000, Time: 200 * time.Millisecond, Part: true})
	o := m.Outlook(at(200))
	near(t, "part left", o.Parts, 100*time.Millisecond)
	near(t, "own left", o.Own, 300*time.Millisecond)
	o = m.Outlook(at(400))
	near(t, "own left later", o.Own, 200*time.Millisecond)
}

func TestWritersPauseForReading(t *testing.T) {
	m := NewModel(engine)
	m.Write(at(0), "w", 5000, false)
	alone := m.Steps(0, 0)
	near(t, "pass of one writer", alone, 44*time.Millisecond)
	m.Join(at(1), Read{ID: "r", Tokens: 45000, Time: 440 * time.Millisecond})
	o := m.Outlook(at(1).Add(alone))
	near(t, "end of the pass with reading", o.Begin.Sub(start), 2*alone+440*time.Millisecond)
	m.Leave(at(1).Add(alone), "w", false)
	if m.Writers() != 0 || m.Steps(0, 0) != 0 {
		t.Error("an engine without writers makes no steps")
	}
}

func TestLongReadGoesOnInLaterPasses(t *testing.T) {
	m := NewModel(engine)
	m.Write(at(0), "w", 0, false)
	m.Join(at(0), Read{ID: "r", Tokens: 2 * 51 * 2048, Time: 4 * time.Second})
	alone := m.Steps(0, 0)
	o := m.Outlook(at(1).Add(alone))
	near(t, "first half ends", o.Begin.Sub(start), 2*alone+2*time.Second)
	near(t, "reading left", o.Own, 2*time.Second)
}

func TestFirstEventMovesThePass(t *testing.T) {
	m := NewModel(engine)
	m.Write(at(0), "w", 4960, false)
	m.Join(at(1), Read{ID: "a", Tokens: 4960, Time: 30 * time.Millisecond})
	seen := at(150)
	m.Write(seen, "a", 4960, false)
	if o := m.Outlook(seen); o.Begin != seen.Add(m.Steps(0, 0)) {
		t.Errorf("the next pass begins %v after the first event, want %v", o.Begin.Sub(seen), m.Steps(0, 0))
	}
}

func TestSlowEngineTakesLonger(t *testing.T) {
	m := NewModel(engine)
	m.Pace = 4
	m.Join(at(0), Read{ID: "a", Tokens: 4960, Time: 30 * time.Millisecond})
	near(t, "left after 60 ms", m.Outlook(at(60)).Own, 60*time.Millisecond)
}

func TestReadingGoesOnWhenTheLastWriterLeaves(t *testing.T) {
	m := NewModel(engine)
	m.Write(at(0), "w", 0, false)
	m.Join(at(1), Read{ID: "r", Tokens: 40000, Time: 400 * time.Millisecond})
	m.Leave(at(50), "w", false)
	near(t, "a prompt that arrives then begins after", m.Outlook(at(50)).Begin.Sub(at(50)), 437*time.Millisecond)
}

func TestPromptWithoutFirstEventIsStillToBeRead(t *testing.T) {
	m := NewModel(engine)
	m.Write(at(0), "w", 0, false)
	m.Join(at(30), Read{ID: "a", Tokens: 4000, Time: 20 * time.Millisecond})
	m.Join(at(40), Read{ID: "b", Tokens: 40000, Time: 300 * time.Millisecond})
	m.Advance(at(60)) // by the model both are being read
	m.Write(at(80), "a", 0, false)
	o := m.Outlook(at(81))
	near(t, "next pass begins after b", o.Begin.Sub(at(80)), m.Steps(0, 0)+300*time.Millisecond)
	m.Write(at(82), "b", 0, false)
	near(t, "next pass begins without b", m.Outlook(at(83)).Begin.Sub(at(82)), m.Steps(0, 0))
}
