package evacuation

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/revision"
)

var start = time.Unix(1000, 0)

// read returns the set of a read at the given era and revision, started the given number of milliseconds after start.
func read(era, number int64, ms int, domains ...string) Set {
	return New(domains, revision.New(era, number), start.Add(time.Duration(ms)*time.Millisecond))
}

// Guards against an evacuation that a slow or forwarded read undoes, and against one that outlasts its end.
func TestLaterReadWins(t *testing.T) {
	for _, test := range []struct {
		name           string
		known, arrives Set
		rewritten      int // when the store is written again, in ms after start; 0 if it wasn't restored
		want           []string
	}{
		{"first read", Set{}, read(0, 5, 0, "b"), 0, []string{"b"}},
		{"evacuation starts", read(0, 5, 0), read(0, 6, 100, "b"), 0, []string{"b"}},
		{"evacuation ends", read(0, 6, 0, "b"), read(0, 7, 100), 0, nil},
		{"earlier revision arrives late", read(0, 6, 0, "b"), read(0, 5, 100), 0, []string{"b"}},
		{"earlier read at the same revision", read(0, 6, 100, "b"), read(0, 6, 0), 0, []string{"b"}},
		{"later read at the same revision", read(0, 6, 0, "b"), read(0, 6, 100, "c"), 0, []string{"c"}},
		{"another one", read(0, 6, 0, "b"), read(0, 7, 100, "c", "a", "c"), 0, []string{"a", "c"}},
		{"restored store lacks it", read(0, 90, 0, "b"), read(1, 60, 1500), 2000, []string{"b"}},
		{"restored store lacks it, the read is slow", read(0, 90, 0, "b"), read(1, 60, 1999), 2000, []string{"b"}},
		{"restored store has another one", read(0, 90, 0, "b"), read(1, 61, 1500, "c"), 2000, []string{"b", "c"}},
		{"store that was restored and written again", read(0, 90, 0, "b"), read(1, 60, 2000), 2000, nil},
		{"the same revision, read after that", read(1, 60, 1500, "b"), read(1, 60, 2000), 2000, nil},
		{"host that knew it before, heard after a restart", read(1, 60, 1500), read(0, 90, 0, "b"), 2000, []string{"b"}},
		{"host that knew it and has read earlier", read(1, 60, 1500), read(1, 60, 1400, "b"), 2000, []string{"b"}},
		{"era before the restore, long after it", read(1, 60, 2500), read(0, 90, 0, "b"), 2000, nil},
	} {
		got := test.known.Merge(test.arrives, start.Add(time.Duration(test.rewritten)*time.Millisecond))
		if !slices.Equal(got.Domains, test.want) {
			t.Errorf("%s: %v evacuated, want %v", test.name, got.Domains, test.want)
		}
	}
}

// Guards against a merged set that counts as older or newer than the reads that it comes from, so that the next read of
// another host is not taken or the own one isn't repeated.
func TestMergedSetIsThatOfTheLaterRead(t *testing.T) {
	got := read(0, 90, 0, "b").Merge(read(1, 60, 1500), start.Add(2*time.Second))
	if got.Revision != revision.New(1, 60) || !got.ReadAt.Equal(start.Add(1500*time.Millisecond)) {
		t.Errorf("revision %v, read %v after the start", got.Revision, got.ReadAt.Sub(start))
	}
}

// Guards against domains that are missing in the comparison of two sets, by which the log and the gauge follow changes.
func TestWithout(t *testing.T) {
	s, other := read(0, 1, 0, "c", "a", "b"), read(0, 1, 0, "b", "d")
	if got := s.Without(other); !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("%v, want a and c", got)
	}
	if s.Has("d") || !s.Has("b") || (Set{}).Has("") {
		t.Error("wrong members")
	}
}

// Guards against a host that relies on the reads of hosts which don't read evacuations, and against more calls of the store
// while nobody can read it.
func TestAge(t *testing.T) {
	const limit = 2500 * time.Millisecond
	now := start.Add(10 * time.Second)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, test := range []struct {
		name             string
		readAt, verified time.Time
		want             time.Duration
	}{
		{"both of one read", ago(time.Second), ago(time.Second), time.Second},
		{"set of an earlier read", ago(2 * time.Second), ago(time.Second), 2 * time.Second},
		{"configuration that isn't verified after a restore", ago(time.Second), ago(2 * time.Second), 2 * time.Second},
		{"peers that send no set", ago(limit), ago(time.Second), math.MaxInt64},
		{"no set yet, but a configuration", time.Time{}, ago(time.Second), math.MaxInt64},
		{"store that nobody can read", ago(4 * time.Second), ago(4 * time.Second), 4 * time.Second},
	} {
		if got := (Set{ReadAt: test.readAt}).Age(now, test.verified, limit); got != test.want {
			t.Errorf("%s: age %v, want %v", test.name, got, test.want)
		}
	}
}
