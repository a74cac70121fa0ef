// Command standin3 plays the cases of the second review that were found last: it starts stand-ins of the platform's store, of
// replicas and of callers, and the project's own entry hosts as processes, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case in a world that is ready, and reports whether its rule held.
type scenario func(w *world, trouble bool) (held bool, err error)

var scenarios = map[string]scenario{
	"lost-zone":   lostZone,
	"long-header": longHeader,
	"reborn":      reborn,
}

func main() {
	program := flag.String("program", "", "the project's program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := scenarios[flag.Arg(0)]
	if !ok || *program == "" {
		fmt.Fprintln(os.Stderr, "usage: standin3 -program FILE [-record FILE] CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, *program, *record))
}

func run(play scenario, program, record string) int {
	w, err := newWorld(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	held, err := play(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitNotRun
	case !held:
		w.note("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}
