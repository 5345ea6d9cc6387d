package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/rollout"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
)

func stepCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	return group("step", "submits, lists, shows, watches and cancels a job's steps", parent,
		stepSubmit(g, parent), stepList(g, parent), stepShow(g, parent), stepWatch(g, parent), stepCancel(g, parent))
}

// onStep runs f on the step that the arguments JOB STEP name: at the trainer
// port when its URL is given, else at the administration port.
func (g *globals) onStep(ctx context.Context, team string, args []string, f func(*adminclient.Client, adminclient.Step) error) error {
	if len(args) != 2 {
		return usagef("give JOB and STEP, as in: clerk 3")
	}
	number, err := strconv.ParseUint(args[1], 10, 63)
	if err != nil {
		return usagef("STEP: %q: must be a number from 0 on", args[1])
	}
	step := adminclient.Step{Job: ident.Job(args[0]), Number: ident.Step(number)}
	if g.trainerURL == "" {
		return g.onTeam(ctx, team, func(client *adminclient.Client, team ident.Team) error {
			step.Team = team
			return f(client, step)
		})
	}
	if team != "" {
		return usagef("--team and --trainer-url exclude each other: the key's own team is meant")
	}
	token, err := g.token()
	if err != nil {
		return err
	}
	client, err := adminclient.New(g.trainerURL, token, g.caFile)
	if err != nil {
		return err
	}
	return f(client, step)
}

func stepSubmit(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("submit").SetParent(parent)
	file := fs.String('f', "file", "", "prompts, one a line, or the JSON body of the trainer's API; - is standard input (required)")
	version := fs.Int(0, "trainer-version", 0, "newest weight version that the trainer knows of")
	return &ff.Command{
		Name: "submit", Usage: "dogwoodflowctl --trainer-url U step submit --file F JOB STEP", Flags: fs,
		ShortHelp: "submits a step; the same prompts again change nothing",
		Exec: func(ctx context.Context, args []string) error {
			if g.trainerURL == "" || *file == "" {
				return usagef("--trainer-url and --file are required")
			}
			request, err := g.readPrompts(*file)
			if err != nil {
				return err
			}
			if *version != 0 {
				request.TrainerVersion = ident.Version(*version)
			}
			return g.onStep(ctx, "", args, func(client *adminclient.Client, step adminclient.Step) error {
				return g.submit(ctx, client, step, request)
			})
		},
	}
}

func (g *globals) submit(ctx context.Context, client *adminclient.Client, step adminclient.Step, request rollouts.SubmitRequest) error {
	answer, err := client.SubmitStep(ctx, step, request)
	if err != nil {
		return hintUnknown(err, "Submitting the same prompts again is safe.")
	}
	return g.show(answer, func(t table) {
		verb := "taken"
		if !answer.Created {
			verb = "was taken before"
		}
		t.text("job %s step %d %s: %d prompts of %d samples", answer.Job, answer.Step, verb, answer.Groups, answer.GroupSize)
	})
}

// readPrompts reads the trainer's JSON, or text with a prompt a line.
func (g *globals) readPrompts(file string) (rollouts.SubmitRequest, error) {
	var request rollouts.SubmitRequest
	data, err := g.readFile(file)
	if err != nil {
		return request, err
	}
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&request); err != nil {
			return request, fmt.Errorf("--file: %w", err)
		}
		return request, nil
	}
	for line := range strings.Lines(string(data)) {
		if line = strings.TrimSpace(line); line != "" {
			request.Prompts = append(request.Prompts, rollout.Prompt{Text: line})
		}
	}
	if len(request.Prompts) == 0 {
		return request, usagef("--file: %s holds no prompt", file)
	}
	return request, nil
}

func stepList(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("list").SetParent(parent)
	team := teamFlag(fs)
	job := fs.String('j', "job", "", "only steps of this job")
	return &ff.Command{
		Name: "list", Usage: "dogwoodflowctl step list [--team T] [--job J]", Flags: fs,
		ShortHelp: "lists the steps that daemons hold and their trainers don't have whole yet",
		Exec: noArgs(func(ctx context.Context) error {
			return g.onTeam(ctx, *team, func(client *adminclient.Client, team ident.Team) error {
				view, err := client.Steps(ctx, team, ident.Job(*job))
				if err != nil {
					return err
				}
				if err := g.noteMissing(view.Missing); err != nil {
					return err
				}
				if len(view.Steps) == 0 && !g.json {
					return g.note("no daemon that answered holds a step")
				}
				return g.show(view, func(t table) { stepsTable(t, view.Steps) })
			})
		}),
	}
}

func stepShow(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("show").SetParent(parent)
	team := teamFlag(fs)
	return &ff.Command{
		Name: "show", Usage: "dogwoodflowctl step show [--team T] JOB STEP", ShortHelp: "shows how far a step is", Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			return g.onStep(ctx, *team, args, func(client *adminclient.Client, step adminclient.Step) error {
				status, err := client.StepStatus(ctx, step)
				if err != nil {
					return err
				}
				return g.show(status, func(t table) { stepTable(t, status) })
			})
		},
	}
}

func stepWatch(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("watch").SetParent(parent)
	team := teamFlag(fs)
	interval := fs.Duration(0, "interval", time.Second, "time between two looks")
	return &ff.Command{
		Name: "watch", Usage: "dogwoodflowctl step watch [--team T] JOB STEP", Flags: fs,
		ShortHelp: "prints a line whenever the step got further, until its trainer has all of it",
		Exec: func(ctx context.Context, args []string) error {
			if *interval <= 0 {
				return usagef("--interval must be above 0")
			}
			return g.onStep(ctx, *team, args, func(client *adminclient.Client, step adminclient.Step) error {
				return g.watchStep(ctx, client, step, *interval)
			})
		},
	}
}

// watchStep ends when the trainer holds every group, when the step is gone
// after it was seen (its trainer holds it whole, or it was cancelled), or when
// it is interrupted.
func (g *globals) watchStep(ctx context.Context, client *adminclient.Client, step adminclient.Step, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	last, seen := "", false
	for {
		status, err := client.StepStatus(ctx, step)
		switch {
		case ctx.Err() != nil:
			return nil
		case seen && adminclient.StatusOf(err) == http.StatusNotFound:
			return g.note("the step is held no more: its trainer has it whole, or it was cancelled")
		case err != nil:
			return err
		}
		seen = true
		if line := progressLine(status); line != last {
			last = line
			if err := g.printProgress(status, line); err != nil {
				return err
			}
		}
		if status.Counts.Cancelled || status.Counts.HeldGroups >= status.Groups {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (g *globals) note(text string) error {
	_, err := fmt.Fprintln(g.progress, text)
	return err
}

func (g *globals) printProgress(status rollouts.StatusResponse, line string) error {
	if g.json {
		return g.printLine(status)
	}
	_, err := io.WriteString(g.out, line+"\n")
	return err
}

func stepCancel(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("cancel").SetParent(parent)
	team := teamFlag(fs)
	return &ff.Command{
		Name: "cancel", Usage: "dogwoodflowctl step cancel [--team T] JOB STEP", ShortHelp: "gives a step up; its trainer would have to submit it again", Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			return g.onStep(ctx, *team, args, func(client *adminclient.Client, step adminclient.Step) error {
				if err := client.CancelStep(ctx, step); err != nil {
					return hintUnknown(err, "Cancelling it again is safe.")
				}
				return g.show(map[string]bool{"cancelled": true}, func(t table) {
					t.text("job %s step %d is cancelled", step.Job, step.Number)
				})
			})
		},
	}
}
