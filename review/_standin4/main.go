// Command world runs one case of the review: it starts stand-ins of the platform, of replicas and of clients, and entry hosts as
// separate processes with the command of the deploy file. It exits with 1 if the rule of the case was broken, with 0 if it held
// and with 2 if the case could not run. With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is how a case has ended.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2 // the case could not run
)

// trouble reports whether the disruption of the case takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD COMMAND")
		os.Exit(int(failed))
	}
	os.Exit(int(runCase(os.Args[1], os.Args[2], os.Args[3])))
}

// runCase runs one case and writes its record.
func runCase(name, record, command string) verdict {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	command, err = filepath.Abs(command)
	if err != nil {
		return failed
	}
	w := &world{
		dir: dir, deploy: command + " gateway", out: bufio.NewWriter(out), began: time.Now(), replicas: make(map[string]*replica),
	}
	defer w.stop()
	go w.stopOnSignal()
	if w.store, err = startStore(); err != nil {
		return failed
	}
	cases := map[string]func(*world) (verdict, error){"helper": helperCase, "options": optionsCase, "crowd": crowdCase, "split": splitCase}
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return failed
	}
	v, err := play(w)
	switch {
	case err != nil:
		w.record("the case could not run: %v", err)
		v = failed
	case v == broken:
		w.record("the rule is broken")
	default:
		w.record("the rule holds")
	}
	return v
}

// stopOnSignal ends the entry hosts when this process is told to end.
func (w *world) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	w.record("stopped by a signal")
	w.stop()
	_ = os.RemoveAll(w.dir)
	os.Exit(int(failed))
}
