package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
	"github.com/dogwoodflow/dogwoodflow/internal/admission"
	"github.com/dogwoodflow/dogwoodflow/internal/customers"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect/pages"
)

// platformCommand shows the state of daemons that run on the platform. They serve it on their
// metrics address, without authentication.
func platformCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("platform").SetParent(parent)
	p := &platformDaemons{g: g}
	fs.StringVar(&p.addresses, 'd', "daemons", "http://127.0.0.1:9464", "comma-separated base URLs of daemons' metrics addresses")
	c := commandGroup("platform", "shows the state of daemons on the platform", fs,
		p.command(fs, "status", "shows each daemon's readiness, configuration and view of the store", p.status),
		p.command(fs, "upstreams", "lists upstreams by incarnation, with the VM that holds the claim on each", p.upstreams),
		p.command(fs, "duties", "shows the holders of the duties that one daemon at a time performs, and the servers ordered", p.duties),
		p.command(fs, "load", "shows by service and customer which calls each daemon admits, and the inputs of that", p.load),
		p.command(fs, "customers", "lists the hashes of the customers' keys in force", p.customers),
		p.command(fs, "batches", "lists batches and the VMs that run them", p.batches),
		p.idCommand(fs, "batch", "shows a batch with its samples", p.batch),
		p.idCommand(fs, "end", "ends a batch; its results so far are kept", p.end),
	)
	c.Flags = fs
	return c
}

// platformDaemons are the daemons that --daemons names.
type platformDaemons struct {
	g         *globals
	addresses string // comma-separated base URLs
}

// command returns a command without arguments.
func (p *platformDaemons) command(parent *ff.FlagSet, name, help string, exec func(context.Context) error) *ff.Command {
	return &ff.Command{
		Name: name, Usage: "dogwoodflowctl platform " + name + " --daemons URL[,URL...]", ShortHelp: help,
		Flags: ff.NewFlagSet(name).SetParent(parent), Exec: noArgs(exec),
	}
}

// idCommand returns a command whose argument is the ID of a batch.
func (p *platformDaemons) idCommand(parent *ff.FlagSet, name, help string, exec func(context.Context, string) error) *ff.Command {
	return &ff.Command{
		Name: name, Usage: "dogwoodflowctl platform " + name + " --daemons URL[,URL...] BATCH", ShortHelp: help,
		Flags: ff.NewFlagSet(name).SetParent(parent),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("%s takes the ID of one batch", name)
			}
			return exec(ctx, args[0])
		},
	}
}

// clients returns a client for each daemon.
func (p *platformDaemons) clients() ([]*adminclient.Client, error) {
	var out []*adminclient.Client
	for base := range strings.SplitSeq(p.addresses, ",") {
		client, err := adminclient.New(strings.TrimSpace(base), "", p.g.caFile)
		if err != nil {
			return nil, usageError{err.Error()}
		}
		out = append(out, client)
	}
	return out, nil
}

// callFirst calls the daemons in order until one answers, and decodes its response into out. It
// calls no other daemon after an error response, nor after any error of a call that isn't a read.
func (p *platformDaemons) callFirst(ctx context.Context, method, path string, out any) error {
	clients, err := p.clients()
	if err != nil {
		return err
	}
	var errs []error
	for _, c := range clients {
		err := c.Call(ctx, method, path, nil, out)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
		var transport *adminclient.TransportError
		if !errors.As(err, &transport) || method != http.MethodGet {
			break // a response, or a change that may have been made: another call would obscure it
		}
	}
	return errors.Join(errs...)
}

func (p *platformDaemons) status(ctx context.Context) error {
	clients, err := p.clients()
	if err != nil {
		return err
	}
	var statuses []inspect.Status
	var errs []error
	for _, c := range clients {
		var s inspect.Status
		if err := c.Call(ctx, http.MethodGet, pages.PathStatus, nil, &s); err != nil {
			errs = append(errs, err)
			continue
		}
		statuses = append(statuses, s)
	}
	if err := p.g.printResult(statuses, func(t table) { statusTable(t, statuses) }); err != nil {
		return err
	}
	return errors.Join(errs...)
}

func (p *platformDaemons) upstreams(ctx context.Context) error {
	var list []inspect.Upstream
	if err := p.callFirst(ctx, http.MethodGet, pages.PathUpstreams, &list); err != nil {
		return err
	}
	return p.g.printResult(list, func(t table) { incarnationsTable(t, list) })
}

// daemonDuties are the duties as one daemon reports them.
type daemonDuties struct {
	Daemon string `json:"daemon"` // base URL
	inspect.Duties
}

// duties calls every daemon, since a daemon that isn't a candidate knows little about the duties.
func (p *platformDaemons) duties(ctx context.Context) error {
	clients, err := p.clients()
	if err != nil {
		return err
	}
	var all []daemonDuties
	var errs []error
	for i, c := range clients {
		d := daemonDuties{Daemon: strings.TrimSpace(strings.Split(p.addresses, ",")[i])}
		if err := c.Call(ctx, http.MethodGet, pages.PathDuties, nil, &d.Duties); err != nil {
			errs = append(errs, err)
			continue
		}
		all = append(all, d)
	}
	if err := p.g.printResult(all, func(t table) { dutiesTable(t, all) }); err != nil {
		return err
	}
	return errors.Join(errs...)
}

// daemonLoad is the admission to the services of one daemon.
type daemonLoad struct {
	Daemon   string             `json:"daemon"` // base URL
	Services []admission.Status `json:"services"`
}

// load calls every daemon, since each decides on its own callers' calls.
func (p *platformDaemons) load(ctx context.Context) error {
	clients, err := p.clients()
	if err != nil {
		return err
	}
	var all []daemonLoad
	var errs []error
	for i, c := range clients {
		d := daemonLoad{Daemon: strings.TrimSpace(strings.Split(p.addresses, ",")[i])}
		if err := c.Call(ctx, http.MethodGet, pages.PathLoad, nil, &d.Services); err != nil {
			errs = append(errs, err)
			continue
		}
		all = append(all, d)
	}
	if err := p.g.printResult(all, func(t table) { loadTable(t, all) }); err != nil {
		return err
	}
	return errors.Join(errs...)
}

func (p *platformDaemons) customers(ctx context.Context) error {
	var list []customers.ActiveKey
	if err := p.callFirst(ctx, http.MethodGet, pages.PathCustomers, &list); err != nil {
		return err
	}
	return p.g.printResult(list, func(t table) {
		t.row("CUSTOMER", "KEY (SHA-256, FIRST DIGITS)")
		for _, k := range list {
			t.row(k.Customer, k.SHA256)
		}
	})
}

func (p *platformDaemons) batches(ctx context.Context) error {
	var list []inspect.Batch
	if err := p.callFirst(ctx, http.MethodGet, pages.PathBatches, &list); err != nil {
		return err
	}
	return p.g.printResult(list, func(t table) { batchesTable(t, list) })
}

func (p *platformDaemons) batch(ctx context.Context, id string) error {
	var b inspect.BatchDetail
	if err := p.callFirst(ctx, http.MethodGet, pages.PathBatches+"/"+url.PathEscape(id), &b); err != nil {
		return err
	}
	return p.g.printResult(b, func(t table) { batchTable(t, b) })
}

func (p *platformDaemons) end(ctx context.Context, id string) error {
	if err := p.callFirst(ctx, http.MethodDelete, pages.PathBatches+"/"+url.PathEscape(id), nil); err != nil {
		return hintIfUnknown(err, "Ending the batch again is safe.")
	}
	return p.g.printResult(map[string]string{"ended": id}, func(t table) { t.text("ended %s", id) })
}

// formatAge formats an age in ms, where -1 means never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func statusTable(t table, statuses []inspect.Status) {
	t.row("VM", "DATA CENTRE", "READY", "CONFIG", "IN FORCE FOR", "ROUTES", "OWNS", "OLDEST VIEW", "OUT OF CONTACT")
	for _, s := range statuses {
		ready := "yes"
		if s.NotReady != "" {
			ready = "no: " + s.NotReady
		}
		oldestView, outOfContact := summarizeViews(s.Views)
		t.row(s.VM, s.DataCentre, ready, s.Config.Version, formatAge(s.Config.AgeMS), s.Config.Routes, joinInts(s.OwnedPartitions), oldestView, outOfContact)
	}
}

// summarizeViews returns the age of the oldest view, and the partitions whose reads fail.
func summarizeViews(views []inspect.View) (oldestView, outOfContact string) {
	maxAgeMS := int64(0)
	var failedViews []string
	for _, v := range views {
		if v.AgeMS < 0 {
			oldestView = formatAge(v.AgeMS)
		}
		maxAgeMS = max(maxAgeMS, v.AgeMS)
		if !v.InContact {
			failedViews = append(failedViews, fmt.Sprintf("%s/%d", v.Topic, v.Part))
		}
	}
	if oldestView == "" {
		oldestView = formatAge(maxAgeMS)
	}
	return oldestView, strings.Join(failedViews, " ")
}

// joinInts formats partition numbers.
func joinInts(numbers []int) string {
	var out []string
	for _, n := range numbers {
		out = append(out, fmt.Sprint(n))
	}
	return strings.Join(out, " ")
}

func dutiesTable(t table, duties []daemonDuties) {
	t.row("DAEMON", "RANK", "LAST WINDOW REPORTED", "DUTY", "LAST HOLDER", "FENCE", "CLAIMED AGO")
	for _, d := range duties {
		for _, h := range d.Holders {
			t.row(d.Daemon, d.Rank, d.LastWindow, h.Duty, h.VM, h.Fence, formatAge(h.AgeMS))
		}
	}
	t.row("DAEMON", "SERVICE", "DATA CENTRE", "REGULAR", "SPOT", "SPOT ORDERED")
	for _, d := range duties {
		for _, s := range d.ServerCounts {
			t.row(d.Daemon, s.Service, s.DataCentre, s.Regular, s.Spot, s.SpotOrdered)
		}
	}
}

func incarnationsTable(t table, list []inspect.Upstream) {
	t.row("UPSTREAM", "SERVICE", "ADDRESS", "DATA CENTRE", "STATE", "SLOTS", "WEIGHTS", "HOLDER", "FENCE")
	for _, u := range list {
		state := "ready"
		if u.Leaving {
			state = "leaving"
		}
		t.row(u.ID, u.Service, u.Address, u.DataCentre, state, u.Slots, formatWeights(u.Models), u.DutyHolder, u.Fence)
	}
}

// formatWeights formats the weight versions by model.
func formatWeights(models map[string]int64) string {
	var out []string
	for _, m := range slices.Sorted(maps.Keys(models)) {
		out = append(out, fmt.Sprintf("%s:%d", m, models[m]))
	}
	return strings.Join(out, " ")
}

func batchesTable(t table, list []inspect.Batch) {
	t.row("BATCH", "MODEL", "PART", "OWNER", "AGE", "STATE", "SAMPLES", "COMPLETED", "DEAD", "RUNNING HERE")
	for _, b := range list {
		t.row(b.ID, b.Model, b.Part, b.Owner, formatAge(b.AgeMS), batchState(b), b.Samples, b.Completed, b.Dead, b.Running)
	}
}

func batchState(b inspect.Batch) string {
	if b.Ended {
		return "ended"
	}
	return "open"
}

func batchTable(t table, b inspect.BatchDetail) {
	t.row("batch", b.ID)
	t.row("model", fmt.Sprintf("%s, weights %d or newer", b.Model, b.MinVersion))
	t.row("state", batchState(b.Batch))
	t.row("owner", b.Owner)
	t.row("samples", fmt.Sprintf("%d completed, %d dead, %d running here, of %d", b.Completed, b.Dead, b.Running, b.Samples))
	t.row("SAMPLE", "GROUP", "STATE", "POSITION", "EVENTS KEPT", "FAILURES", "UPSTREAM")
	for _, s := range b.SampleDetails {
		t.row(s.ID, s.Group, s.State, s.Position, s.Events, s.Failures, s.Upstream)
	}
}
