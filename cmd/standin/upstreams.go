package main

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/engine"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/scorer"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/service"
)

func engineCommand() *ff.Command {
	fs := ff.NewFlagSet("engine")
	listen := listenFlag(fs)
	models := fs.StringLong("models", "drafts=1", "models served and their first versions: model=version,...")
	var o engine.Options
	fs.DurationVar(&o.TokenTime, 0, "token-time", 5*time.Millisecond, "time between two tokens of a stream that runs alone")
	fs.Float64Var(&o.Slowdown, 0, "slowdown", 0.02, "share that each further stream adds to the token time")
	fs.Float64Var(&o.Speed, 0, "speed", 1, "divides every time; 2 is twice as fast")
	fs.IntVar(&o.MaxRunning, 0, "max-running", 64, "streams at once; more wait in order of arrival")
	fs.IntVar(&o.PrefixCapacity, 0, "prefix-capacity", 256, "prompt prefixes that the cache holds")
	fs.DurationVar(&o.PrefillPerByte, 0, "prefill-per-byte", 0, "time that a byte of uncached prompt costs")
	fs.DurationVar(&o.LoadLag, 0, "load-lag", 0, "time between two load reports; 0: each is fresh")
	fs.DurationVar(&o.EventLag, 0, "event-lag", 0, "how late cache events show")
	fs.Float64Var(&o.EventGap, 0, "event-gap", 0, "share of cache events that is lost")
	fs.StringVar(&o.WeightStore, 0, "weight-store", "", "URL of the weight store; empty: loads fetch nothing")
	fs.DurationVar(&o.LoadTime, 0, "load-time", 0, "time of a load order besides its fetch")
	fs.DurationVar(&o.SwitchTime, 0, "switch-time", 0, "time of a switch order")
	fs.IntVar(&o.MaxLoaded, 0, "max-loaded", 3, "versions of a model that fit into memory")
	fs.BoolVar(&o.CheckFencing, 0, "check-fencing", "refuse orders with an old fencing number")
	fs.Uint64Var(&o.Seed, 0, "seed", 1, "seed of the cache events' losses")
	crashOn := fs.StringLong("crash-on", "", "substring of a request that ends the process, from its start on")
	return &ff.Command{
		Name:      "engine",
		Usage:     "standin engine [FLAGS]",
		ShortHelp: "a model engine with continuous batching",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			first, err := parseVersions(*models)
			if err != nil {
				return err
			}
			o.Models, o.Faults = first, fault.New()
			if *crashOn != "" {
				if err := o.Faults.Set(fault.Spec{Kind: fault.Crash, Match: *crashOn}); err != nil {
					return err
				}
			}
			e := engine.New(o)
			defer e.Close()
			return serve(ctx, "engine", *listen, e, o.Faults)
		},
	}
}

func serviceCommand() *ff.Command {
	fs := ff.NewFlagSet("service")
	listen := listenFlag(fs)
	var o service.Options
	fs.DurationVar(&o.Latency, 0, "latency", 0, "time of a call that runs alone")
	fs.Float64Var(&o.Slowdown, 0, "slowdown", 0, "share that each further call adds to the latency")
	return &ff.Command{
		Name:      "service",
		Usage:     "standin service [FLAGS]",
		ShortHelp: "a plain service that echoes and counts",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.Faults = fault.New()
			return serve(ctx, "service", *listen, service.New(o), o.Faults)
		},
	}
}

func scorerCommand() *ff.Command {
	fs := ff.NewFlagSet("scorer")
	listen := listenFlag(fs)
	var o scorer.Options
	fs.DurationVar(&o.Latency, 0, "latency", 0, "time of one score")
	return &ff.Command{
		Name:      "scorer",
		Usage:     "standin scorer [FLAGS]",
		ShortHelp: "a service that scores samples",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.Faults = fault.New()
			return serve(ctx, "scorer", *listen, scorer.New(o), o.Faults)
		},
	}
}
