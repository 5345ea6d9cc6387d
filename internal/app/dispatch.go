package app

import (
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

var dispatchModule = fx.Module("dispatch", fx.Provide(newDispatcher))

func newDispatcher(d *settings.Daemon, c *upstream.Client, log zerolog.Logger, r *timeline.Recorder) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Options{
		Self: d.VM, DataCentre: d.DataCentre, Client: c,
		Policy: dispatch.Policy(d.Policy), Log: log, Recorder: r,
	})
}
