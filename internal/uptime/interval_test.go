package uptime

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// at returns the time some seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func between(era int64, since, until float64) Interval {
	return Interval{Era: era, Since: at(since), Until: at(until)}
}

func TestRead(t *testing.T) {
	for _, test := range []struct {
		name   string
		before Interval
		read   float64
		era    int64
		failed time.Time
		want   Interval
		outage bool
	}{
		{"first read", Interval{}, 4, 0, at(3), between(0, 4, 4), false},
		{"soon after the last one", between(0, 1, 3), 4, 0, at(3.5), between(0, 1, 4), false},
		{"after a pause of all readers", between(0, 1, 3), 8, 0, time.Time{}, between(0, 1, 8), false},
		{"after a failure before the last read", between(0, 1, 3), 8, 0, at(2), between(0, 1, 8), false},
		{"after an outage", between(0, 1, 3), 8, 0, at(4), between(0, 8, 8), true},
		{"after a restore", between(0, 1, 3), 3.5, 1, time.Time{}, between(1, 3.5, 3.5), true},
		{"started before a later one of another host", between(0, 1, 3), 2.5, 0, time.Time{}, between(0, 1, 3), false},
	} {
		if got, outage := test.before.Read(at(test.read), test.era, test.failed); got != test.want || outage != test.outage {
			t.Errorf("%s: %+v, outage %v; want %+v, %v", test.name, got, outage, test.want, test.outage)
		}
	}
}

func TestJoin(t *testing.T) {
	for _, test := range []struct {
		name             string
		own, other, want Interval
	}{
		{"nothing known", Interval{}, between(0, 1, 3), between(0, 1, 3)},
		{"the other read while this host was cut off", between(0, 9, 9), between(0, 1, 8.7), between(0, 1, 9)},
		{"one after the other", between(0, 1, 3), between(0, 4, 6), between(0, 1, 6)},
		{"an outage between them", between(0, 1, 3), between(0, 5.5, 6), between(0, 5.5, 6)},
		{"a restore between them", between(0, 1, 3), between(1, 3.1, 3.2), between(1, 3.1, 3.2)},
		{"the same, heard from another host", between(0, 3, 9), between(0, 2.9, 8.9), between(0, 3, 9)},
		{"one within the other", between(0, 1, 9), between(0, 3, 4), between(0, 1, 9)},
	} {
		if got := test.own.Join(test.other); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
		got := test.other.Join(test.own)
		if d := got.Since.Sub(test.want.Since).Abs(); d > 100*time.Millisecond || !got.Until.Equal(test.want.Until) || got.Era != test.want.Era {
			t.Errorf("%s, the other way round: %+v, want %+v", test.name, got, test.want)
		}
	}
}
