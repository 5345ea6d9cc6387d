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
	fs.IntVar(&o.KeepRecords, 0, "keep-records", 0, "number of records that a stream retains; 0: no limit")
	fs.DurationVar(&o.KeepFor, 0, "keep-for", 0, "how long a stream retains a record; 0: no limit")
	fs.Float64Var(&o.AppendRate, 0, "append-rate", 500, "append calls per second, over all streams; 0: no limit")
	fs.Float64Var(&o.AppendBurst, 0, "append-burst", 0, "append calls that may come at once (default: a tenth of the rate)")
	fs.DurationVar(&o.Latency, 0, "latency", 0, "duration of an append, and of a read without its long poll")
	return &ff.Command{
		Name:      "log",
		Usage:     "standin log [FLAGS]",
		ShortHelp: "simulates the platform's append-only log",
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
	models := fs.StringLong("models", "drafts=1", "models and their initial versions: model=version,...")
	var o weights.Options
	fs.Float64Var(&o.FetchRate, 0, "fetch-rate", 5, "fetches per second; 0: no limit")
	fs.Float64Var(&o.FetchBurst, 0, "fetch-burst", 2, "fetches that may come at once")
	fs.DurationVar(&o.FetchTime, 0, "fetch-time", 0, "duration of a fetch")
	return &ff.Command{
		Name:      "weights",
		Usage:     "standin weights [FLAGS]",
		ShortHelp: "simulates the weight store",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			initial, err := parseModelVersions(*models)
			if err != nil {
				return err
			}
			o.Faults = fault.New()
			store := weights.New(o)
			for model, version := range initial {
				store.Publish(model, version)
			}
			return serve(ctx, "weights", *listen, store, o.Faults)
		},
	}
}

func vmlistCommand() *ff.Command {
	fs := ff.NewFlagSet("vmlist")
	listen := listenFlag(fs)
	file := fs.StringLong("file", "", "JSON file with the initial list, in the format of GET /v1/vms")
	var o vmlist.Options
	fs.DurationVar(&o.Lag, 0, "lag", 0, "time after which a change becomes visible")
	return &ff.Command{
		Name:      "vmlist",
		Usage:     "standin vmlist [FLAGS]",
		ShortHelp: "simulates the platform's list of VMs, which shows changes after a lag",
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

// readVMs reads a list of VMs from a JSON file; "" means an empty list.
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
