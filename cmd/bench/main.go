// Command bench runs the measurements under internal/bench, most of them in virtual time, and compares their results
// with the targets. It exits with status 1 if a result misses its target or the results can't be written.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/turmericshunt/turmericshunt/internal/bench/cache"
	"github.com/turmericshunt/turmericshunt/internal/bench/claims"
	"github.com/turmericshunt/turmericshunt/internal/bench/converge"
	"github.com/turmericshunt/turmericshunt/internal/bench/crash"
	"github.com/turmericshunt/turmericshunt/internal/bench/decision"
	"github.com/turmericshunt/turmericshunt/internal/bench/latency"
	"github.com/turmericshunt/turmericshunt/internal/bench/leak"
	"github.com/turmericshunt/turmericshunt/internal/bench/membership"
	"github.com/turmericshunt/turmericshunt/internal/bench/overload"
	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/bench/spread"
	"github.com/turmericshunt/turmericshunt/internal/bench/storm"
	"github.com/turmericshunt/turmericshunt/internal/bench/summaries"
)

// A measurement is a named set of results, which must be the same in each run.
type measurement struct {
	name string
	run  func(*report.Report)
}

// The measurements that the command runs, in this order. Each has its own package under internal/bench.
var measurements = []measurement{
	{"latency", latency.Run},
	{"overload", overload.Run},
	{"cache", cache.Run},
	{"decision", decision.Run},
	{"crash", crash.Run},
	{"leak", leak.Run},
	{"storm", storm.Run},
	{"spread", spread.Run},
	{"converge", converge.Run},
	{"membership", membership.Run},
	{"summaries", summaries.Run},
	{"claims", claims.Run},
}

func main() {
	only := flag.String("only", "", "comma-separated names of the measurements to run; empty runs all")
	jsonPath := flag.String("json", "", "file to write the figures to as JSON")
	flag.Parse()
	var r report.Report
	for _, m := range measurements {
		if *only == "" || strings.Contains(","+*only+",", ","+m.name+",") {
			m.run(&r)
		}
	}
	if err := write(&r, *jsonPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if n := r.Missed(); n > 0 {
		fmt.Printf("%d figures miss their targets\n", n)
		os.Exit(1)
	}
}

// Writes the results to stdout as a table and, unless path is empty, to the file at path as JSON.
func write(r *report.Report, path string) error {
	if path == "" {
		return r.WriteTable(os.Stdout)
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close() //nolint:errcheck // an error of the write itself is returned
	if err := r.WriteJSON(f); err != nil {
		return err
	}
	return r.WriteTable(os.Stdout)
}
