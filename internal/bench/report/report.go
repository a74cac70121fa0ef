package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Row is one figure; Bound is empty when the figure has no target.
type Row struct {
	Measure string  `json:"measure"`
	Case    string  `json:"case"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Bound   string  `json:"bound,omitempty"`
	Missed  bool    `json:"missed,omitempty"`
}

// Report is the result of a run of measurements.
type Report struct {
	Rows []Row `json:"rows"`
}

// Add records a figure without a target.
func (r *Report) Add(measure, name, unit string, value float64) {
	r.Rows = append(r.Rows, Row{Measure: measure, Case: name, Value: value, Unit: unit})
}

// AtMost records a figure that must not be above bound.
func (r *Report) AtMost(measure, name, unit string, value, bound float64) {
	r.Rows = append(r.Rows, Row{
		Measure: measure, Case: name, Value: value, Unit: unit,
		Bound: fmt.Sprintf("<= %g", bound), Missed: !(value <= bound),
	})
}

// AtLeast records a figure that must not be below bound.
func (r *Report) AtLeast(measure, name, unit string, value, bound float64) {
	r.Rows = append(r.Rows, Row{
		Measure: measure, Case: name, Value: value, Unit: unit,
		Bound: fmt.Sprintf(">= %g", bound), Missed: !(value >= bound),
	})
}

// Missed counts the figures that miss their targets.
func (r *Report) Missed() int {
	n := 0
	for _, row := range r.Rows {
		if row.Missed {
			n++
		}
	}
	return n
}

// WriteTable writes the figures as text, or returns the writer's error.
func (r *Report) WriteTable(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "measure\tcase\tvalue\tunit\tbound\tresult")
	for _, row := range r.Rows {
		result := ""
		if row.Bound != "" {
			result = "met"
		}
		if row.Missed {
			result = "MISSED"
		}
		fmt.Fprintf(tab, "%s\t%s\t%.4g\t%s\t%s\t%s\n", row.Measure, row.Case, row.Value, row.Unit, row.Bound, result)
	}
	return errors.Wrap(tab.Flush(), "write table")
}

// WriteJSON writes the figures as JSON, or returns the writer's error.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write JSON")
}
