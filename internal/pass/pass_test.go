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

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// near checks that got is within 2 ms of want.
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
		near(t, "prefill time", ReadTime(engine, test.tokens, test.parts), test.want)
	}
}

func TestPrefillStartsAtOnceWhenNoRequestDecodes(t *testing.T) {
	m := NewModel(engine)
	m.Join(at(0), Read{ID: "a", Tokens: 40000, Time: 400 * time.Millisecond})
	o := m.Outlook(at(100))
	if o.Begin != at(100) {
		t.Errorf("a prompt that arrives at 100 ms begins at %v, want 100 ms", o.Begin.Sub(start))
	}
	near(t, "own prefill time left", o.Own, 300*time.Millisecond)
	if o = m.Outlook(at(500)); o.Own != 0 {
		t.Errorf("%v of prefill time left after the prompt was prefilled", o.Own)
	}
}

func TestPartsArePrefilledBeforeOwnPrompts(t *testing.T) {
	m := NewModel(engine)
	m.Join(at(0), Read{ID: "own", Tokens: 40000, Time: 400 * time.Millisecond})
	m.Join(at(100), Read{ID: "part", Tokens: 20000, Time: 200 * time.Millisecond, Part: true})
	o := m.Outlook(at(200))
	near(t, "prefill time of parts left", o.Parts, 100*time.Millisecond)
	near(t, "own prefill time left", o.Own, 300*time.Millisecond)
	o = m.Outlook(at(400))
	near(t, "own prefill time left later", o.Own, 200*time.Millisecond)
}

func TestPrefillLengthensPasses(t *testing.T) {
	m := NewModel(engine)
	m.Write(at(0), "w", 5000, false)
	noPrefill := m.Steps(0, 0)
	near(t, "pass with one decoding request", noPrefill, 44*time.Millisecond)
	m.Join(at(1), Read{ID: "r", Tokens: 45000, Time: 440 * time.Millisecond})
	o := m.Outlook(at(1).Add(noPrefill))
	near(t, "end of the pass with prefill", o.Begin.Sub(start), 2*noPrefill+440*time.Millisecond)
	m.Leave(at(1).Add(noPrefill), "w", false)
	if m.Writers() != 0 || m.Steps(0, 0) != 0 {
		t.Error("an engine without decoding requests has decode steps")
	}
}

func TestLongPrefillContinuesInLaterPasses(t *testing.T) {
	m := NewModel(engine)
	m.Write(at(0), "w", 0, false)
	m.Join(at(0), Read{ID: "r", Tokens: 2 * 51 * 2048, Time: 4 * time.Second})
	noPrefill := m.Steps(0, 0)
	o := m.Outlook(at(1).Add(noPrefill))
	near(t, "end of the pass with the first half", o.Begin.Sub(start), 2*noPrefill+2*time.Second)
	near(t, "prefill time left", o.Own, 2*time.Second)
}

func TestFirstEventBeginsNewPass(t *testing.T) {
	m := NewModel(engine)
	m.Write(at(0), "w", 4960, false)
	m.Join(at(1), Read{ID: "a", Tokens: 4960, Time: 30 * time.Millisecond})
	firstEvent := at(150)
	m.Write(firstEvent, "a", 4960, false)
	if o := m.Outlook(firstEvent); o.Begin != firstEvent.Add(m.Steps(0, 0)) {
		t.Errorf("the next pass begins %v after the first event, want %v", o.Begin.Sub(firstEvent), m.Steps(0, 0))
	}
}

func TestPaceScalesPrefillTime(t *testing.T) {
	m := NewModel(engine)
	m.Pace = 4
	m.Join(at(0), Read{ID: "a", Tokens: 4960, Time: 30 * time.Millisecond})
	near(t, "prefill time left after 60 ms", m.Outlook(at(60)).Own, 60*time.Millisecond)
}

func TestPassEndsAsPredictedWhenLastDecodingRequestLeaves(t *testing.T) {
	m := NewModel(engine)
	m.Write(at(0), "w", 0, false)
	m.Join(at(1), Read{ID: "r", Tokens: 40000, Time: 400 * time.Millisecond})
	m.Leave(at(50), "w", false)
	near(t, "time until a new prompt begins", m.Outlook(at(50)).Begin.Sub(at(50)), 437*time.Millisecond)
}

func TestPromptWithoutFirstEventReturnsToQueue(t *testing.T) {
	m := NewModel(engine)
	m.Write(at(0), "w", 0, false)
	m.Join(at(30), Read{ID: "a", Tokens: 4000, Time: 20 * time.Millisecond})
	m.Join(at(40), Read{ID: "b", Tokens: 40000, Time: 300 * time.Millisecond})
	m.Advance(at(60)) // the model now has both prompts in the current pass
	m.Write(at(80), "a", 0, false)
	o := m.Outlook(at(81))
	near(t, "next pass begins after the prefill of b", o.Begin.Sub(at(80)), m.Steps(0, 0)+300*time.Millisecond)
	m.Write(at(82), "b", 0, false)
	near(t, "next pass begins without the prefill of b", m.Outlook(at(83)).Begin.Sub(at(82)), m.Steps(0, 0))
}
