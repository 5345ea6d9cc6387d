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

// latest is the value of --base and --after that stands for the version in force.
const latest = "latest"

func configCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	return commandGroup("config", "reads and changes the settings tree", parent,
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
		Name: "get", Usage: "dogwoodflowctl config get [--branch B]", ShortHelp: "prints a branch in force, as a file for 'config set'", Flags: fs,
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

// printBranch prints the daemon's whole response with --json. Otherwise it prints only the
// branch, so that the output is a file for "config set", and its version to standard error.
func (g *globals) printBranch(view httpapi.ConfigView) error {
	if g.json {
		return g.printJSON(view)
	}
	printVersion := func(format string, args ...any) { _, _ = fmt.Fprintf(g.errOut, format+"\n", args...) }
	switch {
	case view.Tree != nil:
		printVersion("whole tree at version %s", view.Version)
		return g.printJSON(view.Tree)
	case view.Fleet != nil:
		printVersion("%s at version %s", view.Branch, view.BranchVersion)
		return g.printJSON(view.Fleet)
	case view.Team != nil:
		printVersion("%s at version %s", view.Branch, view.BranchVersion)
		return g.printJSON(view.Team)
	}
	return hintedError{fmt.Errorf("there is no branch %s (version %s)", view.Branch, view.BranchVersion),
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
	ops, err := g.readBranchOps(file)
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
	return g.printResult(view, func(t table) {
		t.text("%s at version %s, and what the file changes:", branch, view.BranchVersion)
		if len(view.Ops) == 0 {
			t.text("nothing")
		}
		for _, op := range view.Ops {
			t.row(operationName(op), displayPath(op), string(op.Value))
		}
	})
}

// operationName returns the name of an operation in a diff.
func operationName(op config.Op) string {
	if op.Delete {
		return "delete"
	}
	return "set"
}

// displayPath returns the path of an operation, or a text if it replaces the whole branch.
func displayPath(op config.Op) string {
	if op.Path == "" {
		return "(the whole branch)"
	}
	return op.Path
}

func configHistory(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("history").SetParent(parent)
	branch := branchFlag(fs, "; empty is all (administrators)")
	limit := fs.Int('n', "limit", 20, "maximum number of changes")
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
			return g.printResult(entries, func(t table) { historyTable(t, entries) })
		}),
	}
}

func configWatch(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("watch").SetParent(parent)
	branch := branchFlag(fs, "; empty is the whole tree (administrators)")
	after := fs.String(0, "after", latest, "print versions newer than this one; a version, or latest")
	count := fs.Int(0, "count", 0, "exit after this number of changes; 0 means never")
	return &ff.Command{
		Name: "watch", Usage: "dogwoodflowctl config watch [--branch B]", ShortHelp: "prints each newer version of a branch as it comes into force", Flags: fs,
		LongHelp: "If --url names several daemons, it moves on to the next one when a daemon stops or can't\n" +
			"be reached, and exits with an error once none of them can.",
		Exec: noArgs(func(ctx context.Context) error {
			client, err := g.newFailoverClient()
			if err != nil {
				return err
			}
			return g.watch(ctx, client, config.Branch(*branch), *after, *count)
		}),
	}
}

// watch prints the versions of a branch that are newer than after, until it has printed count of
// them, or without end if count is 0. It returns nil if it is interrupted.
func (g *globals) watch(ctx context.Context, client *failoverClient, branch config.Branch, after string, count int) error {
	start, err := client.read(ctx, func(c *adminclient.Client) (httpapi.ConfigView, error) {
		return c.Config(ctx, branch)
	})
	if err != nil {
		return err
	}
	printedVersion, treeVersion := watchedVersion(start), start.Version
	if after != latest {
		n, err := strconv.ParseUint(after, 10, 63)
		if err != nil {
			return usagef("--after: %q: must be a version or %s", after, latest)
		}
		printedVersion, treeVersion = ident.Offset(n), ident.Offset(n)
	}
	for printed := 0; count == 0 || printed < count; {
		view, err := client.read(ctx, func(c *adminclient.Client) (httpapi.ConfigView, error) {
			return c.Watch(ctx, branch, treeVersion)
		})
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		treeVersion = max(treeVersion, view.Version)
		if v := watchedVersion(view); v > printedVersion {
			printedVersion = v
			printed++
			if err := g.printChange(view); err != nil {
				return err
			}
		}
	}
	return nil
}

// watchedVersion returns the version to compare when watching: the branch's, or the tree's if the
// view is of the whole tree.
func watchedVersion(view httpapi.ConfigView) ident.Offset {
	if view.Branch == "" {
		return view.Version
	}
	return view.BranchVersion
}

// printChange prints a version that took effect.
func (g *globals) printChange(view httpapi.ConfigView) error {
	if g.json {
		return g.printJSONLine(view)
	}
	name := string(view.Branch)
	if name == "" {
		name = "the tree"
	}
	_, err := fmt.Fprintf(g.out, "%s is in force at version %s\n", name, watchedVersion(view))
	return err
}

// readBranchOps returns the operations that replace a branch with the one in a file.
func (g *globals) readBranchOps(file string) ([]config.Op, error) {
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

// readFile reads a file, or standard input for "-".
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

// parseValue returns a command-line value as JSON. Text that isn't valid JSON becomes a string.
func parseValue(text string) json.RawMessage {
	if json.Valid([]byte(text)) {
		return json.RawMessage(text)
	}
	quoted, _ := json.Marshal(text) // encoding a string can't fail
	return quoted
}
