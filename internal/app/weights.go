package app

import (
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
	"github.com/dogwoodflow/dogwoodflow/internal/weightsync"
)

var weightsModule = fx.Module("weights", fx.Provide(newSyncer))

func newSyncer(d *settings.Daemon, log infra.Log, store infra.WeightStore, disp *dispatch.Dispatcher,
	c *upstream.Client, conf *confsync.Store, o *ownership, logger zerolog.Logger) *weightsync.Syncer {
	return weightsync.New(weightsync.Options{
		Self: d.VM, Log: log, Store: store, Orderer: c, Owners: o, Daemons: o.Daemons, Logger: logger,
		Engines:     engines{disp, conf},
		Targets:     func() []weightsync.Target { return targets(conf.Current().Tree()) },
		OnApplied:   disp.PollNow,
		Configured:  func(name ident.Upstream) bool { return configured(conf.Current().Tree(), name) },
		StartJitter: startSpread,
	})
}

// engines joins what the configuration and the dispatcher know of the engines.
type engines struct {
	dispatcher *dispatch.Dispatcher
	config     *confsync.Store
}

func (e engines) Engines(group string) []weightsync.EngineState {
	declared := e.config.Current().Tree().Fleet.Groups[group]
	var out []weightsync.EngineState
	for _, s := range e.dispatcher.Engines(group) {
		out = append(out, weightsync.EngineState{
			Name: s.Name, Address: s.Address,
			DataCentre: declared.Upstreams[s.Name].DataCentre, ChecksFencing: declared.Upstreams[s.Name].ChecksFencing,
			Serving: s.Serving, Loaded: s.Loaded, Up: s.Up, Leaving: s.Leaving,
		})
	}
	return out
}

func configured(t *config.Tree, name ident.Upstream) bool {
	for _, g := range t.Fleet.Groups {
		if _, ok := g.Upstreams[name]; ok {
			return true
		}
	}
	return false
}

// targets lists each model and group once. Teams may share a model; the highest
// weight for staleness among them decides.
func targets(t *config.Tree) []weightsync.Target {
	type key struct {
		model ident.Model
		group string
	}
	weights := map[key]float64{}
	bounds := map[key]int64{}
	for _, team := range t.Teams {
		for name, m := range team.Models {
			k := key{name, m.Group}
			weights[k] = max(weights[k], team.StalenessWeight)
		}
		for _, job := range team.Jobs {
			m := team.Models[job.Model]
			k, bound := key{job.Model, m.Group}, job.EffectiveStalenessBound(m)
			if have, ok := bounds[k]; !job.Cancelled && (!ok || bound < have) {
				bounds[k] = bound
			}
		}
	}
	out := make([]weightsync.Target, 0, len(weights))
	for k, w := range weights {
		target := weightsync.Target{Model: k.model, Group: k.group, StalenessWeight: w}
		if bound, ok := bounds[k]; ok {
			target.StalenessBound = &bound
		}
		out = append(out, target)
	}
	return out
}
