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
	return group("job", "creates, shows and cancels rollout jobs, entries of a team's branch", parent,
		jobCreate(g, parent), jobShow(g, parent), jobList(g, parent), jobCancel(g, parent))
}

func teamFlag(fs *ff.FlagSet) *string {
	return fs.String('t', "team", "", "team; a team's key stands for its own")
}

// teamOr is the team named, or the one of the key.
func teamOr(ctx context.Context, client *adminclient.Client, named string) (ident.Team, error) {
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

// onTeam runs f with a client and the team meant.
func (g *globals) onTeam(ctx context.Context, named string, f func(*adminclient.Client, ident.Team) error) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	team, err := teamOr(ctx, client, named)
	if err != nil {
		return err
	}
	return f(client, team)
}

// jobFlags are the settings of a new job.
type jobFlags struct {
	model, scorer    string
	groupSize, limit int
	bound            int
}

// modelsBound is the value of --staleness-bound that takes the model's.
const modelsBound = -1

func jobCreate(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("create").SetParent(parent)
	team := teamFlag(fs)
	f := &jobFlags{}
	fs.StringVar(&f.model, 0, "model", "", "model of the team's branch (required)")
	fs.StringVar(&f.scorer, 0, "scorer", "", "group of scorers (required)")
	fs.IntVar(&f.groupSize, 0, "group-size", 0, "samples a prompt (required)")
	fs.IntVar(&f.limit, 0, "max-tokens", 0, "tokens a sample at most (default: the model's)")
	fs.IntVar(&f.bound, 0, "staleness-bound", modelsBound, "versions that a sample may be old; -1 is the model's")
	flags := newChangeFlags(fs, latest)
	return &ff.Command{
		Name: "create", Flags: fs, ShortHelp: "adds a job to the team's branch",
		Usage: "dogwoodflowctl job create [--team T] --model M --scorer S --group-size N NAME",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || f.model == "" || f.scorer == "" || f.groupSize == 0 {
				return usagef("NAME, --model, --scorer and --group-size are required")
			}
			return g.onTeam(ctx, *team, func(c *adminclient.Client, team ident.Team) error {
				return g.createJob(ctx, c, team, args[0], f, flags)
			})
		},
	}
}

// createJob makes the change on the version in which the job was seen not to
// exist, so that it can't replace a job that another operator creates meanwhile.
func (g *globals) createJob(ctx context.Context, client *adminclient.Client, team ident.Team, name string, f *jobFlags, flags *changeFlags) error {
	branch := config.TeamBranch(team)
	view, err := client.Config(ctx, branch)
	if err != nil {
		return err
	}
	if view.Team == nil {
		return fmt.Errorf("there is no team %s", team)
	}
	// Under an ID the change may be there already: the daemon answers its verdict.
	if _, exists := view.Team.Jobs[ident.Job(name)]; exists && flags.id == "" {
		return hinted{fmt.Errorf("team %s has a job %s already", team, name),
			fmt.Sprintf("Change it with: dogwoodflowctl config set --branch %s --base %s jobs/%s/SETTING VALUE", branch, view.BranchVersion, name)}
	}
	base := view.BranchVersion
	if flags.base != latest {
		if base, err = resolveBase(ctx, client, branch, flags.base); err != nil {
			return err
		}
	}
	value, err := json.Marshal(f.job(view.Team.Models))
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	ops := []config.Op{{Path: "jobs/" + name, Value: value}}
	return g.publish(ctx, client, flags, httpapi.ChangeRequest{Branch: branch, Base: base, Ops: ops}, "job "+name+" is created; ")
}

// job is the entry for the branch. Whether its model exists is for the daemon to say.
func (f *jobFlags) job(models map[ident.Model]config.Model) config.Job {
	job := config.Job{Model: ident.Model(f.model), Scorer: f.scorer, GroupSize: f.groupSize, MaxTokens: f.limit}
	if job.MaxTokens == 0 {
		job.MaxTokens = models[job.Model].MaxTokens
	}
	if f.bound != modelsBound {
		bound := int64(f.bound)
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
			return g.onTeam(ctx, *team, func(client *adminclient.Client, team ident.Team) error {
				job, err := client.Job(ctx, team, ident.Job(args[0]))
				if err != nil {
					return err
				}
				return g.show(job, func(t table) { jobTable(t, job) })
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
			return g.onTeam(ctx, *team, func(client *adminclient.Client, team ident.Team) error {
				view, err := client.Jobs(ctx, team)
				if err != nil {
					return err
				}
				return g.show(view, func(t table) { jobsTable(t, view.Jobs) })
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
		ShortHelp: "cancels a job: its steps end, no new one is taken; the entry stays",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("give one job's NAME")
			}
			return g.onTeam(ctx, *team, func(client *adminclient.Client, team ident.Team) error {
				job, err := client.Job(ctx, team, ident.Job(args[0]))
				if err != nil {
					return err
				}
				ops := []config.Op{{Path: "jobs/" + string(job.Name) + "/cancelled", Value: json.RawMessage("true")}}
				return g.changeSaying(ctx, config.TeamBranch(team), flags, ops, "job "+string(job.Name)+" is cancelled; ")
			})
		},
	}
}
