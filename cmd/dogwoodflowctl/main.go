// Command dogwoodflowctl is the operators' tool: configuration, jobs and steps,
// upstreams, daemons and the timeline.
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

// envPrefix precedes a flag's name in the environment, as in DOGWOODFLOWCTL_URL.
const envPrefix = "DOGWOODFLOWCTL"

// version is set by the linker; see the Makefile.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	root := newRoot()
	err := root.ParseAndRun(ctx, args, ff.WithEnvVarPrefix(envPrefix))
	switch {
	case err == nil:
		return 0
	case errors.Is(err, ff.ErrHelp):
		fmt.Println(ffhelp.Command(root.GetSelected()))
		return 0
	case errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(os.Stderr, ffhelp.Command(root.GetSelected()))
		return 2
	default:
		fmt.Fprintln(os.Stderr, "dogwoodflowctl:", err)
		return 1
	}
}
