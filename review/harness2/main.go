package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) (held bool, err error){
	"cutoff": playCutoff,
	"late":   playLate,
	"poison": playPoison,
	"twice":  playTwice,
	"reuse":  playReuse,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD TROUBLE (0: without the disruption)")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3] != "0"))
}

func run(play func(*world, bool) (bool, error), record string, trouble bool) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.end()
	go w.endIfStopped()
	held, err := play(w, trouble)
	switch {
	case err != nil:
		w.note("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return exitNotRun
	case !held:
		w.note("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}

// maxTime is the longest time that a case may run.
const maxTime = 115 * time.Second

// endIfStopped ends all processes if this one gets a signal, or runs for too long.
func (w *world) endIfStopped() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	w.end()
	os.Exit(exitNotRun)
}
