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

func TestPrefillTime(t *testing.T) {
	for _, test := range []struct {
		tokens, parts int
		want          time.Duration
	}{
		{4960, 1, 30 * time.Millisecond},
		{45000, 1, 440 * time.Millisecond},
		{154000, 1, 3052 * time.Millisecond},
		{154000, 4, 763 * time.Millisecond},
	} {
		near(t, "prefill time", PrefillTime(engine, test.tokens, test.parts), test.want)
	}
}

func TestPrefillStartsAtOnceWhenNoRequestDecodes(t *testing.T) {
	m := NewModel(engine)
	m.AddPrefill(at(0), Prefill{ID: "a", Tokens: 40000, Time: 400 * time.Millisecond})
	f := m.Forecast(at(100))
	if f.NextPass != at(100) {
		t.Errorf("a prompt that arrives at 100 ms begins at %v, want 100 ms", f.NextPass.Sub(start))
	}
	near(t, "own prefill time left", f.QueuedOwn, 300*time.Millisecond)
	if f = m.Forecast(at(500)); f.QueuedOwn != 0 {
		t.Errorf("%v of prefill time left after the prompt was prefilled", f.QueuedOwn)
	}
}

func TestPartsArePrefilledBeforeOwnPrompts(t *testing.T) {
	m := NewModel(engine)
	m.AddPrefill(at(0), Prefill{ID: "own", Tokens: 40000, Time: 400 * time.Millisecond})
	m.AddPrefill(at(100), Prefill{ID: "part", Tokens: 20000, Time: 200 * time.Millisecond, Part: true})
	f := m.Forecast(at(200))
	near(t, "prefill time of parts left", f.QueuedParts, 100*time.Millisecond)
	near(t, "own prefill time left", f.QueuedOwn, 300*time.Millisecond)
	f = m.Forecast(at(400))
	near(t, "own prefill time left later", f.QueuedOwn, 200*time.Millisecond)
}

func TestPrefillLengthensPasses(t *testing.T) {
	m := NewModel(engine)
	m.StartDecoding(at(0), "w", 5000, false)
	noPrefill := m.DecodeTime(0, 0)
	near(t, "pass with one decoding request", noPrefill, 44*time.Millisecond)
	m.AddPrefill(at(1), Prefill{ID: "r", Tokens: 45000, Time: 440 * time.Millisecond})
	f := m.Forecast(at(1).Add(noPrefill))
	near(t, "end of the pass with prefill", f.NextPass.Sub(start), 2*noPrefill+440*time.Millisecond)
	m.Remove(at(1).Add(noPrefill), "w", false)
	if m.DecodingRequests() != 0 || m.DecodeTime(0, 0) != 0 {
		t.Error("an engine without decoding requests has decode steps")
	}
}

func TestLongPrefillContinuesInLaterPasses(t *testing.T) {
	m := NewModel(engine)
	m.StartDecoding(at(0), "w", 0, false)
	m.AddPrefill(at(0), Prefill{ID: "r", Tokens: 2 * 51 * 2048, Time: 4 * time.Second})
	noPrefill := m.DecodeTime(0, 0)
	f := m.Forecast(at(1).Add(noPrefill))
	near(t, "end of the pass with the first half", f.NextPass.Sub(start), 2*noPrefill+2*time.Second)
	near(t, "prefill time left", f.QueuedOwn, 2*time.Second)
}

func TestFirstEventBeginsNewPass(t *testing.T) {
	m := NewModel(engine)
	m.StartDecoding(at(0), "w", 4960, false)
	m.AddPrefill(at(1), Prefill{ID: "a", Tokens: 4960, Time: 30 * time.Millisecond})
	firstEvent := at(150)
	m.StartDecoding(firstEvent, "a", 4960, false)
	if f := m.Forecast(firstEvent); f.NextPass != firstEvent.Add(m.DecodeTime(0, 0)) {
		t.Errorf("the next pass begins %v after the first event, want %v", f.NextPass.Sub(firstEvent), m.DecodeTime(0, 0))
	}
}

func TestSlowdownScalesPrefillTime(t *testing.T) {
	m := NewModel(engine)
	m.Slowdown = 4
	m.AddPrefill(at(0), Prefill{ID: "a", Tokens: 4960, Time: 30 * time.Millisecond})
	near(t, "prefill time left after 60 ms", m.Forecast(at(60)).QueuedOwn, 60*time.Millisecond)
}

func TestPassEndsAsPredictedWhenLastDecodingRequestLeaves(t *testing.T) {
	m := NewModel(engine)
	m.StartDecoding(at(0), "w", 0, false)
	m.AddPrefill(at(1), Prefill{ID: "r", Tokens: 40000, Time: 400 * time.Millisecond})
	m.Remove(at(50), "w", false)
	near(t, "time until a new prompt begins", m.Forecast(at(50)).NextPass.Sub(at(50)), 437*time.Millisecond)
}

func TestPromptWithoutFirstEventReturnsToQueue(t *testing.T) {
	m := NewModel(engine)
	m.StartDecoding(at(0), "w", 0, false)
	m.AddPrefill(at(30), Prefill{ID: "a", Tokens: 4000, Time: 20 * time.Millisecond})
	m.AddPrefill(at(40), Prefill{ID: "b", Tokens: 40000, Time: 300 * time.Millisecond})
	m.Advance(at(60)) // the model now has both prompts in the current pass
	m.StartDecoding(at(80), "a", 0, false)
	f := m.Forecast(at(81))
	near(t, "next pass begins after the prefill of b", f.NextPass.Sub(at(80)), m.DecodeTime(0, 0)+300*time.Millisecond)
	m.StartDecoding(at(82), "b", 0, false)
	near(t, "next pass begins without the prefill of b", m.Forecast(at(83)).NextPass.Sub(at(82)), m.DecodeTime(0, 0))
}
