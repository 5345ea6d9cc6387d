package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// latest is the value of --base that stands for the branch's version in force.
const latest = "latest"

func configCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name:        "config",
		Usage:       "dogwoodflowctl config get|set ...",
		ShortHelp:   "reads and changes the settings tree",
		Flags:       ff.NewFlagSet("config").SetParent(parent),
		Subcommands: []*ff.Command{configGet(g, parent), configSet(g, parent)},
	}
}

func configGet(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("get").SetParent(parent)
	branch := fs.String('b', "branch", "", "fleet or teams/<team>; empty is the whole tree (administrators)")
	return &ff.Command{
		Name: "get", Usage: "dogwoodflowctl config get [--branch B]", ShortHelp: "prints a branch in force", Flags: fs,
		Exec: func(ctx context.Context, _ []string) error {
			client, err := g.client()
			if err != nil {
				return err
			}
			view, err := client.Config(ctx, config.Branch(*branch))
			if err != nil {
				return err
			}
			return g.printJSON(view)
		},
	}
}

// setFlags are the flags of "config set".
type setFlags struct {
	branch, file, base, id, author string
}

func configSet(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("set").SetParent(parent)
	f := &setFlags{}
	fs.StringVar(&f.branch, 'b', "branch", "", "fleet or teams/<team> (required)")
	fs.StringVar(&f.file, 'f', "file", "", "YAML or JSON file with the whole branch; - is standard input (required)")
	fs.StringVar(&f.base, 0, "base", "", "the branch's version that the change was made on, or latest (required)")
	fs.StringVar(&f.id, 0, "id", "", "ID of the change; give the same to repeat one whose outcome is unknown")
	fs.StringVar(&f.author, 0, "author", os.Getenv("USER"), "who makes the change")
	return &ff.Command{
		Name: "set", Usage: "dogwoodflowctl config set --branch B --file F --base V", ShortHelp: "publishes a branch and waits until it is in force", Flags: fs,
		Exec: func(ctx context.Context, _ []string) error { return g.set(ctx, f) },
	}
}

func (g *globals) set(ctx context.Context, f *setFlags) error {
	if f.branch == "" || f.file == "" || f.base == "" {
		return errors.New("--branch, --file and --base are required")
	}
	ops, err := readBranch(f.file)
	if err != nil {
		return err
	}
	client, err := g.client()
	if err != nil {
		return err
	}
	base, err := resolveBase(ctx, client, f)
	if err != nil {
		return err
	}
	if f.id == "" {
		f.id = uuid.NewString()
	}
	change := httpapi.ChangeRequest{ID: f.id, Branch: config.Branch(f.branch), Base: base, Ops: ops, Author: f.author}
	verdict, err := client.Publish(ctx, change)
	if err != nil {
		return fmt.Errorf("change %s: %w", f.id, err)
	}
	if g.json {
		return g.printJSON(verdict)
	}
	_, err = fmt.Fprintf(g.out, "%s is in force at version %s\n", f.branch, verdict.Version)
	return err
}

func resolveBase(ctx context.Context, client *adminclient.Client, f *setFlags) (ident.Offset, error) {
	if f.base != latest {
		n, err := strconv.ParseInt(f.base, 10, 64)
		if err != nil || n < 0 {
			return 0, fmt.Errorf("--base: %q: must be a version or %s", f.base, latest)
		}
		return ident.Offset(n), nil
	}
	view, err := client.Config(ctx, config.Branch(f.branch))
	return view.BranchVersion, err
}

func readBranch(file string) ([]config.Op, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, fmt.Errorf("--file: %w", err)
	}
	ops, err := config.ParseBranchFile(data)
	if err != nil {
		return nil, fmt.Errorf("--file: %w", err)
	}
	return ops, nil
}
