package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/log"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/vmlist"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/weights"
	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

func logCommand() *ff.Command {
	fs := ff.NewFlagSet("log")
	listen := listenFlag(fs)
	var o log.Options
	fs.IntVar(&o.KeepRecords, 0, "keep-records", 0, "records that a stream keeps; 0: no bound")
	fs.DurationVar(&o.KeepFor, 0, "keep-for", 0, "how long a stream keeps a record; 0: no bound")
	fs.Float64Var(&o.AppendRate, 0, "append-rate", 500, "appends a second, over all streams; 0: no limit")
	fs.Float64Var(&o.AppendBurst, 0, "append-burst", 0, "appends at once (default a tenth of the rate)")
	fs.DurationVar(&o.Latency, 0, "latency", 0, "time of an append, and of a read that needn't wait")
	return &ff.Command{
		Name:      "log",
		Usage:     "standin log [FLAGS]",
		ShortHelp: "the platform's append-only log",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			o.Faults = fault.New()
			return serve(ctx, "log", *listen, log.New(o), o.Faults)
		},
	}
}

func weightsCommand() *ff.Command {
	fs := ff.NewFlagSet("weights")
	listen := listenFlag(fs)
	models := fs.StringLong("models", "drafts=1", "models and their first versions: model=version,...")
	var o weights.Options
	fs.Float64Var(&o.FetchRate, 0, "fetch-rate", 5, "fetches a second; 0: no limit")
	fs.Float64Var(&o.FetchBurst, 0, "fetch-burst", 2, "fetches at once")
	fs.DurationVar(&o.FetchTime, 0, "fetch-time", 0, "how long a fetch takes")
	return &ff.Command{
		Name:      "weights",
		Usage:     "standin weights [FLAGS]",
		ShortHelp: "the weight store",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			first, err := parseVersions(*models)
			if err != nil {
				return err
			}
			o.Faults = fault.New()
			store := weights.New(o)
			for model, version := range first {
				store.Publish(model, version)
			}
			return serve(ctx, "weights", *listen, store, o.Faults)
		},
	}
}

func vmlistCommand() *ff.Command {
	fs := ff.NewFlagSet("vmlist")
	listen := listenFlag(fs)
	file := fs.StringLong("file", "", "JSON file with the list at the start, as GET /v1/vms answers it")
	var o vmlist.Options
	fs.DurationVar(&o.Lag, 0, "lag", 0, "how late a change shows")
	return &ff.Command{
		Name:      "vmlist",
		Usage:     "standin vmlist [FLAGS]",
		ShortHelp: "the platform's lagging list of VMs",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			vms, err := readVMs(*file)
			if err != nil {
				return err
			}
			o.VMs, o.Faults = vms, fault.New()
			return serve(ctx, "vmlist", *listen, vmlist.New(o), o.Faults)
		},
	}
}

func readVMs(file string) ([]wire.VMEntry, error) {
	if file == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var list wire.VMList
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return list.VMs, nil
}
