package relay

import (
	"bytes"
	"fmt"
	"testing"
)

func stream(from, to int) []byte {
	var b []byte
	for id := from; id <= to; id++ {
		b = fmt.Appendf(b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b
}

func TestEventsOfTwoRunsAreJoinedOnce(t *testing.T) {
	first, second := stream(1, 9), stream(3, 12)
	for cut := range first {
		var e events
		got, err := e.add(first[:cut])
		if err != nil {
			t.Fatal(err)
		}
		got = bytes.Clone(got)
		e.restart()
		if e.last >= 2 {
			for i := range second {
				more, err := e.add(second[i : i+1])
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, more...)
			}
			if want := stream(1, 12); !bytes.Equal(got, want) || !e.whole() {
				t.Fatalf("cut at %d: got %q", cut, got)
			}
		}
	}
}

func TestCutEventIsNotPassedOn(t *testing.T) {
	var e events
	got, err := e.add([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	if err != nil || string(got) != "id: 1\ndata: a\n\n" || e.whole() {
		t.Errorf("got %q, whole %v, %v", got, e.whole(), err)
	}
}

func FuzzEvents(f *testing.F) {
	f.Add(stream(1, 3), 5)
	f.Add([]byte("id: x\n\n\n\nid:9\n\n"), 2)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		if len(b) == 0 {
			return
		}
		cut = min(max(cut, 0), len(b))
		var whole, parts events
		want, _ := whole.add(b)
		first, _ := parts.add(b[:cut])
		got := bytes.Clone(first)
		second, _ := parts.add(b[cut:])
		if got = append(got, second...); !bytes.Equal(got, want) {
			t.Errorf("cut at %d: %q, want %q", cut, got, want)
		}
	})
}
