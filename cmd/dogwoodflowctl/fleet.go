package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

func upstreamsCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name: "upstreams", Usage: "dogwoodflowctl upstreams", ShortHelp: "lists the upstreams in the daemon's view (administrators)",
		Flags: ff.NewFlagSet("upstreams").SetParent(parent),
		Exec: noArgs(func(ctx context.Context) error {
			client, err := g.client()
			if err != nil {
				return err
			}
			view, err := client.Upstreams(ctx)
			if err != nil {
				return err
			}
			return g.printResult(view, func(t table) { upstreamsTable(t, view.Upstreams) })
		}),
	}
}

func daemonsCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name: "daemons", Usage: "dogwoodflowctl daemons", ShortHelp: "lists the daemons and the configuration that each has in force (administrators)",
		Flags: ff.NewFlagSet("daemons").SetParent(parent),
		Exec: noArgs(func(ctx context.Context) error {
			client, err := g.client()
			if err != nil {
				return err
			}
			view, err := client.Daemons(ctx)
			if err != nil {
				return err
			}
			return g.printResult(view, func(t table) { daemonsTable(t, view.Daemons) })
		}),
	}
}

func timelineCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("timeline").SetParent(parent)
	request := fs.String('r', "request", "", "only events of this X-Request-Id")
	team := fs.String('t', "team", "", "only events of this team")
	job := fs.String('j', "job", "", "only events of this job")
	sample := fs.String('s', "sample", "", "only events of this sample, as GROUP/INDEX")
	limit := fs.Int('n', "limit", timeline.DefaultLimit, "maximum number of events; the newest are shown")
	return &ff.Command{
		Name: "timeline", Usage: "dogwoodflowctl timeline [--request R] [--job J] [--sample G/I] [--team T]", Flags: fs,
		ShortHelp: "shows the events of all daemons in one order",
		Exec: noArgs(func(ctx context.Context) error {
			return g.timeline(ctx, timeline.Filter{
				Request: ident.RequestID(*request), Team: ident.Team(*team), Job: ident.Job(*job), Sample: *sample, Limit: *limit,
			})
		}),
	}
}

func (g *globals) timeline(ctx context.Context, f timeline.Filter) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	view, err := client.Timeline(ctx, f)
	if err != nil {
		return err
	}
	if err := g.printMissing(view.Missing); err != nil {
		return err
	}
	if len(view.Events) == 0 && !g.json {
		return g.printNote("no events match; each daemon keeps only its newest")
	}
	return g.printResult(view, func(t table) { timelineTable(t, view.Events) })
}

// printMissing tells the user which daemons didn't answer, so that the result is incomplete.
func (g *globals) printMissing(missing []ident.VM) error {
	if len(missing) == 0 {
		return nil
	}
	return g.printNote(fmt.Sprintf("incomplete: no answer from the daemons %v", missing))
}
