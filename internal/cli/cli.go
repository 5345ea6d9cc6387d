// Package cli runs the command tree of a command-line tool and returns its exit code.
package cli

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

// Exit codes of a tool.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Main parses the process's arguments, runs the command that they select and returns the exit
// code. Flags can also be set by environment variables whose names start with envPrefix.
// SIGINT and SIGTERM cancel the command's context.
func Main(root *ff.Command, envPrefix string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ParseAndRun(ctx, os.Args[1:], ff.WithEnvVarPrefix(envPrefix))
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ff.ErrHelp):
		fmt.Println(help(root))
		return ExitOK
	case errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(os.Stderr, help(root))
		return ExitUsage
	default:
		fmt.Fprintf(os.Stderr, "%s: %v\n", root.Name, err)
		return ExitFailed
	}
}

// help returns the help of the selected subcommand, or of the tool if there is none.
func help(root *ff.Command) ffhelp.Help {
	if selected := root.GetSelected(); selected != nil {
		return ffhelp.Command(selected)
	}
	return ffhelp.Command(root)
}
