// Command standin plays the scripts of the review: it starts the project's programs as separate processes and plays
// the callers, the engines, the operator and the links between machines.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime bounds a script.
const maxTime = 115 * time.Second

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*run) (bool, error){"leaving": playLeaving, "memory": playMemory, "revoked": playRevoked}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: no case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	r, err := newRun(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(exitNotRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxTime):
		}
		r.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(r)
	r.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "standin: the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
