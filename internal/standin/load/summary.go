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

// Classes of requests in a Summary.
const (
	classShort  = "1-4k"
	classMedium = "4-32k"
	classLarge  = "32-100k"
	classLong   = "100k-1M"
	classOrder  = "order"
	classStock  = "stock"
)

// Histograms hold times in microseconds.
const (
	maxMicros = int64(time.Hour / time.Microsecond)
	digits    = 3
	maxFaults = 20
)

// Summary counts what came of the requests of a load.
type Summary struct {
	Elapsed time.Duration
	Faults  []string // answers that were not as they must be, the first ones
	Notes   []string // other answers without a result, the first ones

	classes []*class // in the order of their first request
	faults  int
}

type class struct {
	name  string
	count int
	first *hdrhistogram.Histogram
	total *hdrhistogram.Histogram
	gaps  *hdrhistogram.Histogram
	told  []tally
}

// Counts the answers with one outcome and kind of refusal.
type tally struct {
	outcome string
	count   int
}

// FaultCount returns the number of answers that were not as they must be.
func (s *Summary) FaultCount() int { return s.faults }

func (s *Summary) add(name string, r *caller.Result) {
	c := s.class(name)
	c.count++
	told := string(r.Outcome)
	if r.Kind != "" {
		told += " (" + string(r.Kind) + ")"
	}
	if r.Fault != "" {
		s.faults++
		told = "FAULT"
		if len(s.Faults) < maxFaults {
			s.Faults = append(s.Faults, name+" at "+r.Host+": "+r.Fault)
		}
	}
	c.tell(told)
	if r.Outcome != outcome.Completed {
		if r.Fault == "" && len(s.Notes) < maxFaults {
			s.Notes = append(s.Notes, name+" at "+r.Host+": "+told+": "+r.Body)
		}
		return
	}
	_ = c.total.RecordValue(r.Total.Microseconds())
	if r.FirstToken > 0 {
		_ = c.first.RecordValue(r.FirstToken.Microseconds())
	}
	for _, gap := range r.Gaps {
		_ = c.gaps.RecordValue(gap.Microseconds())
	}
}

func (s *Summary) class(name string) *class {
	for _, c := range s.classes {
		if c.name == name {
			return c
		}
	}
	c := &class{name: name, first: newHistogram(), total: newHistogram(), gaps: newHistogram()}
	s.classes = append(s.classes, c)
	return c
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, digits) }

func (c *class) tell(told string) {
	for i := range c.told {
		if c.told[i].outcome == told {
			c.told[i].count++
			return
		}
	}
	c.told = append(c.told, tally{outcome: told, count: 1})
}

// Write prints a table, or returns the writer's error.
func (s *Summary) Write(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "CLASS\tREQUESTS\tFIRST TOKEN MS P50\tP95\tP99\tTOTAL MS P50\tP95\tTOKEN GAP MS P95\tOUTCOMES")
	slices.SortFunc(s.classes, func(a, b *class) int { return order(a.name) - order(b.name) })
	for _, c := range s.classes {
		fmt.Fprintf(tab, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", c.name, c.count,
			millis(c.first, 50), millis(c.first, 95), millis(c.first, 99), millis(c.total, 50), millis(c.total, 95),
			millis(c.gaps, 95), c.outcomes())
	}
	for _, note := range s.Notes {
		fmt.Fprintln(tab, "note:", note)
	}
	for _, fault := range s.Faults {
		fmt.Fprintln(tab, "fault:", fault)
	}
	fmt.Fprintf(tab, "%d faults in %s\n", s.faults, s.Elapsed.Round(time.Millisecond))
	return errors.WithStack(tab.Flush())
}

func (c *class) outcomes() string {
	text := ""
	for _, t := range c.told {
		text += fmt.Sprintf("%s %d  ", t.outcome, t.count)
	}
	return text
}

func millis(h *hdrhistogram.Histogram, quantile float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(quantile))/1000)
}

func order(name string) int {
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
