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

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1 // refused or failed; nothing was changed
	exitUsage   = 2
	exitUnknown = 3 // the change may or may not have been made
)

// usageError is a fault of the command line.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// hinted is an error with what to do about it.
type hinted struct {
	error
	hint string
}

func (e hinted) Unwrap() error { return e.error }

// hintUnknown adds a hint to an error that leaves the outcome open.
func hintUnknown(err error, hint string) error {
	if adminclient.OutcomeOf(err) != outcome.Unknown {
		return err
	}
	return hinted{err, hint}
}

// run parses and runs a command line and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRoot(&globals{in: stdin, out: stdout, progress: stderr})
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

// report prints an error and what to do about it, and returns the exit code.
func report(stderr io.Writer, root *ff.Command, err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(stderr, "dogwoodflowctl:", err)
	var advice hinted
	if errors.As(err, &advice) {
		_, _ = fmt.Fprintln(stderr, advice.hint)
	}
	var usage usageError
	switch {
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, "usage:", selected(root).Usage)
		return exitUsage
	case adminclient.OutcomeOf(err) == outcome.Unknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

func selected(root *ff.Command) *ff.Command {
	if cmd := root.GetSelected(); cmd != nil {
		return cmd
	}
	return root
}
