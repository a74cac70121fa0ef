package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/standin/caller"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Classes of requests in a Summary: prompts by their length in tokens, and the two kinds of calls of a plain service.
const (
	classShort  = "1-4k"
	classMedium = "4-32k"
	classLarge  = "32-100k"
	classLong   = "100k-1M"
	classOrder  = "order"
	classStock  = "stock"
)

const (
	maxMicros         = int64(time.Hour / time.Microsecond) // greatest time in a histogram, in microseconds
	significantDigits = 3                                   // precision of the histograms, in decimal digits
	maxListed         = 20                                  // limit of the listed faults, and of the listed notes
)

// Summary holds the outcomes and times of a load's requests, by class of request.
type Summary struct {
	Elapsed time.Duration // from the first request to the last response
	Faults  []string      // descriptions of the first maxListed faulty responses
	Notes   []string      // descriptions of the first maxListed other responses whose outcome is not completed

	classes    []*class // in the order of their first recorded result; Write sorts them
	faultCount int      // number of faulty responses, including those that Faults does not list
}

// class holds the results of one class of requests; its histograms hold times in microseconds.
type class struct {
	name          string
	count         int                     // number of requests
	firstToken    *hdrhistogram.Histogram // times to the first token of streams
	total         *hdrhistogram.Histogram // times to the end of the response
	gaps          *hdrhistogram.Histogram // times between pieces of a stream
	outcomeCounts []outcomeCount
}

// outcomeCount counts the responses with one outcome and kind of refusal; all faulty ones count as FAULT.
type outcomeCount struct {
	outcome string
	count   int
}

// FaultCount returns the number of faulty responses.
func (s *Summary) FaultCount() int { return s.faultCount }

// add counts a result under the class with the given name. Times are recorded only of completed requests.
func (s *Summary) add(name string, r *caller.Result) {
	c := s.class(name)
	c.count++
	label := string(r.Outcome)
	if r.Kind != "" {
		label += " (" + string(r.Kind) + ")"
	}
	if r.Fault != "" {
		s.faultCount++
		label = "FAULT"
		if len(s.Faults) < maxListed {
			s.Faults = append(s.Faults, name+" at "+r.Host+": "+r.Fault)
		}
	}
	c.countOutcome(label)
	if r.Outcome != outcome.Completed {
		if r.Fault == "" && len(s.Notes) < maxListed {
			s.Notes = append(s.Notes, name+" at "+r.Host+": "+label+": "+r.Body)
		}
		return
	}
	_ = c.total.RecordValue(r.Total.Microseconds())
	if r.FirstToken > 0 {
		_ = c.firstToken.RecordValue(r.FirstToken.Microseconds())
	}
	for _, gap := range r.TokenGaps {
		_ = c.gaps.RecordValue(gap.Microseconds())
	}
}

// class returns the class with the given name, which it creates if needed.
func (s *Summary) class(name string) *class {
	for _, c := range s.classes {
		if c.name == name {
			return c
		}
	}
	c := &class{name: name, firstToken: newHistogram(), total: newHistogram(), gaps: newHistogram()}
	s.classes = append(s.classes, c)
	return c
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significantDigits) }

func (c *class) countOutcome(label string) {
	for i := range c.outcomeCounts {
		if c.outcomeCounts[i].outcome == label {
			c.outcomeCounts[i].count++
			return
		}
	}
	c.outcomeCounts = append(c.outcomeCounts, outcomeCount{outcome: label, count: 1})
}

// Write prints the summary as a table, followed by the notes, the faults and the number of faults. It returns an error
// if w fails.
func (s *Summary) Write(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "CLASS\tREQUESTS\tFIRST TOKEN MS P50\tP95\tP99\tTOTAL MS P50\tP95\tTOKEN GAP MS P95\tOUTCOMES")
	slices.SortFunc(s.classes, func(a, b *class) int { return classIndex(a.name) - classIndex(b.name) })
	for _, c := range s.classes {
		fmt.Fprintf(tab, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", c.name, c.count,
			ms(c.firstToken, 50), ms(c.firstToken, 95), ms(c.firstToken, 99), ms(c.total, 50), ms(c.total, 95),
			ms(c.gaps, 95), c.outcomes())
	}
	for _, note := range s.Notes {
		fmt.Fprintln(tab, "note:", note)
	}
	for _, fault := range s.Faults {
		fmt.Fprintln(tab, "fault:", fault)
	}
	fmt.Fprintf(tab, "%d faults in %s\n", s.faultCount, s.Elapsed.Round(time.Millisecond))
	return errors.WithStack(tab.Flush())
}

// outcomes returns the outcomes and their counts as text.
func (c *class) outcomes() string {
	text := ""
	for _, t := range c.outcomeCounts {
		text += fmt.Sprintf("%s %d  ", t.outcome, t.count)
	}
	return text
}

// ms returns a percentile of h in milliseconds as text, or "-" if h is empty.
func ms(h *hdrhistogram.Histogram, percentile float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(percentile))/1000)
}

// classIndex returns the position of a class in the printed table.
func classIndex(name string) int {
	return slices.Index([]string{classShort, classMedium, classLarge, classLong, classOrder, classStock}, name)
}

func lengthClass(tokens int64) string {
	switch {
	case tokens <= shortLimit:
		return classShort
	case tokens <= mediumLimit:
		return classMedium
	case tokens <= largeLimit:
		return classLarge
	default:
		return classLong
	}
}
