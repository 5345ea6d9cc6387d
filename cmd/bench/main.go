// Command bench drives the scenarios of the policy's bench and prints its table.
// It starts no process: scripts/bench.sh starts those that "bench plan" names.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	root := &ff.Command{
		Name:        "bench",
		Usage:       "bench SUBCOMMAND ...",
		ShortHelp:   "measures the dispatch policy against the naive one",
		Flags:       ff.NewFlagSet("bench"),
		Subcommands: []*ff.Command{listCommand(), planCommand(), driveCommand(), tableCommand()},
	}
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ff.ErrHelp):
		fmt.Println(ffhelp.Command(root))
		return 0
	case errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(os.Stderr, ffhelp.Command(root))
		return 2
	default:
		fmt.Fprintln(os.Stderr, "bench:", err)
		return 1
	}
}
