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

// changeFlags are the flags of every command that publishes a change.
type changeFlags struct{ base, id, author string }

func newChangeFlags(fs *ff.FlagSet, base string) *changeFlags {
	f := &changeFlags{}
	help := "the branch's version that the change was made on, or " + latest
	if base == "" {
		help += " (required)"
	}
	fs.StringVar(&f.base, 0, "base", base, help)
	fs.StringVar(&f.id, 0, "id", "", "ID of the change; give the same to repeat one whose outcome is unknown")
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
		LongHelp:  "PATH is below the branch, as in models/drafts/max_tokens. VALUE is JSON, or plain text.",
		Exec: func(ctx context.Context, args []string) error {
			ops, err := g.setOps(*file, args)
			if err != nil {
				return err
			}
			return g.change(ctx, config.Branch(*branch), flags, ops)
		},
	}
}

func (g *globals) setOps(file string, args []string) ([]config.Op, error) {
	switch {
	case file != "" && len(args) == 0:
		return g.readBranch(file)
	case file == "" && len(args) == 2:
		return []config.Op{{Path: args[0], Value: valueOf(args[1])}}, nil
	}
	return nil, usagef("give either --file F or PATH VALUE")
}

func configUnset(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("unset").SetParent(parent)
	branch := branchFlag(fs, " (required)")
	flags := newChangeFlags(fs, "")
	return &ff.Command{
		Name: "unset", Usage: "dogwoodflowctl config unset --branch B --base V PATH", Flags: fs,
		ShortHelp: "removes an entry of a branch, or brings a setting back to its default",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || args[0] == "" {
				return usagef("give one PATH, as in jobs/clerk")
			}
			return g.change(ctx, config.Branch(*branch), flags, []config.Op{{Path: args[0], Delete: true}})
		},
	}
}

// change publishes operations and prints the version in force.
func (g *globals) change(ctx context.Context, branch config.Branch, f *changeFlags, ops []config.Op) error {
	return g.changeSaying(ctx, branch, f, ops, "")
}

// changeSaying is change with a text for publish.
func (g *globals) changeSaying(ctx context.Context, branch config.Branch, f *changeFlags, ops []config.Op, done string) error {
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
	return g.publish(ctx, client, f, httpapi.ChangeRequest{Branch: branch, Base: base, Ops: ops}, done)
}

// publish prints done, if there is such a text, before the version in force.
func (g *globals) publish(ctx context.Context, client *adminclient.Client, f *changeFlags, change httpapi.ChangeRequest, done string) error {
	change.ID, change.Author = f.id, f.author
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	verdict, err := client.Publish(ctx, change)
	if err != nil {
		return describeFailure(ctx, client, change, err)
	}
	return g.show(verdict, func(t table) {
		t.text("%s%s is in force at version %s", done, change.Branch, verdict.Version)
	})
}

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

// explain says what to do about a change that failed.
func describeFailure(ctx context.Context, client *adminclient.Client, change httpapi.ChangeRequest, err error) error {
	err = fmt.Errorf("change %s: %w", change.ID, err)
	if adminclient.OutcomeOf(err) == outcome.Unknown {
		return hinted{err, fmt.Sprintf("It may or may not come into force. Repeating the command with --id %s --base %s is safe:\n"+
			"it applies once at most. 'config history --branch %s' shows whether it did.", change.ID, change.Base, change.Branch)}
	}
	switch adminclient.StatusOf(err) {
	case http.StatusConflict:
	case http.StatusUnprocessableEntity:
		return hinted{err, "Nothing was changed."}
	default:
		return err
	}
	view, readErr := client.Config(ctx, change.Branch)
	if readErr != nil || view.BranchVersion == change.Base {
		return hinted{err, "Nothing was changed."}
	}
	return hinted{err, rebase(change, view.BranchVersion)}
}

// rebase says how to bring a change that lost a race onto the newer version.
func rebase(change httpapi.ChangeRequest, newer ident.Offset) string {
	return fmt.Sprintf("Nothing was changed: %[1]s is at version %[2]s now, and the change was made on %[3]s.\n"+
		"See who changed what:      dogwoodflowctl config history --branch %[1]s\n"+
		"See what yours would undo: dogwoodflowctl config diff --branch %[1]s --file F\n"+
		"Then repeat it with:       --base %[2]s", change.Branch, newer, change.Base)
}
