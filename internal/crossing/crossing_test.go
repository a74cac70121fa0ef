package crossing

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// Guards against counting what stays in the failure domain of the host, or a server whose failure domain isn't known.
func TestOnlyWhatCrossesIsCounted(t *testing.T) {
	m := &Meter{FailureDomain: "a", Metrics: tally.NoopScope}
	m.Record("llm", "a", 100, 1000)
	m.Record("llm", "", 100, 1000)
	m.Record("llm", "b", 100, 2000)
	if requests, bytes := m.Totals(); requests != 1 || bytes != 2100 {
		t.Errorf("%d requests with %d bytes cross, want 1 with 2100", requests, bytes)
	}
}

// Guards against a price that counts the body alone: of short calls the response is the larger part.
func TestExpectedBytesHaveResponses(t *testing.T) {
	m := &Meter{FailureDomain: "a", Metrics: tally.NoopScope}
	if got := m.ExpectedBytes("llm", 50); got != 50 {
		t.Errorf("%d bytes expected before the first response, want 50", got)
	}
	m.Record("llm", "a", 50, 1000)
	m.Record("llm", "a", 50, 2000)
	m.Record("llm", "a", 50, 0)
	if got := m.ExpectedBytes("llm", 50); got != 1150 {
		t.Errorf("%d bytes expected, want 1150", got)
	}
}

// Guards against a delay that one connect of a host that stood still decides, and against one that isn't known yet.
func TestDelayIsOfRoundTrips(t *testing.T) {
	m := &Meter{FailureDomain: "a", Metrics: tally.NoopScope}
	m.RecordConnect("b", 9*time.Millisecond)
	if d := m.Delay(); d != 0 {
		t.Errorf("delay %v before a connect within the failure domain, want 0", d)
	}
	m.RecordConnect("a", time.Millisecond)
	m.RecordConnect("c", 5*time.Millisecond)
	m.RecordConnect("b", time.Second)
	if d := m.Delay(); d < 8*time.Millisecond || d > 9*time.Millisecond {
		t.Errorf("delay %v, want 8 to 9 ms", d)
	}
}
