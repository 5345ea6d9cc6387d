//go:build review

// Command standin plays the platform around real daemons for the cases of the review: store,
// servers, operator and clients. It exits with 1 if the case's rule was broken, with 0 if it held
// and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken says that the rule of a case was broken.
var errBroken = errors.New("rule broken")

var cases = map[string]func(w *world, trouble bool) error{
	"late-answer":  lateAnswer,
	"split-route":  splitRoute,
	"route-gone":   routeGone,
	"crash-repeat": crashRepeat,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// caseLimit is below the 120 s that a script may take.
const caseLimit = 110 * time.Second

// runLimited runs a case until it ends, its time is up or this process is asked to end.
func runLimited(w *world, run func(*world, bool) error, trouble bool) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- run(w, trouble) }()
	select {
	case err := <-done:
		return err
	case <-time.After(caseLimit):
		return errors.New("the time of the case is up")
	case s := <-signals:
		return fmt.Errorf("ended by %v", s)
	}
}

func play(run func(*world, bool) error, recordFile string, trouble bool) int {
	w, err := newWorld(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer w.close()
	w.record.add("trouble: %t", trouble)
	err = runLimited(w, run, trouble)
	switch {
	case err == nil:
		w.record.add("verdict: the rule held")
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		w.record.add("verdict: %v", err)
		fmt.Println(err)
		return 1
	}
	w.record.add("verdict: the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "standin:", err)
	return 2
}
