package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
)

func configRestore(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("restore").SetParent(parent)
	file := fs.String('f', "file", "", "YAML or JSON file with the whole tree, as 'config get' prints it; - is standard input (required)")
	author := fs.String(0, "author", os.Getenv("USER"), "who restores the configuration")
	return &ff.Command{
		Name: "restore", Usage: "dogwoodflowctl config restore --file F", Flags: fs,
		ShortHelp: "restores a configuration of which no copy is left (administrators)",
		LongHelp: "Use it if daemons keep reporting 'configuration behind the log's retention': the log's\n" +
			"records have expired, there is no snapshot, and no daemon has the configuration. The\n" +
			"daemon first requests it from the others through the log, which takes about 15 s. It\n" +
			"refuses to restore if its own configuration is complete.",
		Exec: noArgs(func(ctx context.Context) error {
			if *file == "" {
				return usagef("--file is required")
			}
			return g.restore(ctx, *file, *author)
		}),
	}
}

func (g *globals) restore(ctx context.Context, file, author string) error {
	data, err := g.readFile(file)
	if err != nil {
		return err
	}
	tree, err := config.ParseTreeFile(data)
	if err != nil {
		return fmt.Errorf("--file: %w", err)
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		return fmt.Errorf("--file: %w", err)
	}
	client, err := g.client()
	if err != nil {
		return err
	}
	verdict, err := client.Restore(ctx, httpapi.RestoreRequest{Tree: raw, Author: author})
	if err != nil {
		return hintIfUnknown(err, "It may or may not take effect. Repeating the command is safe: it is refused once a restore is in force.")
	}
	return g.printResult(verdict, func(t table) { t.text("the tree is in force at version %s", verdict.Version) })
}
