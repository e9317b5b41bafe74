// Command standin-2 plays the cases of the second review: it starts daemons with the command of the deploy file and replicas as
// separate processes on loopback addresses, and plays their store, callers and operator.
//
//	standin-2 drive CASE DIR     play a case; writes DIR/record.txt; exit code 0: the rule held, 1: it was broken, 2: not run
//	standin-2 replica ...        one replica, started by drive
//
// With TROUBLE=0 in the environment a case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world) bool{
	"leaving":  playLeaving,
	"upgrade":  playUpgrade,
	"rolling":  playRolling,
	"stopping": playStopping,
	"parts":    playParts,
}

// maxDuration is how long a case may take at most.
const maxDuration = 110 * time.Second

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) (code int) {
	if len(args) > 0 && args[0] == "replica" {
		return serveReplica(args[1:])
	}
	if len(args) != 3 || args[0] != "drive" || cases[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 drive CASE DIR")
		return exitNotRun
	}
	w, err := newWorld(args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	defer func() {
		if v := recover(); v != nil {
			w.notef("the case could not run: %v", v)
			code = exitNotRun
		}
	}()
	watchdog := time.AfterFunc(maxDuration, func() {
		w.notef("the case took too long")
		w.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	if cases[args[1]](w) {
		w.notef("the rule held")
		return exitHeld
	}
	w.notef("the rule was broken")
	return exitBroken
}
