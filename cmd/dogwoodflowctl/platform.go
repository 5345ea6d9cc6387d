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
	"github.com/dogwoodflow/dogwoodflow/internal/customers"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect"
	"github.com/dogwoodflow/dogwoodflow/internal/inspect/pages"
)

// platformCommand asks daemons that run on the platform for their own view. They
// answer on their metrics address, without a key.
func platformCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("platform").SetParent(parent)
	p := &platformDaemons{g: g}
	fs.StringVar(&p.addresses, 'd', "daemons", "http://127.0.0.1:9464", "base URLs of daemons' metrics addresses, separated by commas")
	c := group("platform", "looks into daemons on the platform", fs,
		p.command(fs, "status", "shows each daemon's readiness, configuration and view of the store", p.status),
		p.command(fs, "upstreams", "lists upstreams by incarnation, with the holder of their orders", p.upstreams),
		p.command(fs, "duties", "shows who does what one daemon at a time does, and the servers ordered", p.duties),
		p.command(fs, "customers", "lists customers' keys in force, by hash", p.customers),
		p.command(fs, "batches", "lists batches and who runs them", p.batches),
		p.idCommand(fs, "batch", "shows a batch with its samples", p.batch),
		p.idCommand(fs, "end", "ends a batch; what is listed stays listed", p.end),
	)
	c.Flags = fs
	return c
}

// platformDaemons are the daemons that are asked.
type platformDaemons struct {
	g         *globals
	addresses string
}

func (p *platformDaemons) command(parent *ff.FlagSet, name, help string, exec func(context.Context) error) *ff.Command {
	return &ff.Command{
		Name: name, Usage: "dogwoodflowctl platform " + name + " --daemons URL[,URL...]", ShortHelp: help,
		Flags: ff.NewFlagSet(name).SetParent(parent), Exec: noArgs(exec),
	}
}

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

// first asks one daemon after the other until one answers.
func (p *platformDaemons) first(ctx context.Context, method, path string, out any) error {
	clients, err := p.clients()
	if err != nil {
		return err
	}
	var failed []error
	for _, c := range clients {
		err := c.Call(ctx, method, path, nil, out)
		if err == nil {
			return nil
		}
		failed = append(failed, err)
		var transport *adminclient.TransportError
		if !errors.As(err, &transport) || method != http.MethodGet {
			break // an answer, or a change that may have been made: asking on would blur it
		}
	}
	return errors.Join(failed...)
}

func (p *platformDaemons) status(ctx context.Context) error {
	clients, err := p.clients()
	if err != nil {
		return err
	}
	var all []inspect.Status
	var failed []error
	for _, c := range clients {
		var s inspect.Status
		if err := c.Call(ctx, http.MethodGet, pages.PathStatus, nil, &s); err != nil {
			failed = append(failed, err)
			continue
		}
		all = append(all, s)
	}
	if err := p.g.show(all, func(t table) { statusTable(t, all) }); err != nil {
		return err
	}
	return errors.Join(failed...)
}

func (p *platformDaemons) upstreams(ctx context.Context) error {
	var list []inspect.Upstream
	if err := p.first(ctx, http.MethodGet, pages.PathUpstreams, &list); err != nil {
		return err
	}
	return p.g.show(list, func(t table) { incarnationsTable(t, list) })
}

// dutiesOf is a daemon's view of the duties.
type dutiesOf struct {
	Daemon string `json:"daemon"`
	inspect.Duties
}

// duties asks every daemon: what a daemon without a turn knows of them is little.
func (p *platformDaemons) duties(ctx context.Context) error {
	clients, err := p.clients()
	if err != nil {
		return err
	}
	var all []dutiesOf
	var failed []error
	for i, c := range clients {
		d := dutiesOf{Daemon: strings.TrimSpace(strings.Split(p.addresses, ",")[i])}
		if err := c.Call(ctx, http.MethodGet, pages.PathDuties, nil, &d.Duties); err != nil {
			failed = append(failed, err)
			continue
		}
		all = append(all, d)
	}
	if err := p.g.show(all, func(t table) { dutiesTable(t, all) }); err != nil {
		return err
	}
	return errors.Join(failed...)
}

func (p *platformDaemons) customers(ctx context.Context) error {
	var list []customers.ActiveKey
	if err := p.first(ctx, http.MethodGet, pages.PathCustomers, &list); err != nil {
		return err
	}
	return p.g.show(list, func(t table) {
		t.row("CUSTOMER", "KEY (SHA-256, FIRST DIGITS)")
		for _, k := range list {
			t.row(k.Customer, k.SHA256)
		}
	})
}

func (p *platformDaemons) batches(ctx context.Context) error {
	var list []inspect.Batch
	if err := p.first(ctx, http.MethodGet, pages.PathBatches, &list); err != nil {
		return err
	}
	return p.g.show(list, func(t table) { batchesTable(t, list) })
}

func (p *platformDaemons) batch(ctx context.Context, id string) error {
	var b inspect.BatchDetail
	if err := p.first(ctx, http.MethodGet, pages.PathBatches+"/"+url.PathEscape(id), &b); err != nil {
		return err
	}
	return p.g.show(b, func(t table) { batchTable(t, b) })
}

func (p *platformDaemons) end(ctx context.Context, id string) error {
	if err := p.first(ctx, http.MethodDelete, pages.PathBatches+"/"+url.PathEscape(id), nil); err != nil {
		return hintUnknown(err, "ending a batch again is safe")
	}
	return p.g.show(map[string]string{"ended": id}, func(t table) { t.text("ended %s", id) })
}

func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

func statusTable(t table, all []inspect.Status) {
	t.row("VM", "DATA CENTRE", "READY", "CONFIG", "IN FORCE FOR", "ROUTES", "OWNS", "OLDEST VIEW", "OUT OF CONTACT")
	for _, s := range all {
		ready := "yes"
		if s.NotReady != "" {
			ready = "no: " + s.NotReady
		}
		oldest, silent := viewsOf(s.Views)
		t.row(s.VM, s.DataCentre, ready, s.Config.Version, age(s.Config.AgeMS), s.Config.Routes, joined(s.Owns), oldest, silent)
	}
}

// viewsOf sums views up: the age of the oldest, and those whose reads fail.
func viewsOf(views []inspect.View) (oldest, silent string) {
	most := int64(0)
	var failing []string
	for _, v := range views {
		if v.AgeMS < 0 {
			oldest = age(v.AgeMS)
		}
		most = max(most, v.AgeMS)
		if !v.InContact {
			failing = append(failing, fmt.Sprintf("%s/%d", v.Topic, v.Part))
		}
	}
	if oldest == "" {
		oldest = age(most)
	}
	return oldest, strings.Join(failing, " ")
}

func joined(parts []int) string {
	var out []string
	for _, n := range parts {
		out = append(out, fmt.Sprint(n))
	}
	return strings.Join(out, " ")
}

func dutiesTable(t table, all []dutiesOf) {
	t.row("DAEMON", "RANK", "LAST WINDOW REPORTED", "DUTY", "LAST HOLDER", "FENCE", "CLAIMED AGO")
	for _, d := range all {
		for _, h := range d.Held {
			t.row(d.Daemon, d.Rank, d.LastWindow, h.Duty, h.VM, h.Fence, age(h.AgeMS))
		}
	}
	t.row("DAEMON", "SERVICE", "DATA CENTRE", "REGULAR", "SPOT", "SPOT ORDERED")
	for _, d := range all {
		for _, s := range d.Servers {
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
		t.row(u.ID, u.Service, u.Address, u.DataCentre, state, u.Slots, weightsOf(u.Models), u.Holder, u.Fence)
	}
}

func weightsOf(models map[string]int64) string {
	var out []string
	for _, m := range slices.Sorted(maps.Keys(models)) {
		out = append(out, fmt.Sprintf("%s:%d", m, models[m]))
	}
	return strings.Join(out, " ")
}

func batchesTable(t table, list []inspect.Batch) {
	t.row("BATCH", "MODEL", "PART", "OWNER", "AGE", "STATE", "SAMPLES", "COMPLETED", "DEAD", "RUNNING HERE")
	for _, b := range list {
		t.row(b.ID, b.Model, b.Part, b.Owner, age(b.AgeMS), batchState(b), b.Samples, b.Completed, b.Dead, b.Running)
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
	for _, s := range b.List {
		t.row(s.ID, s.Group, s.State, s.Position, s.Events, s.Failures, s.Upstream)
	}
}
