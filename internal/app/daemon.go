package app

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/keyed"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
	"github.com/dogwoodflow/dogwoodflow/internal/weightsync"
)

// parts is what the daemon starts and stops.
type parts struct {
	fx.In

	Settings   *settings.Daemon
	Log        zerolog.Logger
	API        *httpapi.API
	Config     *confsync.Store
	Dispatcher *dispatch.Dispatcher
	Keyed      *keyed.Service
	Weights    *weightsync.Syncer
	Rollouts   *rollouts.Manager
	Peers      *peer.Service
	Ports      *Ports
	Ownership  *ownership
}

// Ports is the daemon's HTTP listeners.
type Ports struct{ list []*port }

// InFlight counts the requests being served on each port by its name.
func (p *Ports) InFlight() map[string]int64 {
	out := map[string]int64{}
	for _, each := range p.list {
		out[each.name] = each.inFlight.Load()
	}
	return out
}

// daemon starts and stops the parts in an order that cuts nothing.
type daemon struct {
	parts
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func registerDaemon(lc fx.Lifecycle, p parts) {
	d := &daemon{parts: p}
	lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
}

func (d *daemon) start(context.Context) error {
	if err := openAll(d.Ports.list); err != nil {
		return err
	}
	if err := d.Peers.Listen(); err != nil {
		closeListeners(d.Ports.list)
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.running.Go(func() { d.Config.Follow(ctx) })
	d.running.Go(func() { d.applyConfig(ctx) })
	d.running.Go(func() { d.Dispatcher.Run(ctx) })
	d.running.Go(func() { d.ended(ctx, "keyed", d.Keyed.Run(ctx)) })
	d.running.Go(func() { d.ended(ctx, "weights", d.Weights.Run(ctx)) })
	d.running.Go(func() { d.ended(ctx, "peers", d.Peers.Run(ctx)) })
	for _, p := range d.Ports.list {
		go p.serve()
	}
	d.Log.Info().Str("vm", string(d.Settings.VM)).Str("data_centre", string(d.Settings.DataCentre)).
		Str("caller", d.Settings.CallerAddress).Str("admin", d.Settings.AdminAddress).Msg("started")
	return nil
}

// ended reports a part that stopped while the daemon goes on.
func (d *daemon) ended(ctx context.Context, part string, err error) {
	if err != nil && ctx.Err() == nil {
		d.Log.Error().Err(err).Str("part", part).Msg("part ended")
	}
}

// fleetInterval is between two looks at the daemons.
const fleetInterval = 500 * time.Millisecond

// applyConfig brings each newer configuration to the dispatcher, and each change of
// the daemons, on which it depends what this one uses and owns.
func (d *daemon) applyConfig(ctx context.Context) {
	looks := time.NewTicker(fleetInterval)
	defer looks.Stop()
	for {
		changed := d.Config.Changed()
		state := d.Config.Current()
		if fleet, moved := d.Ownership.look(state); moved {
			d.Dispatcher.SetDaemonView(fleet)
			d.Dispatcher.Apply(state)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-looks.C:
		}
	}
}

// stop is the graceful stop. Readiness falls first and the ports stay open for
// the drain delay, so that the balancer has stopped sending before a connection
// could be refused. Then what is in flight ends whole; only after that do the
// parts that it needs go.
func (d *daemon) stop(ctx context.Context) error {
	began := time.Now()
	d.API.Drain()
	d.Peers.Drain()
	for _, p := range d.Ports.list {
		p.endConnections()
	}
	d.Log.Info().Msg("stopping: not ready any more")
	wait(ctx, d.Settings.DrainDelay)
	var handover sync.WaitGroup
	handover.Go(func() { _ = d.Rollouts.Drain(ctx) })
	err := shutdownAll(ctx, d.Ports.list)
	handover.Wait()
	d.Dispatcher.Drain()
	d.flushClaims(ctx)
	d.cancel()
	d.running.Wait()
	d.Log.Info().Dur("took", time.Since(began)).Err(err).Msg("stopped")
	return err
}

// flushTimeout bounds the wait for a log that is down at a graceful stop.
const flushTimeout = 3 * time.Second

// flushClaims gets the last releases and answers into the log, so that a resend
// at another daemon finds them.
func (d *daemon) flushClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := d.Keyed.Flush(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("claims not all in the log")
	}
}

func wait(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
