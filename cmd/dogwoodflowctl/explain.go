package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/explain"
)

// explainCommand explains from the daemons' log lines why the subject of an ID ended as it did.
func explainCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("explain").SetParent(parent)
	var files []string
	fs.StringListVar(&files, 'l', "log", "file with a daemon's log lines; may be given several times (default: standard input)")
	return &ff.Command{
		Name:      "explain",
		Usage:     "dogwoodflowctl explain ID --log FILE...",
		ShortHelp: "explains from log lines why a request, sample, batch or usage window ended as it did",
		Flags:     fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("explain takes the ID of a request, sample or batch, or the number of a usage window")
			}
			for _, arg := range args[1:] { // flags after the ID are not parsed
				if arg != "--log" && arg != "-l" {
					files = append(files, arg)
				}
			}
			return g.explain(args[0], files)
		},
	}
}

func (g *globals) explain(id string, files []string) error {
	lines, err := g.readLines(files)
	if err != nil {
		return err
	}
	explanation, err := explain.Explain(lines, id)
	if err != nil {
		return err
	}
	return explanation.Write(g.out)
}

// readLines returns the log lines in the files, or those on standard input if there are none.
func (g *globals) readLines(files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		lines, _, err := explain.Read(g.in)
		return lines, err
	}
	var all []explain.Line
	for _, name := range files {
		lines, err := readLogFile(name)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLogFile(name string) (lines []explain.Line, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	lines, _, err = explain.Read(io.Reader(file))
	return lines, err
}
