// Command standin plays the systems around dogwoodflow, for demos, tests and
// trials on loopback: engines, services, scorers, the platform's log, weight
// store and list of VMs, the trainers and the callers. Each is a sub-command.
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

// envPrefix precedes a flag's name in the environment, e.g. STANDIN_LISTEN.
const envPrefix = "STANDIN"

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
		fmt.Println(ffhelp.Command(root))
		return 0
	case errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(os.Stderr, ffhelp.Command(root))
		return 2
	default:
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
}

func newRoot() *ff.Command {
	flags := ff.NewFlagSet("standin")
	return &ff.Command{
		Name:      "standin",
		Usage:     "standin SUBCOMMAND ...",
		ShortHelp: "plays the systems around dogwoodflow, on loopback",
		LongHelp: "Every flag can be set in the environment, as " + envPrefix + "_ and the flag's name in\n" +
			"capitals with _ for -, e.g. " + envPrefix + "_LISTEN.",
		Flags: flags,
		Subcommands: []*ff.Command{
			engineCommand(), serviceCommand(), scorerCommand(),
			logCommand(), weightsCommand(), vmlistCommand(),
			trainerCommand(), callersCommand(),
			faultCommand(), getCommand(), waitCommand(), reportCommand(),
			versionsCommand(), inForceCommand(), fencesCommand(),
		},
	}
}
