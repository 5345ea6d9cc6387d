package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// Exit codes of the tool.
const (
	exitOK      = 0
	exitFailed  = 1 // refused or failed; nothing was changed
	exitUsage   = 2
	exitUnknown = 3 // the change may or may not have been made
)

// usageError is returned for an invalid command line.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// hintedError is an error with a hint for the user.
type hintedError struct {
	error
	hint string // what was changed, and what to do now
}

func (e hintedError) Unwrap() error { return e.error }

// hintIfUnknown adds a hint to an error whose outcome is unknown.
func hintIfUnknown(err error, hint string) error {
	if adminclient.OutcomeOf(err) != outcome.Unknown {
		return err
	}
	return hintedError{err, hint}
}

// run parses a command line, runs its command and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRoot(&globals{in: stdin, out: stdout, errOut: stderr})
	if err := root.Parse(args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		if errors.Is(err, ff.ErrHelp) {
			_, _ = fmt.Fprintln(stdout, ffhelp.Command(root.GetSelected()))
			return exitOK
		}
		return report(stderr, root, usageError{err.Error()})
	}
	err := root.Run(ctx)
	if errors.Is(err, ff.ErrNoExec) {
		_, _ = fmt.Fprintln(stderr, ffhelp.Command(root.GetSelected()))
		return exitUsage
	}
	return report(stderr, root, err)
}

// report prints an error with its hint or the command's usage, and returns the exit code.
func report(stderr io.Writer, root *ff.Command, err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, "dogwoodflowctl:", err)
	var hinted hintedError
	if errors.As(err, &hinted) {
		_, _ = fmt.Fprintln(stderr, hinted.hint)
	}
	var usageErr usageError
	switch {
	case errors.As(err, &usageErr):
		_, _ = fmt.Fprintln(stderr, "usage:", selectedCommand(root).Usage)
		return exitUsage
	case adminclient.OutcomeOf(err) == outcome.Unknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

// selectedCommand returns the command that the arguments selected, or root.
func selectedCommand(root *ff.Command) *ff.Command {
	if cmd := root.GetSelected(); cmd != nil {
		return cmd
	}
	return root
}
