package app

import (
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/confsync"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
)

var configModule = fx.Module("config", fx.Provide(newStore, newOwnership))

// snapshotKey is the key whose owner writes the configuration's snapshots.
const snapshotKey = "config-snapshot"

func newStore(d *settings.Daemon, log infra.Log, logger zerolog.Logger, o *ownership) *confsync.Store {
	return confsync.New(log, logger, confsync.Options{
		StartJitter:      startSpread,
		Retention:        config.Retention{Age: d.LogRetention},
		IsSnapshotWriter: func() bool { _, self := o.Owner(snapshotKey); return self },
	})
}
