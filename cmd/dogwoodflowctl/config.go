package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// latest is the value of --base that stands for the branch's version in force.
const latest = "latest"

func configCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	return group("config", "reads and changes the settings tree", parent,
		configGet(g, parent), configSet(g, parent), configUnset(g, parent),
		configDiff(g, parent), configHistory(g, parent), configWatch(g, parent), configRestore(g, parent))
}

func branchFlag(fs *ff.FlagSet, help string) *string {
	return fs.String('b', "branch", "", "fleet or teams/<team>"+help)
}

func configGet(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("get").SetParent(parent)
	branch := branchFlag(fs, "; empty is the whole tree (administrators)")
	return &ff.Command{
		Name: "get", Usage: "dogwoodflowctl config get [--branch B]", ShortHelp: "prints a branch in force; edit it and give it to 'config set'", Flags: fs,
		Exec: noArgs(func(ctx context.Context) error {
			client, err := g.client()
			if err != nil {
				return err
			}
			view, err := client.Config(ctx, config.Branch(*branch))
			if err != nil {
				return err
			}
			return g.printBranch(view)
		}),
	}
}

// printBranch prints with --json the daemon's whole answer, else just the
// branch, so that the output is a file for "config set"; its version goes to
// the standard error.
func (g *globals) printBranch(view httpapi.ConfigView) error {
	if g.json {
		return g.printJSON(view)
	}
	note := func(format string, args ...any) { _, _ = fmt.Fprintf(g.progress, format+"\n", args...) }
	switch {
	case view.Tree != nil:
		note("whole tree at version %s", view.Version)
		return g.printJSON(view.Tree)
	case view.Fleet != nil:
		note("%s at version %s", view.Branch, view.BranchVersion)
		return g.printJSON(view.Fleet)
	case view.Team != nil:
		note("%s at version %s", view.Branch, view.BranchVersion)
		return g.printJSON(view.Team)
	}
	return hinted{fmt.Errorf("there is no branch %s (version %s)", view.Branch, view.BranchVersion),
		fmt.Sprintf("Create it with: dogwoodflowctl config set --branch %s --file F --base %s", view.Branch, view.BranchVersion)}
}

func configDiff(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("diff").SetParent(parent)
	branch := branchFlag(fs, " (required)")
	file := fs.String('f', "file", "", "YAML or JSON file with the whole branch; - is standard input (required)")
	return &ff.Command{
		Name: "diff", Usage: "dogwoodflowctl config diff --branch B --file F", ShortHelp: "shows what a file would change in the branch in force", Flags: fs,
		Exec: noArgs(func(ctx context.Context) error {
			if *branch == "" || *file == "" {
				return usagef("--branch and --file are required")
			}
			return g.diff(ctx, config.Branch(*branch), *file)
		}),
	}
}

func (g *globals) diff(ctx context.Context, branch config.Branch, file string) error {
	ops, err := g.readBranch(file)
	if err != nil {
		return err
	}
	client, err := g.client()
	if err != nil {
		return err
	}
	view, err := client.Diff(ctx, branch, ops)
	if err != nil {
		return err
	}
	return g.show(view, func(t table) {
		t.text("%s at version %s, and what the file changes:", branch, view.BranchVersion)
		if len(view.Ops) == 0 {
			t.text("nothing")
		}
		for _, op := range view.Ops {
			t.row(sign(op), pathOf(op), string(op.Value))
		}
	})
}

func sign(op config.Op) string {
	if op.Delete {
		return "delete"
	}
	return "set"
}

func pathOf(op config.Op) string {
	if op.Path == "" {
		return "(the whole branch)"
	}
	return op.Path
}

func configHistory(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("history").SetParent(parent)
	branch := branchFlag(fs, "; empty is all (administrators)")
	limit := fs.Int('n', "limit", 20, "how many changes at most")
	return &ff.Command{
		Name: "history", Usage: "dogwoodflowctl config history [--branch B]", ShortHelp: "lists the newest accepted changes", Flags: fs,
		Exec: noArgs(func(ctx context.Context) error {
			client, err := g.client()
			if err != nil {
				return err
			}
			entries, err := client.History(ctx, config.Branch(*branch), *limit)
			if err != nil {
				return err
			}
			return g.show(entries, func(t table) { historyTable(t, entries) })
		}),
	}
}

func configWatch(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("watch").SetParent(parent)
	branch := branchFlag(fs, "; empty is the whole tree (administrators)")
	after := fs.String(0, "after", latest, "first version to wait behind, or latest")
	count := fs.Int(0, "count", 0, "end after so many changes; 0 is never")
	return &ff.Command{
		Name: "watch", Usage: "dogwoodflowctl config watch [--branch B]", ShortHelp: "prints each newer version of a branch as it comes into force", Flags: fs,
		LongHelp: "With several daemons in --url it moves on to the next one when its daemon stops or\n" +
			"can't be reached, and ends when none of them can.",
		Exec: noArgs(func(ctx context.Context) error {
			daemons, err := g.daemons()
			if err != nil {
				return err
			}
			return g.watch(ctx, daemons, config.Branch(*branch), *after, *count)
		}),
	}
}

// watch ends without an error when it is interrupted.
func (g *globals) watch(ctx context.Context, daemons *rota, branch config.Branch, after string, count int) error {
	start, err := daemons.ask(ctx, func(c *adminclient.Client) (httpapi.ConfigView, error) {
		return c.Config(ctx, branch)
	})
	if err != nil {
		return err
	}
	seen, tree := versionOf(start), start.Version
	if after != latest {
		n, err := strconv.ParseUint(after, 10, 63)
		if err != nil {
			return usagef("--after: %q: must be a version or %s", after, latest)
		}
		seen, tree = ident.Offset(n), ident.Offset(n)
	}
	for printed := 0; count == 0 || printed < count; {
		view, err := daemons.ask(ctx, func(c *adminclient.Client) (httpapi.ConfigView, error) {
			return c.Watch(ctx, branch, tree)
		})
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		tree = max(tree, view.Version)
		if v := versionOf(view); v > seen {
			seen = v
			printed++
			if err := g.printChange(view); err != nil {
				return err
			}
		}
	}
	return nil
}

// versionOf is the version that a watcher of the view waits for.
func versionOf(view httpapi.ConfigView) ident.Offset {
	if view.Branch == "" {
		return view.Version
	}
	return view.BranchVersion
}

func (g *globals) printChange(view httpapi.ConfigView) error {
	if g.json {
		return g.printLine(view)
	}
	name := string(view.Branch)
	if name == "" {
		name = "the tree"
	}
	_, err := fmt.Fprintf(g.out, "%s is in force at version %s\n", name, versionOf(view))
	return err
}

func (g *globals) readBranch(file string) ([]config.Op, error) {
	data, err := g.readFile(file)
	if err != nil {
		return nil, err
	}
	ops, err := config.ParseBranchFile(data)
	if err != nil {
		return nil, fmt.Errorf("--file: %w", err)
	}
	return ops, nil
}

func (g *globals) readFile(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(g.in)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--file: %w", err)
	}
	return data, nil
}

// valueOf takes a command line's value: JSON as it stands, all else as text.
func valueOf(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, _ := json.Marshal(text) // a string: it can't fail
	return quoted
}
