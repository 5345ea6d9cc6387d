// Package app wires one daemon together with fx. Each file holds the module of
// one part; run.go starts and stops the whole.
package app

import (
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/command"
	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/httpapi"
	"github.com/dogwoodflow/dogwoodflow/internal/keyed"
	"github.com/dogwoodflow/dogwoodflow/internal/peer"
	"github.com/dogwoodflow/dogwoodflow/internal/query"
	"github.com/dogwoodflow/dogwoodflow/internal/rollouts"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// timelineEvents is how many events a daemon keeps.
const timelineEvents = 16 << 10

// Options returns everything that a daemon consists of.
func Options(d *settings.Daemon, log zerolog.Logger) fx.Option {
	return fx.Options(
		fx.Supply(d),
		fx.Provide(func() zerolog.Logger { return log }),
		fx.Provide(newRecorder),
		platformModule,
		configModule,
		dispatchModule,
		peerModule,
		keyedModule,
		weightsModule,
		rolloutsModule,
		apiModule,
		fx.Invoke(registerDaemon),
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(d.DrainTimeout+stopMargin),
	)
}

// startSpread spreads the first reads of the log by daemons that start together.
const startSpread = 500 * time.Millisecond

const (
	startTimeout = 30 * time.Second
	stopMargin   = 10 * time.Second
)

func newRecorder(d *settings.Daemon) *timeline.Recorder {
	return timeline.New(d.VM, timelineEvents)
}

var apiModule = fx.Module("api", fx.Provide(newCommands, newQueries, newAPI, newPorts))

func newCommands(s *settings.Daemon, d *dispatch.Dispatcher, k *keyed.Service, c *confsync.Store, m *rollouts.Manager) *command.Commands {
	return command.New(d, k, c, m, s.RequestTimeout)
}

func newQueries(c *confsync.Store, m *rollouts.Manager, p *peer.Service, d *dispatch.Dispatcher) *query.Queries {
	return query.New(c, m, p, d)
}

func newAPI(s *settings.Daemon, c *command.Commands, q *query.Queries, p *peer.Service) *httpapi.API {
	api := httpapi.New(c, q, s.AdminToken)
	api.ReadyOnceSettled(p.Settled)
	return api
}
