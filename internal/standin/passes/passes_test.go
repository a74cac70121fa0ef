package passes

import (
	"fmt"
	"testing"
	"time"
)

var (
	start  = time.Unix(1000, 0)
	params = SampleEngine()
)

// runToEnd runs the fleet until all requests have ended. It returns, by request ID, the time from start to the first
// event and the number of events.
func runToEnd(f *Fleet) (map[string]time.Duration, map[string]int) {
	first := make(map[string]time.Duration)
	count := make(map[string]int)
	for {
		at, ok := f.Next()
		if !ok {
			return first, count
		}
		for _, e := range f.Advance(at) {
			count[e.ID]++
			if e.Number == 1 {
				first[e.ID] = e.At.Sub(start)
			}
		}
	}
}

// wantNear fails the test if got differs from want by more than 10 ms.
func wantNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if (got - want).Abs() > 10*time.Millisecond {
		t.Errorf("%s after %v, want about %v", what, got, want)
	}
}

// The expected times to the first event are those that the users' documentation gives for single prompts.
func TestSinglePrompts(t *testing.T) {
	for _, test := range []struct {
		tokens  int
		helpers int
		want    time.Duration
	}{
		{4960, 0, 30 * time.Millisecond},
		{45000, 0, 440 * time.Millisecond},
		{154000, 0, 3050 * time.Millisecond},
		{154000, 3, 763 * time.Millisecond},
	} {
		f := &Fleet{Params: params}
		r := Request{ID: "r", Primary: "a", PromptTokens: test.tokens, EventCount: 5}
		for i := range test.helpers {
			r.Helpers = append(r.Helpers, fmt.Sprint("h", i))
		}
		f.Submit(start, r)
		first, count := runToEnd(f)
		wantNear(t, fmt.Sprintf("%d tokens with %d helpers", test.tokens, test.helpers), first["r"], test.want)
		if count["r"] != 5 {
			t.Errorf("%d events, want 5", count["r"])
		}
	}
}

// Prompt parts that an engine prefills for another one go before its own prompts and delay them.
func TestPartsHoldUpOwnPrompts(t *testing.T) {
	f := &Fleet{Params: params}
	f.Submit(start, Request{ID: "own", Primary: "b", PromptTokens: 45000, EventCount: 1})
	f.Submit(start, Request{ID: "joint", Primary: "a", Helpers: []string{"b"}, PromptTokens: 100000, EventCount: 1})
	first, _ := runToEnd(f)
	partTime := 742 * time.Millisecond
	// The part takes up to two chunks longer: the helper first completes the chunk that it was prefilling, and its last
	// chunk of the part also holds tokens of its own prompt.
	if chunk := 20 * time.Millisecond; first["joint"] < partTime || first["joint"] > partTime+2*chunk {
		t.Errorf("joint after %v, want from %v to two chunks more", first["joint"], partTime)
	}
	wantNear(t, "own", first["own"], 440*time.Millisecond+partTime)
}

func TestCanceledRequestMakesNoEvents(t *testing.T) {
	f := &Fleet{Params: params}
	f.Submit(start, Request{ID: "a", Primary: "x", PromptTokens: 4960, EventCount: 100})
	f.Advance(start.Add(500 * time.Millisecond))
	f.Cancel("a")
	if _, count := runToEnd(f); count["a"] > 1 {
		t.Errorf("%d events after the request was canceled", count["a"])
	}
}
