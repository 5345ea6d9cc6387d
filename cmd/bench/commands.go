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
	errScenarioName = errors.New("the argument must be the name of one scenario, see \"bench list\"")
	errFaults       = errors.New("a run had faults, see the lines with FAULT")
)

func listCommand() *ff.Command {
	fs := ff.NewFlagSet("list")
	quick := fs.BoolLong("quick", "only the scenarios of make bench-quick")
	descriptions := fs.BoolLong("stories", "print a description of each scenario")
	return &ff.Command{
		Name: "list", Usage: "bench list [FLAGS]", ShortHelp: "prints the names of the scenarios", Flags: fs,
		Exec: func(context.Context, []string) error {
			scenarios := bench.Scenarios()
			if *quick {
				scenarios = bench.QuickScenarios()
			}
			for _, s := range scenarios {
				if *descriptions {
					fmt.Printf("%s: %s\n", s.Name, s.Description)
					continue
				}
				fmt.Println(s.Name)
			}
			return nil
		},
	}
}

// deploymentFlags adds the flags of a deployment. The function that it returns gives the
// deployment once the flags are parsed; args must be the name of a scenario.
func deploymentFlags(fs *ff.FlagSet) func(args []string) (bench.Deployment, error) {
	policy := fs.StringLong("policy", "ours", "dispatch policy, ours or naive")
	basePort := fs.IntLong("port-base", 21000, "first port of the run's processes")
	return func(args []string) (bench.Deployment, error) {
		if len(args) != 1 {
			return bench.Deployment{}, errScenarioName
		}
		scenario, found := bench.FindScenario(args[0])
		if !found {
			return bench.Deployment{}, fmt.Errorf("%q: %w", args[0], errScenarioName)
		}
		return bench.Deployment{Scenario: scenario, Policy: *policy, BasePort: *basePort}, nil
	}
}

func planCommand() *ff.Command {
	fs := ff.NewFlagSet("plan")
	parseDeployment := deploymentFlags(fs)
	dir := fs.StringLong("dir", ".", "directory for the files")
	return &ff.Command{
		Name: "plan", Usage: "bench plan [FLAGS] SCENARIO", Flags: fs,
		ShortHelp: "writes the list of processes that a run needs and their configuration",
		LongHelp: "Files: processes (one per line: name, once or restart, command), vms.json,\n" +
			"branches (one per line: branch and its file) and ready (URLs that respond once all processes are ready).",
		Exec: func(_ context.Context, args []string) error {
			deployment, err := parseDeployment(args)
			if err != nil {
				return err
			}
			return writePlan(deployment, *dir)
		},
	}
}

// writePlan writes the files that "bench plan" describes.
func writePlan(deployment bench.Deployment, dir string) error {
	var processes, branches, ready strings.Builder
	for _, p := range deployment.Processes() {
		mode := "once"
		if p.Restart {
			mode = "restart"
		}
		fmt.Fprintf(&processes, "%s %s %s\n", p.Name, mode, strings.Join(p.Args, " "))
	}
	for n := 1; n <= deployment.Scenario.Fleet.Daemons; n++ {
		fmt.Fprintln(&ready, deployment.CallerURL(n)+"/readyz")
	}
	values, err := deployment.Branches()
	if err != nil {
		return err
	}
	for _, branch := range deployment.BranchOrder() {
		file := filepath.Join(dir, strings.ReplaceAll(string(branch), "/", "-")+".json")
		fmt.Fprintln(&branches, branch, file)
		if err := os.WriteFile(file, values[branch], 0o600); err != nil {
			return err
		}
	}
	vms, err := deployment.VMListJSON()
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
	parseDeployment := deploymentFlags(fs)
	seed := fs.Uint64Long("seed", 1, "seed of the load")
	jsonFile := fs.StringLong("json", "", "output file for the result of the run")
	pid := fs.IntLong("daemon-pid", 0, "process ID of the daemon whose overhead is measured")
	return &ff.Command{
		Name: "drive", Usage: "bench drive [FLAGS] SCENARIO", Flags: fs,
		ShortHelp: "runs the load of one scenario on a deployment that is ready",
		Exec: func(ctx context.Context, args []string) error {
			deployment, err := parseDeployment(args)
			if err != nil {
				return err
			}
			result, err := runLoad(ctx, deployment, *seed, *pid)
			if err != nil {
				return err
			}
			raw, err := json.Marshal(result)
			if err != nil {
				return err
			}
			return os.WriteFile(*jsonFile, raw, 0o600)
		},
	}
}

// runLoad runs the load of a scenario. It measures the overhead of the daemon with a process ID
// pid, 0: the measures of all other scenarios.
func runLoad(ctx context.Context, deployment bench.Deployment, seed uint64, pid int) (bench.Run, error) {
	if pid != 0 {
		return deployment.MeasureCost(ctx, seed, pid)
	}
	return deployment.Drive(ctx, seed)
}

func tableCommand() *ff.Command {
	fs := ff.NewFlagSet("table")
	jsonFile := fs.StringLong("json", "", "output file for the table and all runs")
	plotFile := fs.StringLong("plot", "", "output file (.svg, .png or .pdf) for a plot of the ratios")
	measure := fs.StringLong("plot-measure", "idle_median", "measure whose ratios are plotted")
	return &ff.Command{
		Name: "table", Usage: "bench table [FLAGS] RUN ...", Flags: fs,
		ShortHelp: "prints the table of the results in files of runs; fails if a run had faults",
		Exec: func(_ context.Context, files []string) error {
			runs, err := readRuns(files)
			if err != nil {
				return err
			}
			report, err := bench.Summarize(runs)
			if err != nil {
				return err
			}
			return writeResults(report, *jsonFile, *plotFile, *measure)
		},
	}
}

// readRuns reads files that "bench drive" wrote.
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

// writeResults prints the table and writes the JSON file and the plot, "": none.
func writeResults(report bench.Report, jsonFile, plotFile, measure string) error {
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	if jsonFile != "" {
		if err := writeJSONFile(report, jsonFile); err != nil {
			return err
		}
	}
	if plotFile != "" {
		if err := report.Plot(measure, plotFile); err != nil {
			return err
		}
	}
	if len(report.Faults) > 0 {
		return errFaults
	}
	return nil
}

func writeJSONFile(report bench.Report, file string) error {
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
