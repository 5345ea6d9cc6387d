//go:build review

// Command review-cases plays the cases of a review: it starts daemons as separate processes
// before a stand-in of the platform, and checks one rule by what servers and clients see.
//
// Exit codes: 0, the rule held; 1, it was broken; 2, the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scenarios by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"single-version": singleVersion,
	"endless-events": endlessEvents,
	"route-removed":  routeRemoved,
	"unreadable":     unreadableResults,
	"missing-event":  missingEvent,
	"spoiled-report": spoiledReport,
	"weights-moved":  weightsMoved,
}

// timeLimit is for how long a case may take.
const timeLimit = 118 * time.Second

func main() {
	time.AfterFunc(timeLimit, func() {
		fmt.Fprintln(os.Stderr, "review-cases: out of time")
		os.Exit(exitNotRun)
	})
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE RECORD-FILE")
		return exitNotRun
	}
	out, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-cases:", err)
		return exitNotRun
	}
	defer out.Close()
	w, err := newWorld(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-cases:", err)
		return exitNotRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %t", args[0], trouble)
	broken, err := cases[args[0]](w, trouble)
	switch {
	case err != nil:
		w.note("couldn't run: %v", err)
		return exitNotRun
	case broken:
		w.note("verdict: the rule was broken")
		return exitBroken
	}
	w.note("verdict: the rule held")
	return exitHeld
}
