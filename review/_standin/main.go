// Command standin runs the cases of the review: it starts entry hosts as separate processes, plays the platform's store,
// the replicas and the clients around them, and writes down what was sent, answered and run.
//
//	standin CASE
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. Each returns whether the rule was broken, or an error if the case couldn't run.
var cases = map[string]func(w *world) (broken bool, err error){
	"early-reset":     earlyReset,
	"forgotten":       forgottenQuarantine,
	"many-parts":      manyParts,
	"all-bad":         allBad,
	"waiting-at-stop": waitingAtStop,
	"large-bodies":    largeBodies,
	"query-crash":     queryCrash,
	"bad-sessions":    badSessions,
	"blamed":          blamed,
	"endless":         endless,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case, writes its record into a folder and returns the exit code.
func run(name, folder string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitNotRun
	}
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.note("the case was stopped")
		w.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.note("result: the rule was broken")
		return exitBroken
	default:
		w.note("result: the rule held")
		return exitHeld
	}
}
