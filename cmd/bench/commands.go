package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/bench"
)

var (
	errScenario = errors.New("want the name of one scenario, see bench list")
	errFaults   = errors.New("a run saw what must not happen, see the lines with FAULT")
)

func listCommand() *ff.Command {
	fs := ff.NewFlagSet("list")
	quick := fs.BoolLong("quick", "only those of make bench-quick")
	stories := fs.BoolLong("stories", "say what happens in each")
	return &ff.Command{
		Name: "list", Usage: "bench list [FLAGS]", ShortHelp: "prints the scenarios' names", Flags: fs,
		Exec: func(context.Context, []string) error {
			scenarios := bench.Scenarios()
			if *quick {
				scenarios = bench.Quick()
			}
			for _, s := range scenarios {
				if *stories {
					fmt.Printf("%s: %s\n", s.Name, s.Story)
					continue
				}
				fmt.Println(s.Name)
			}
			return nil
		},
	}
}

// worldFlags are the flags that name a world.
func worldFlags(fs *ff.FlagSet) func(args []string) (bench.World, error) {
	policy := fs.StringLong("policy", "ours", "ours or naive")
	base := fs.IntLong("port-base", 21000, "first port of the run's processes")
	return func(args []string) (bench.World, error) {
		if len(args) != 1 {
			return bench.World{}, errScenario
		}
		scenario, found := bench.Find(args[0])
		if !found {
			return bench.World{}, fmt.Errorf("%q: %w", args[0], errScenario)
		}
		return bench.World{Scenario: scenario, Policy: *policy, Base: *base}, nil
	}
}

func planCommand() *ff.Command {
	fs := ff.NewFlagSet("plan")
	world := worldFlags(fs)
	dir := fs.StringLong("dir", ".", "where the files go")
	return &ff.Command{
		Name: "plan", Usage: "bench plan [FLAGS] SCENARIO", Flags: fs,
		ShortHelp: "writes which processes a run needs and their configuration",
		LongHelp: "Files: processes (a line each: name, once or restart, the command), vms.json,\n" +
			"branches (a line each: branch, its file) and ready (URLs that answer once all is up).",
		Exec: func(_ context.Context, args []string) error {
			w, err := world(args)
			if err != nil {
				return err
			}
			return writePlan(w, *dir)
		},
	}
}

func writePlan(w bench.World, dir string) error {
	var processes, branches, ready strings.Builder
	for _, p := range w.Processes() {
		mode := "once"
		if p.Restart {
			mode = "restart"
		}
		fmt.Fprintf(&processes, "%s %s %s\n", p.Name, mode, strings.Join(p.Args, " "))
	}
	for n := 1; n <= w.Scenario.Fleet.Daemons; n++ {
		fmt.Fprintln(&ready, w.CallerURL(n)+"/readyz")
	}
	values, err := w.Branches()
	if err != nil {
		return err
	}
	for _, branch := range w.BranchOrder() {
		file := filepath.Join(dir, strings.ReplaceAll(string(branch), "/", "-")+".json")
		fmt.Fprintln(&branches, branch, file)
		if err := os.WriteFile(file, values[branch], 0o600); err != nil {
			return err
		}
	}
	vms, err := w.VMs()
	if err != nil {
		return err
	}
	files := map[string]string{
		"processes": processes.String(), "branches": branches.String(), "ready": ready.String(), "vms.json": string(vms),
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func driveCommand() *ff.Command {
	fs := ff.NewFlagSet("drive")
	world := worldFlags(fs)
	seed := fs.Uint64Long("seed", 1, "seed of the load")
	out := fs.StringLong("json", "", "file that gets the run")
	pid := fs.IntLong("daemon-pid", 0, "process of the daemon whose own cost is measured")
	return &ff.Command{
		Name: "drive", Usage: "bench drive [FLAGS] SCENARIO", Flags: fs,
		ShortHelp: "drives one run's load against processes that are up",
		Exec: func(ctx context.Context, args []string) error {
			w, err := world(args)
			if err != nil {
				return err
			}
			result, err := driveOne(ctx, w, *seed, *pid)
			if err != nil {
				return err
			}
			raw, err := json.Marshal(result)
			if err != nil {
				return err
			}
			return os.WriteFile(*out, raw, 0o600)
		},
	}
}

func driveOne(ctx context.Context, w bench.World, seed uint64, pid int) (bench.Run, error) {
	if pid != 0 {
		return w.DriveCost(ctx, seed, pid)
	}
	return w.Drive(ctx, seed)
}

func tableCommand() *ff.Command {
	fs := ff.NewFlagSet("table")
	out := fs.StringLong("json", "", "file that gets the table and all runs")
	figure := fs.StringLong("plot", "", "file (.svg, .png or .pdf) that gets a figure of the ratios")
	measure := fs.StringLong("plot-measure", "idle_median", "measure whose ratios are plotted")
	return &ff.Command{
		Name: "table", Usage: "bench table [FLAGS] RUN ...", Flags: fs,
		ShortHelp: "prints the table of some runs' files; fails if one saw what must not happen",
		Exec: func(_ context.Context, files []string) error {
			runs, err := readRuns(files)
			if err != nil {
				return err
			}
			report, err := bench.Summarize(runs)
			if err != nil {
				return err
			}
			return show(report, *out, *figure, *measure)
		},
	}
}

func readRuns(files []string) ([]bench.Run, error) {
	runs := make([]bench.Run, 0, len(files))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var run bench.Run
		if err := json.Unmarshal(raw, &run); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		runs = append(runs, run)
	}
	return runs, nil
}

func show(report bench.Report, out, figure, measure string) error {
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	if out != "" {
		if err := writeReport(report, out); err != nil {
			return err
		}
	}
	if figure != "" {
		if err := report.Plot(measure, figure); err != nil {
			return err
		}
	}
	if len(report.Faults) > 0 {
		return errFaults
	}
	return nil
}

func writeReport(report bench.Report, file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := report.WriteJSON(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
