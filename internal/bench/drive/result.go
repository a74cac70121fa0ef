package drive

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	maxMicroseconds = int64(10 * time.Minute / time.Microsecond) // maximum value
	digits          = 3                                          // significant decimal digits of a value
)

type (
	// Class holds the measurements of a group of requests, such as one length class, several of them or a workspace.
	Class struct {
		Arrived    int // measured arrivals
		Completed  int // within the deadline
		Refused    int
		Late       int            // admitted, but not completed within the deadline
		Lost       int            // the engine failed or refused the request, and it couldn't be retried
		firstToken *hdr.Histogram // time to the first token
		tokenGap   *hdr.Histogram // mean time between the output tokens of a response
	}

	// Result holds the measurements of one run.
	Result struct {
		Class        [Lengths]Class
		Workspace    map[int]*Class // by workspace index; counts only, without times
		RefusalTime  time.Duration  // maximum time from a scheduler's last decision on a request to its refusal
		PromptTokens int64          // of prompts with a first token, cached tokens included
		CachedTokens int64          // the part of PromptTokens that was in the prefix cache of the engine
		SharedTokens int64          // maximum number of prompt tokens that an unlimited prefix cache could have held
		GoodTokens   int64          // prompt tokens of the requests completed between Config.Warmup and Config.Duration
		Offered      float64        // prompt tokens of all measured arrivals as a ratio of the capacity in that time
		Asks         int            // grant requests, without those for split prompts
		Retries      int            // attempts after the first one of a request
		Idle         int            // measured requests refused while an engine was idle
		Grants       int            // without those for split prompts
	}
)

func newResult() *Result {
	r := &Result{Workspace: make(map[int]*Class)}
	for i := range r.Class {
		r.Class[i] = newClass()
	}
	return r
}

// Sum returns the sum of all length classes.
func (r *Result) Sum() Class { return r.UpTo(LengthLargest) }

// newClass returns a Class with empty histograms.
func newClass() Class {
	return Class{firstToken: hdr.New(1, maxMicroseconds, digits), tokenGap: hdr.New(1, maxMicroseconds, digits)}
}

// UpTo returns the sum of the length classes from the shortest to l.
func (r *Result) UpTo(l Length) Class {
	sum := newClass()
	for _, c := range r.Class[:l+1] {
		sum.add(c)
	}
	return sum
}

// add adds the measurements of o to c.
func (c *Class) add(o Class) {
	c.Arrived += o.Arrived
	c.Completed += o.Completed
	c.Refused += o.Refused
	c.Late += o.Late
	c.Lost += o.Lost
	c.firstToken.Merge(o.firstToken)
	c.tokenGap.Merge(o.tokenGap)
}

// First returns the given percentile of the time to the first token. Requests without a first token don't count.
func (c Class) First(percent float64) time.Duration {
	return time.Duration(c.firstToken.ValueAtQuantile(percent)) * time.Microsecond
}

// Gap returns the given percentile, over the completed responses, of the mean time between the output tokens of a
// response.
func (c Class) Gap(percent float64) time.Duration {
	return time.Duration(c.tokenGap.ValueAtQuantile(percent)) * time.Microsecond
}

// Within returns the share of all arrivals whose first token came within limit. Refused requests count as arrivals
// without a first token. It returns 0 if there were no arrivals.
func (c Class) Within(limit time.Duration) float64 {
	if c.Arrived == 0 {
		return 0
	}
	n := int64(0)
	for _, bar := range c.firstToken.Distribution() {
		if bar.To <= limit.Microseconds() {
			n += bar.Count
		}
	}
	return float64(n) / float64(c.Arrived)
}

// recordDuration adds d to a histogram of microseconds. It records values outside the histogram's range as the nearest
// value inside it.
func recordDuration(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}
