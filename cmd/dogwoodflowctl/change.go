package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
)

// changeFlags are the flags of commands that publish a change.
type changeFlags struct{ base, id, author string }

// newChangeFlags adds the flags. base is the default of --base, which is required if base is
// empty.
func newChangeFlags(fs *ff.FlagSet, base string) *changeFlags {
	f := &changeFlags{}
	help := "version of the branch that the change is based on, or " + latest
	if base == "" {
		help += " (required)"
	}
	fs.StringVar(&f.base, 0, "base", base, help)
	fs.StringVar(&f.id, 0, "id", "", "ID of the change; reuse it to repeat a change whose outcome is unknown")
	fs.StringVar(&f.author, 0, "author", os.Getenv("USER"), "who makes the change")
	return f
}

func configSet(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("set").SetParent(parent)
	branch := branchFlag(fs, " (required)")
	file := fs.String('f', "file", "", "YAML or JSON file with the whole branch; - is standard input")
	flags := newChangeFlags(fs, "")
	return &ff.Command{
		Name: "set", Flags: fs,
		Usage:     "dogwoodflowctl config set --branch B --base V (--file F | PATH VALUE)",
		ShortHelp: "publishes a branch, or one setting of it, and waits until it is in force",
		LongHelp:  "PATH is relative to the branch, as in models/drafts/max_tokens. VALUE is JSON or plain text.",
		Exec: func(ctx context.Context, args []string) error {
			ops, err := g.setOps(*file, args)
			if err != nil {
				return err
			}
			return g.publishOps(ctx, config.Branch(*branch), flags, ops)
		},
	}
}

// setOps returns the operations for a whole branch from a file, or for the arguments PATH VALUE.
func (g *globals) setOps(file string, args []string) ([]config.Op, error) {
	switch {
	case file != "" && len(args) == 0:
		return g.readBranchOps(file)
	case file == "" && len(args) == 2:
		return []config.Op{{Path: args[0], Value: parseValue(args[1])}}, nil
	}
	return nil, usagef("give either --file F or PATH VALUE")
}

func configUnset(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("unset").SetParent(parent)
	branch := branchFlag(fs, " (required)")
	flags := newChangeFlags(fs, "")
	return &ff.Command{
		Name: "unset", Usage: "dogwoodflowctl config unset --branch B --base V PATH", Flags: fs,
		ShortHelp: "removes an entry from a branch, or resets a setting to its default",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || args[0] == "" {
				return usagef("give one PATH, as in jobs/clerk")
			}
			return g.publishOps(ctx, config.Branch(*branch), flags, []config.Op{{Path: args[0], Delete: true}})
		},
	}
}

// publishOps publishes a change with the operations and prints the version in force.
func (g *globals) publishOps(ctx context.Context, branch config.Branch, f *changeFlags, ops []config.Op) error {
	return g.publishOpsWithPrefix(ctx, branch, f, ops, "")
}

// publishOpsWithPrefix is publishOps with a prefix for the printed line.
func (g *globals) publishOpsWithPrefix(ctx context.Context, branch config.Branch, f *changeFlags, ops []config.Op, prefix string) error {
	if branch == "" || f.base == "" {
		return usagef("--branch and --base are required")
	}
	client, err := g.client()
	if err != nil {
		return err
	}
	base, err := resolveBase(ctx, client, branch, f.base)
	if err != nil {
		return err
	}
	return g.publish(ctx, client, f, httpapi.ChangeRequest{Branch: branch, Base: base, Ops: ops}, prefix)
}

// publish publishes a change and prints the prefix and the version in force.
func (g *globals) publish(ctx context.Context, client *adminclient.Client, f *changeFlags, change httpapi.ChangeRequest, prefix string) error {
	change.ID, change.Author = f.id, f.author
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	verdict, err := client.Publish(ctx, change)
	if err != nil {
		return describeFailure(ctx, client, change, err)
	}
	return g.printResult(verdict, func(t table) {
		t.text("%s%s is in force at version %s", prefix, change.Branch, verdict.Version)
	})
}

// resolveBase returns the version that --base gives: a number, or the branch's version in force.
func resolveBase(ctx context.Context, client *adminclient.Client, branch config.Branch, base string) (ident.Offset, error) {
	if base != latest {
		n, err := strconv.ParseUint(base, 10, 63)
		if err != nil {
			return 0, usagef("--base: %q: must be a version or %s", base, latest)
		}
		return ident.Offset(n), nil
	}
	view, err := client.Config(ctx, branch)
	return view.BranchVersion, err
}

// describeFailure adds what is known of the outcome of a failed change, and what to do about it,
// to the error.
func describeFailure(ctx context.Context, client *adminclient.Client, change httpapi.ChangeRequest, err error) error {
	err = fmt.Errorf("change %s: %w", change.ID, err)
	if adminclient.OutcomeOf(err) == outcome.Unknown {
		return hintedError{err, fmt.Sprintf("It may or may not take effect. Repeating the command with --id %s --base %s is safe:\n"+
			"it is applied at most once. 'config history --branch %s' shows whether it did.", change.ID, change.Base, change.Branch)}
	}
	switch adminclient.StatusOf(err) {
	case http.StatusConflict:
	case http.StatusUnprocessableEntity:
		return hintedError{err, "Nothing was changed."}
	default:
		return err
	}
	view, readErr := client.Config(ctx, change.Branch)
	if readErr != nil || view.BranchVersion == change.Base {
		return hintedError{err, "Nothing was changed."}
	}
	return hintedError{err, rebaseHint(change, view.BranchVersion)}
}

// rebaseHint says how to repeat a change on the newer version that caused its conflict.
func rebaseHint(change httpapi.ChangeRequest, newer ident.Offset) string {
	return fmt.Sprintf("Nothing was changed: %[1]s is at version %[2]s now, and the change was made on %[3]s.\n"+
		"See who changed what:      dogwoodflowctl config history --branch %[1]s\n"+
		"See what yours would undo: dogwoodflowctl config diff --branch %[1]s --file F\n"+
		"Then repeat it with:       --base %[2]s", change.Branch, newer, change.Base)
}
