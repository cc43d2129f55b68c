package main

import (
	"fmt"
	"os"
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
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play func(*world, bool) (bool, error), record string, trouble bool) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.end()
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
