package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

func jobCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	return commandGroup("job", "creates, shows and cancels rollout jobs, which are entries of a team's branch", parent,
		jobCreate(g, parent), jobShow(g, parent), jobList(g, parent), jobCancel(g, parent))
}

func teamFlag(fs *ff.FlagSet) *string {
	return fs.String('t', "team", "", "team (default: the team of the key)")
}

// resolveTeam returns the named team, or the team of the client's key if named is empty.
func resolveTeam(ctx context.Context, client *adminclient.Client, named string) (ident.Team, error) {
	if named != "" {
		return ident.Team(named), nil
	}
	who, err := client.Whoami(ctx)
	if err != nil {
		return "", err
	}
	if who.Admin {
		return "", usagef("--team is required with the administrator's token")
	}
	return who.Team, nil
}

// withTeam runs f with a client and the team that resolveTeam returns.
func (g *globals) withTeam(ctx context.Context, named string, f func(*adminclient.Client, ident.Team) error) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	team, err := resolveTeam(ctx, client, named)
	if err != nil {
		return err
	}
	return f(client, team)
}

// jobFlags are the settings of a new job.
type jobFlags struct {
	model, scorer        string
	groupSize, maxTokens int
	stalenessBound       int
}

// useModelBound is the value of --staleness-bound that leaves the bound to the job's model.
const useModelBound = -1

func jobCreate(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("create").SetParent(parent)
	team := teamFlag(fs)
	f := &jobFlags{}
	fs.StringVar(&f.model, 0, "model", "", "model in the team's branch (required)")
	fs.StringVar(&f.scorer, 0, "scorer", "", "group of scorers (required)")
	fs.IntVar(&f.groupSize, 0, "group-size", 0, "samples per prompt (required)")
	fs.IntVar(&f.maxTokens, 0, "max-tokens", 0, "maximum tokens per sample (default: the model's)")
	fs.IntVar(&f.stalenessBound, 0, "staleness-bound", useModelBound, "weight versions by which a sample may be stale; -1 uses the model's bound")
	flags := newChangeFlags(fs, latest)
	return &ff.Command{
		Name: "create", Flags: fs, ShortHelp: "adds a job to the team's branch",
		Usage: "dogwoodflowctl job create [--team T] --model M --scorer S --group-size N NAME",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || f.model == "" || f.scorer == "" || f.groupSize == 0 {
				return usagef("NAME, --model, --scorer and --group-size are required")
			}
			return g.withTeam(ctx, *team, func(c *adminclient.Client, team ident.Team) error {
				return g.createJob(ctx, c, team, args[0], f, flags)
			})
		},
	}
}

// createJob publishes the job on the version in which it found that there is no such job, so that
// it can't replace a job that another operator creates at the same time.
func (g *globals) createJob(ctx context.Context, client *adminclient.Client, team ident.Team, name string, f *jobFlags, flags *changeFlags) error {
	branch := config.TeamBranch(team)
	view, err := client.Config(ctx, branch)
	if err != nil {
		return err
	}
	if view.Team == nil {
		return fmt.Errorf("there is no team %s", team)
	}
	// A change with --id may repeat one that took effect: the daemon then returns its verdict.
	if _, exists := view.Team.Jobs[ident.Job(name)]; exists && flags.id == "" {
		return hintedError{fmt.Errorf("team %s has a job %s already", team, name),
			fmt.Sprintf("Change it with: dogwoodflowctl config set --branch %s --base %s jobs/%s/SETTING VALUE", branch, view.BranchVersion, name)}
	}
	base := view.BranchVersion
	if flags.base != latest {
		if base, err = resolveBase(ctx, client, branch, flags.base); err != nil {
			return err
		}
	}
	value, err := json.Marshal(f.jobConfig(view.Team.Models))
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	ops := []config.Op{{Path: "jobs/" + name, Value: value}}
	return g.publish(ctx, client, flags, httpapi.ChangeRequest{Branch: branch, Base: base, Ops: ops}, "job "+name+" is created; ")
}

// jobConfig returns the job's entry in the branch. The daemon checks that its model exists.
func (f *jobFlags) jobConfig(models map[ident.Model]config.Model) config.Job {
	job := config.Job{Model: ident.Model(f.model), Scorer: f.scorer, GroupSize: f.groupSize, MaxTokens: f.maxTokens}
	if job.MaxTokens == 0 {
		job.MaxTokens = models[job.Model].MaxTokens
	}
	if f.stalenessBound != useModelBound {
		bound := int64(f.stalenessBound)
		job.StalenessBound = &bound
	}
	return job
}

func jobShow(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("show").SetParent(parent)
	team := teamFlag(fs)
	return &ff.Command{
		Name: "show", Usage: "dogwoodflowctl job show [--team T] NAME", ShortHelp: "shows a job in force", Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("give one job's NAME")
			}
			return g.withTeam(ctx, *team, func(client *adminclient.Client, team ident.Team) error {
				job, err := client.Job(ctx, team, ident.Job(args[0]))
				if err != nil {
					return err
				}
				return g.printResult(job, func(t table) { jobTable(t, job) })
			})
		},
	}
}

func jobList(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("list").SetParent(parent)
	team := teamFlag(fs)
	return &ff.Command{
		Name: "list", Usage: "dogwoodflowctl job list [--team T]", ShortHelp: "lists a team's jobs", Flags: fs,
		Exec: noArgs(func(ctx context.Context) error {
			return g.withTeam(ctx, *team, func(client *adminclient.Client, team ident.Team) error {
				view, err := client.Jobs(ctx, team)
				if err != nil {
					return err
				}
				return g.printResult(view, func(t table) { jobsTable(t, view.Jobs) })
			})
		}),
	}
}

func jobCancel(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("cancel").SetParent(parent)
	team := teamFlag(fs)
	flags := newChangeFlags(fs, latest)
	return &ff.Command{
		Name: "cancel", Usage: "dogwoodflowctl job cancel [--team T] NAME", Flags: fs,
		ShortHelp: "cancels a job: ends its steps and accepts no new ones; the entry stays",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("give one job's NAME")
			}
			return g.withTeam(ctx, *team, func(client *adminclient.Client, team ident.Team) error {
				job, err := client.Job(ctx, team, ident.Job(args[0]))
				if err != nil {
					return err
				}
				ops := []config.Op{{Path: "jobs/" + string(job.Name) + "/cancelled", Value: json.RawMessage("true")}}
				return g.publishOpsWithPrefix(ctx, config.TeamBranch(team), flags, ops, "job "+string(job.Name)+" is cancelled; ")
			})
		},
	}
}
