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

// firsts runs the fleet to its end and returns the time of each request's first event and how many there were.
func firsts(f *Fleet) (map[string]time.Duration, map[string]int) {
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

func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if (got - want).Abs() > 10*time.Millisecond {
		t.Errorf("%s after %v, want about %v", what, got, want)
	}
}

// The expected times are those of single prompts as the users' pages give them.
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
		r := Request{ID: "r", Primary: "a", Tokens: test.tokens, Events: 5}
		for i := range test.helpers {
			r.Helpers = append(r.Helpers, fmt.Sprint("h", i))
		}
		f.Submit(start, r)
		first, count := firsts(f)
		near(t, fmt.Sprintf("%d tokens with %d helpers", test.tokens, test.helpers), first["r"], test.want)
		if count["r"] != 5 {
			t.Errorf("%d events, want 5", count["r"])
		}
	}
}

func TestPartsHoldUpOwnPrompts(t *testing.T) {
	f := &Fleet{Params: params}
	f.Submit(start, Request{ID: "own", Primary: "b", Tokens: 45000, Events: 1})
	f.Submit(start, Request{ID: "joint", Primary: "a", Helpers: []string{"b"}, Tokens: 100000, Events: 1})
	first, _ := firsts(f)
	part := 742 * time.Millisecond
	// The helper ends a chunk that it was prefilling, and its last chunk of the part takes up some of its own prompt.
	if chunk := 20 * time.Millisecond; first["joint"] < part || first["joint"] > part+2*chunk {
		t.Errorf("joint after %v, want from %v to two chunks more", first["joint"], part)
	}
	near(t, "own", first["own"], 440*time.Millisecond+part)
}

func TestCanceledRequestMakesNoEvents(t *testing.T) {
	f := &Fleet{Params: params}
	f.Submit(start, Request{ID: "a", Primary: "x", Tokens: 4960, Events: 100})
	f.Advance(start.Add(500 * time.Millisecond))
	f.Cancel("a")
	if _, count := firsts(f); count["a"] > 1 {
		t.Errorf("%d events after the caller left", count["a"])
	}
}
