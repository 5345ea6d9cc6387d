// Command capacity measures what one daemon costs at several sizes of the fleet
// around it, and writes the table of docs/CAPACITY.md. scripts/capacity.sh runs it.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/capacity"
	"github.com/dogwoodflow/dogwoodflow/internal/cli"
)

func main() {
	os.Exit(cli.Main(&ff.Command{
		Name:        "capacity",
		Usage:       "capacity SUBCOMMAND ...",
		ShortHelp:   "measures what a daemon costs as the fleet grows",
		Flags:       ff.NewFlagSet("capacity"),
		Subcommands: []*ff.Command{measureCommand(), stateCommand(), tableCommand()},
	}, "DOGWOODFLOW"))
}

func measureCommand() *ff.Command {
	flags := ff.NewFlagSet("measure")
	var o capacity.Options
	flags.IntVar(&o.PortBase, 0, "port-base", 18000, "ports from here on, as in scripts/lib.sh")
	flags.IntVar(&o.PID, 0, "pid", 0, "process id of the daemon")
	flags.StringVar(&o.AdminToken, 0, "admin-token", "", "the daemon's")
	flags.StringVar(&o.PeerToken, 0, "peer-token", "", "the daemon's")
	series := flags.String(0, "series", "", "one of "+strings.Join(capacity.Series(), ", "))
	size := flags.Int(0, "size", 0, "the size, where the series is run once for each")
	out := flags.String(0, "out", "", "file that the samples are added to, a line each")
	return &ff.Command{
		Name: "measure", ShortHelp: "measures points of one series", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			samples, err := capacity.Run(ctx, o, *series, *size)
			return errors.Join(err, appendSamples(*out, samples))
		},
	}
}

func stateCommand() *ff.Command {
	flags := ff.NewFlagSet("state")
	out := flags.String(0, "out", "", "file that the samples are added to, a line each")
	return &ff.Command{
		Name: "state", ShortHelp: "measures the configuration's state, without a daemon", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error {
			samples, err := capacity.MeasureState(ctx)
			return errors.Join(err, appendSamples(*out, samples))
		},
	}
}

func appendSamples(path string, samples []capacity.Sample) error {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	encoder := json.NewEncoder(f)
	for _, s := range samples {
		if err := encoder.Encode(s); err != nil {
			return err
		}
	}
	return nil
}

func tableCommand() *ff.Command {
	flags := ff.NewFlagSet("table")
	files := flags.String(0, "runs", "", "comma-separated files of samples, one for each run")
	page := flags.String(0, "page", "", "page to write the table into; empty: print it")
	return &ff.Command{
		Name: "table", ShortHelp: "fits lines through the samples", Flags: flags,
		Exec: func(context.Context, []string) error { return writeTable(*files, *page) },
	}
}

func writeTable(files, page string) error {
	var all [][]capacity.Sample
	for file := range strings.SplitSeq(files, ",") {
		samples, err := readSamples(file)
		if err != nil {
			return err
		}
		all = append(all, samples)
	}
	rows := capacity.Rows(all)
	table, planned := capacity.Table(rows, capacity.Machine()), capacity.Planned(rows)
	if page == "" {
		fmt.Print(table, "\n", planned)
		return nil
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	with, err := capacity.Insert(string(text), capacity.PlaceTable, table)
	if err != nil {
		return err
	}
	if with, err = capacity.Insert(with, capacity.PlacePlanned, planned); err != nil {
		return err
	}
	return os.WriteFile(page, []byte(with), 0o644)
}

func readSamples(path string) ([]capacity.Sample, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var samples []capacity.Sample
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var s capacity.Sample
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		samples = append(samples, s)
	}
	return samples, lines.Err()
}
