package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/callers"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/trainer"
)

// errRunChecks: a check of the demo failed.
var errRunChecks = errors.New("report: the run failed its checks, see the figures above")

// reportCommand prints the last line of the demo, from the figures that the trainer and the
// callers counted.
func reportCommand() *ff.Command {
	fs := ff.NewFlagSet("report")
	trainerFile := fs.StringLong("trainer", "", "file with the trainer's JSON summary")
	callersFile := fs.StringLong("callers", "", "file with the callers' JSON result")
	return &ff.Command{
		Name:      "report",
		Usage:     "standin report --trainer FILE --callers FILE",
		ShortHelp: "summarizes and checks a run from the trainer's and the callers' counts",
		Flags:     fs,
		Exec: func(context.Context, []string) error {
			var t trainer.Summary
			var c callers.Result
			if err := errors.Join(readJSON(*trainerFile, &t), readJSON(*callersFile, &c)); err != nil {
				return err
			}
			return report(&t, &c)
		},
	}
}

func report(t *trainer.Summary, c *callers.Result) error {
	ok := t.OK() && t.Samples > 0 && c.Answers > 0 && c.Wrong == 0 && c.Failed == 0 && countsVerified(c)
	verdict := "ok"
	if !ok {
		verdict = "FAILED"
	}
	fmt.Printf("demo: %s samples=%d missing=%d duplicates=%d stale=%d mislabelled=%d answers=%d wrong=%d\n",
		verdict, t.Samples, t.Missing, t.Duplicates, t.Stale, t.Mislabelled+t.Wrong, c.Answers, c.Wrong)
	if ok {
		return nil
	}
	fmt.Fprintf(os.Stderr, "trainer: %v\ncallers: failed=%d %v %v\n", t.Faults, c.Failed, c.ByReason, c.WrongFirst)
	if c.Verified != nil {
		fmt.Fprintf(os.Stderr, "services: %+v\n", *c.Verified)
	}
	return errRunChecks
}

// countsVerified reports whether the services' counts, if compared, agree with the
// responses that the callers received.
func countsVerified(c *callers.Result) bool { return c.Verified == nil || c.Verified.OK() }

func readJSON(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("report: %s: %w", file, err)
	}
	return nil
}
