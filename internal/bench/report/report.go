package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Row is one measured value.
type Row struct {
	Measure string  `json:"measure"` // name of the measurement
	Case    string  `json:"case"`    // what was measured, within Measure
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Bound   string  `json:"bound,omitempty"`  // the target, such as "<= 2"; empty if there is none
	Missed  bool    `json:"missed,omitempty"` // whether Value misses the target
}

// Report holds the values of a run of measurements in the order in which they were added.
type Report struct {
	Rows []Row `json:"rows"`
}

// Add adds a value without a target.
func (r *Report) Add(measure, name, unit string, value float64) {
	r.Rows = append(r.Rows, Row{Measure: measure, Case: name, Value: value, Unit: unit})
}

// AtMost adds a value whose target is to be at most target. NaN misses it.
func (r *Report) AtMost(measure, name, unit string, value, target float64) {
	r.Rows = append(r.Rows, Row{
		Measure: measure, Case: name, Value: value, Unit: unit,
		Bound: fmt.Sprintf("<= %g", target), Missed: !(value <= target),
	})
}

// AtLeast adds a value whose target is to be at least target. NaN misses it.
func (r *Report) AtLeast(measure, name, unit string, value, target float64) {
	r.Rows = append(r.Rows, Row{
		Measure: measure, Case: name, Value: value, Unit: unit,
		Bound: fmt.Sprintf(">= %g", target), Missed: !(value >= target),
	})
}

// Missed returns the number of values that miss their targets.
func (r *Report) Missed() int {
	n := 0
	for _, row := range r.Rows {
		if row.Missed {
			n++
		}
	}
	return n
}

// WriteTable writes the values as a text table with aligned columns. It returns an error if w does.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "measure\tcase\tvalue\tunit\tbound\tresult")
	for _, row := range r.Rows {
		result := ""
		if row.Bound != "" {
			result = "met"
		}
		if row.Missed {
			result = "MISSED"
		}
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%s\t%s\t%s\n", row.Measure, row.Case, row.Value, row.Unit, row.Bound, result)
	}
	return errors.Wrap(table.Flush(), "write table")
}

// WriteJSON writes the report as indented JSON. It returns an error if w does.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write JSON")
}
