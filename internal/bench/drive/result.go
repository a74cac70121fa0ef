package drive

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds = int64(10 * time.Minute / time.Microsecond)
	figures         = 3
)

type (
	// Class is what was measured for one class of prompt lengths, or for several.
	Class struct {
		Arrived   int
		Completed int // within its time
		Refused   int
		Late      int // admitted, but not completed in time
		Lost      int // its engine died and no retry was left
		first     *hdr.Histogram
		gap       *hdr.Histogram
	}

	// Result is what one run measured.
	Result struct {
		Class        [Lengths]Class
		Workspace    map[int]*Class
		RefusalTime  time.Duration // longest time from a final decision to the caller's answer
		PromptTokens int64         // of prompts with a first token
		CachedTokens int64
		SharedTokens int64   // most tokens that a cache without limits would have had
		GoodTokens   int64   // prompt tokens of completed requests
		Offered      float64 // prompt tokens of all measured arrivals over the capacity for them
		Asks         int
		Retries      int
		Idle         int // refused while an engine was idle
		Grants       int
	}
)

func newResult() *Result {
	r := &Result{Workspace: make(map[int]*Class)}
	for i := range r.Class {
		r.Class[i] = newClass()
	}
	return r
}

// Sum adds up all classes.
func (r *Result) Sum() Class { return r.UpTo(LengthLargest) }

func newClass() Class {
	return Class{first: hdr.New(1, maxMicroseconds, figures), gap: hdr.New(1, maxMicroseconds, figures)}
}

// UpTo sums up the classes from the shortest to l.
func (r *Result) UpTo(l Length) Class {
	sum := newClass()
	for _, c := range r.Class[:l+1] {
		sum.add(c)
	}
	return sum
}

func (c *Class) add(o Class) {
	c.Arrived += o.Arrived
	c.Completed += o.Completed
	c.Refused += o.Refused
	c.Late += o.Late
	c.Lost += o.Lost
	c.first.Merge(o.first)
	c.gap.Merge(o.gap)
}

// First is the time to the first token that the given percentage of the prompts kept; prompts without one don't count.
func (c Class) First(percent float64) time.Duration {
	return time.Duration(c.first.ValueAtQuantile(percent)) * time.Microsecond
}

// Gap is the mean time between the output tokens of an answer that the given percentage of the answers kept.
func (c Class) Gap(percent float64) time.Duration {
	return time.Duration(c.gap.ValueAtQuantile(percent)) * time.Microsecond
}

// Within is the part of all arrivals that had their first token within limit; refused ones had none.
func (c Class) Within(limit time.Duration) float64 {
	if c.Arrived == 0 {
		return 0
	}
	n := int64(0)
	for _, bar := range c.first.Distribution() {
		if bar.To <= limit.Microseconds() {
			n += bar.Count
		}
	}
	return float64(n) / float64(c.Arrived)
}

func record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}
