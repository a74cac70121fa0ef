package relay

import (
	"bytes"
	"fmt"
	"testing"
)

// encodeEvents returns a stream of events with the ids from to to, both included.
func encodeEvents(from, to int) []byte {
	var b []byte
	for id := from; id <= to; id++ {
		b = fmt.Appendf(b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b
}

// A stream that breaks off at any byte and is resumed at another server, which sends from event 3 on, reaches the
// caller without gaps and without duplicates.
func TestEventsOfTwoAttemptsAreMergedWithoutDuplicates(t *testing.T) {
	first, second := encodeEvents(1, 9), encodeEvents(3, 12)
	for cut := range first {
		var e eventFilter
		got, err := e.add(first[:cut])
		if err != nil {
			t.Fatal(err)
		}
		got = bytes.Clone(got)
		e.begin(false)
		if e.lastID >= 2 {
			for i := range second {
				more, err := e.add(second[i : i+1])
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, more...)
			}
			if want := encodeEvents(1, 12); !bytes.Equal(got, want) || !e.complete() {
				t.Fatalf("cut at %d: got %q", cut, got)
			}
		}
	}
}

// The start of an event at which a stream broke off isn't forwarded.
func TestIncompleteEventIsNotForwarded(t *testing.T) {
	var e eventFilter
	got, err := e.add([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	if err != nil || string(got) != "id: 1\ndata: a\n\n" || e.complete() {
		t.Errorf("got %q, complete %v, %v", got, e.complete(), err)
	}
}

// Splitting the input at any byte doesn't change the events that are returned.
func FuzzEvents(f *testing.F) {
	f.Add(encodeEvents(1, 3), 5)
	f.Add([]byte("id: x\n\n\n\nid:9\n\n"), 2)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		if len(b) == 0 {
			return
		}
		cut = min(max(cut, 0), len(b))
		var unsplit, split eventFilter
		want, _ := unsplit.add(b)
		first, _ := split.add(b[:cut])
		got := bytes.Clone(first)
		second, _ := split.add(b[cut:])
		if got = append(got, second...); !bytes.Equal(got, want) {
			t.Errorf("cut at %d: %q, want %q", cut, got, want)
		}
	})
}
