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
	models := fs.StringLong("models", "drafts=1", "models served and their initial versions: model=version,...")
	var o engine.Options
	fs.DurationVar(&o.TokenTime, 0, "token-time", 5*time.Millisecond, "time per token of a stream that runs alone")
	fs.Float64Var(&o.Slowdown, 0, "slowdown", 0.02, "fraction of --token-time that each further stream adds to it")
	fs.Float64Var(&o.Speed, 0, "speed", 1, "divisor of all durations; 2 is twice as fast")
	fs.IntVar(&o.MaxRunning, 0, "max-running", 64, "maximum number of concurrent streams; others wait in order of arrival")
	fs.IntVar(&o.PrefixCapacity, 0, "prefix-capacity", 256, "number of prompt prefixes that the cache holds")
	fs.DurationVar(&o.PrefillPerByte, 0, "prefill-per-byte", 0, "prefill time per byte of prompt that isn't cached")
	fs.DurationVar(&o.LoadLag, 0, "load-lag", 0, "time between two updates of the load report; 0: always up to date")
	fs.DurationVar(&o.EventLag, 0, "event-lag", 0, "time after which a cache event becomes visible")
	fs.Float64Var(&o.EventGap, 0, "event-gap", 0, "share of cache events that are lost")
	fs.StringVar(&o.WeightStore, 0, "weight-store", "", "URL of the weight store; empty: load orders fetch nothing")
	fs.DurationVar(&o.LoadTime, 0, "load-time", 0, "duration of a load order in addition to its fetch")
	fs.DurationVar(&o.SwitchTime, 0, "switch-time", 0, "duration of a switch order")
	fs.IntVar(&o.MaxLoaded, 0, "max-loaded", 3, "number of versions of a model that fit into memory")
	fs.BoolVar(&o.CheckFencing, 0, "check-fencing", "refuse orders with an outdated fencing token")
	fs.Uint64Var(&o.Seed, 0, "seed", 1, "seed of the losses of cache events")
	crashOn := fs.StringLong("crash-on", "", "substring of requests that crash the process; active from the start")
	return &ff.Command{
		Name:      "engine",
		Usage:     "standin engine [FLAGS]",
		ShortHelp: "simulates a model engine with continuous batching",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			initial, err := parseModelVersions(*models)
			if err != nil {
				return err
			}
			o.Models, o.Faults = initial, fault.New()
			if *crashOn != "" {
				if err := o.Faults.Add(fault.Spec{Kind: fault.Crash, Match: *crashOn}); err != nil {
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
	fs.DurationVar(&o.Latency, 0, "latency", 0, "duration of a call that runs alone")
	fs.Float64Var(&o.Slowdown, 0, "slowdown", 0, "fraction of --latency that each further concurrent call adds to it")
	return &ff.Command{
		Name:      "service",
		Usage:     "standin service [FLAGS]",
		ShortHelp: "simulates a plain service that echoes and counts requests",
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
	fs.DurationVar(&o.Latency, 0, "latency", 0, "duration of scoring one sample")
	return &ff.Command{
		Name:      "scorer",
		Usage:     "standin scorer [FLAGS]",
		ShortHelp: "simulates a service that scores samples",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.Faults = fault.New()
			return serve(ctx, "scorer", *listen, scorer.New(o), o.Faults)
		},
	}
}
