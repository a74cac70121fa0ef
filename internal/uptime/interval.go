package uptime

import "time"

const (
	// maxPause is the longest time between two reads for which the store is taken to have answered all the while: too short for
	// an entry to expire.
	maxPause = 2 * time.Second
	// sameTime is how far apart two times may be that are the same one: times appear earlier to a host that hears of them, by the
	// time in transit.
	sameTime = 750 * time.Millisecond
)

// Interval is a time in which the store was available, as far as the hosts that have read it know. The zero value is that of
// a host that knows of no read.
type Interval struct {
	Era   int64     // of the store; it rises when the store is restored from an older copy
	Since time.Time // first read after the last outage or restore of the store
	Until time.Time // latest read
}

// IsZero reports whether no read is known.
func (i Interval) IsZero() bool { return i.Until.IsZero() }

// Read returns the interval that has been extended by a read of the store in the given era, which was started at the given
// time. If the store was restored since the last read, or seems to have been unavailable, a new interval begins; Read then
// reports true. The store seems to have been unavailable if nobody has read it for a while and this host has tried: its
// latest read that failed was started at failed, zero if none has.
func (i Interval) Read(at time.Time, era int64, failed time.Time) (Interval, bool) {
	if i.IsZero() {
		return Interval{Era: era, Since: at, Until: at}, false
	}
	if era != i.Era || at.Sub(i.Until) > maxPause && failed.After(i.Until) {
		return Interval{Era: era, Since: at, Until: at}, true
	}
	i.Until = later(i.Until, at)
	return i, false
}

// Join returns what two hosts know together: an outage that one of them has noticed was none if the other has read the store
// meanwhile. Intervals that don't belong together are not joined; the later one is returned.
func (i Interval) Join(other Interval) Interval {
	switch {
	case other.IsZero() || i.Era > other.Era:
		return i
	case i.IsZero() || i.Era < other.Era:
		return other
	case other.Since.Sub(i.Until) > maxPause:
		return other
	case i.Since.Sub(other.Until) > maxPause:
		return i
	}
	if other.Refutes(i) {
		i.Since = other.Since
	}
	i.Until = later(i.Until, other.Until)
	return i
}

// Refutes reports whether what other takes for the end of an outage is within i, so that there was none.
func (i Interval) Refutes(other Interval) bool {
	return i.Era == other.Era && other.Since.Sub(i.Since) > sameTime && !other.Since.After(i.Until.Add(maxPause))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
