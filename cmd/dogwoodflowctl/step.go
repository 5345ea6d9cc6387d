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
	return commandGroup("step", "submits, lists, shows, watches and cancels a job's steps", parent,
		stepSubmit(g, parent), stepList(g, parent), stepShow(g, parent), stepWatch(g, parent), stepCancel(g, parent))
}

// withStep runs f on the step that the arguments JOB STEP name. The client calls the trainer port
// if --trainer-url is given, otherwise the administration port.
func (g *globals) withStep(ctx context.Context, team string, args []string, f func(*adminclient.Client, adminclient.Step) error) error {
	if len(args) != 2 {
		return usagef("give JOB and STEP, as in: clerk 3")
	}
	number, err := strconv.ParseUint(args[1], 10, 63)
	if err != nil {
		return usagef("STEP: %q: must be a number from 0 on", args[1])
	}
	step := adminclient.Step{Job: ident.Job(args[0]), Number: ident.Step(number)}
	if g.trainerURL == "" {
		return g.withTeam(ctx, team, func(client *adminclient.Client, team ident.Team) error {
			step.Team = team
			return f(client, step)
		})
	}
	if team != "" {
		return usagef("--team can't be given with --trainer-url, which uses the key's own team")
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
	file := fs.String('f', "file", "", "file with one prompt per line, or with the JSON body of the trainer API; - is standard input (required)")
	version := fs.Int(0, "trainer-version", 0, "newest weight version that the trainer knows")
	return &ff.Command{
		Name: "submit", Usage: "dogwoodflowctl --trainer-url U step submit --file F JOB STEP", Flags: fs,
		ShortHelp: "submits a step; submitting the same prompts again changes nothing",
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
			return g.withStep(ctx, "", args, func(client *adminclient.Client, step adminclient.Step) error {
				return g.submit(ctx, client, step, request)
			})
		},
	}
}

func (g *globals) submit(ctx context.Context, client *adminclient.Client, step adminclient.Step, request rollouts.SubmitRequest) error {
	response, err := client.SubmitStep(ctx, step, request)
	if err != nil {
		return hintIfUnknown(err, "Submitting the same prompts again is safe.")
	}
	return g.printResult(response, func(t table) {
		verb := "taken"
		if !response.Created {
			verb = "was taken before"
		}
		t.text("job %s step %d %s: %d prompts of %d samples", response.Job, response.Step, verb, response.Groups, response.GroupSize)
	})
}

// readPrompts reads a request from a file, which holds the JSON body of the trainer API or one
// prompt per line.
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
		return request, usagef("--file: %s contains no prompt", file)
	}
	return request, nil
}

func stepList(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("list").SetParent(parent)
	team := teamFlag(fs)
	job := fs.String('j', "job", "", "only steps of this job")
	return &ff.Command{
		Name: "list", Usage: "dogwoodflowctl step list [--team T] [--job J]", Flags: fs,
		ShortHelp: "lists the steps that daemons hold, until their trainers have all results",
		Exec: noArgs(func(ctx context.Context) error {
			return g.withTeam(ctx, *team, func(client *adminclient.Client, team ident.Team) error {
				view, err := client.Steps(ctx, team, ident.Job(*job))
				if err != nil {
					return err
				}
				if err := g.printMissing(view.Missing); err != nil {
					return err
				}
				if len(view.Steps) == 0 && !g.json {
					return g.printNote("no daemon that answered holds a step")
				}
				return g.printResult(view, func(t table) { stepsTable(t, view.Steps) })
			})
		}),
	}
}

func stepShow(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("show").SetParent(parent)
	team := teamFlag(fs)
	return &ff.Command{
		Name: "show", Usage: "dogwoodflowctl step show [--team T] JOB STEP", ShortHelp: "shows the progress of a step", Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			return g.withStep(ctx, *team, args, func(client *adminclient.Client, step adminclient.Step) error {
				status, err := client.StepStatus(ctx, step)
				if err != nil {
					return err
				}
				return g.printResult(status, func(t table) { stepTable(t, status) })
			})
		},
	}
}

func stepWatch(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("watch").SetParent(parent)
	team := teamFlag(fs)
	interval := fs.Duration(0, "interval", time.Second, "polling interval")
	return &ff.Command{
		Name: "watch", Usage: "dogwoodflowctl step watch [--team T] JOB STEP", Flags: fs,
		ShortHelp: "prints a line whenever the step progresses, until its trainer has all results",
		Exec: func(ctx context.Context, args []string) error {
			if *interval <= 0 {
				return usagef("--interval must be positive")
			}
			return g.withStep(ctx, *team, args, func(client *adminclient.Client, step adminclient.Step) error {
				return g.watchStep(ctx, client, step, *interval)
			})
		},
	}
}

// watchStep prints the progress of a step. It returns once the trainer has all groups, once the
// step is unknown after it was seen (its trainer has all of it, or it was cancelled), or if it
// is interrupted.
func (g *globals) watchStep(ctx context.Context, client *adminclient.Client, step adminclient.Step, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	lastLine, seen := "", false
	for {
		status, err := client.StepStatus(ctx, step)
		switch {
		case ctx.Err() != nil:
			return nil
		case seen && adminclient.StatusOf(err) == http.StatusNotFound:
			return g.printNote("the step is held no more: its trainer has it whole, or it was cancelled")
		case err != nil:
			return err
		}
		seen = true
		if line := progressLine(status); line != lastLine {
			lastLine = line
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

// printNote prints a message that isn't part of the result.
func (g *globals) printNote(text string) error {
	_, err := fmt.Fprintln(g.errOut, text)
	return err
}

// printProgress prints the status as JSON with --json, otherwise the line.
func (g *globals) printProgress(status rollouts.StatusResponse, line string) error {
	if g.json {
		return g.printJSONLine(status)
	}
	_, err := io.WriteString(g.out, line+"\n")
	return err
}

func stepCancel(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("cancel").SetParent(parent)
	team := teamFlag(fs)
	return &ff.Command{
		Name: "cancel", Usage: "dogwoodflowctl step cancel [--team T] JOB STEP", ShortHelp: "cancels a step; its trainer must submit it again to get results", Flags: fs,
		Exec: func(ctx context.Context, args []string) error {
			return g.withStep(ctx, *team, args, func(client *adminclient.Client, step adminclient.Step) error {
				if err := client.CancelStep(ctx, step); err != nil {
					return hintIfUnknown(err, "Cancelling it again is safe.")
				}
				return g.printResult(map[string]bool{"cancelled": true}, func(t table) {
					t.text("job %s step %d is cancelled", step.Job, step.Number)
				})
			})
		},
	}
}
