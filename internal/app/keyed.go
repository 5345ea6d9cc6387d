package app

import (
	"errors"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/keyed"
	"github.com/dogwoodflow/dogwoodflow/internal/outcome"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
)

var keyedModule = fx.Module("keyed", fx.Provide(newKeyed))

func newKeyed(d *settings.Daemon, log infra.Log, logger zerolog.Logger, o *ownership) *keyed.Service {
	return keyed.New(keyed.Options{
		Log: log, VM: d.VM, Logger: logger, Daemons: o.Daemons, OutcomeOf: outcomeOf,
		StartJitter: startSpread,
	})
}

// outcomeOf reads what dispatching says of a call; anything else may have run.
func outcomeOf(err error) outcome.Outcome {
	var e *dispatch.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return outcome.Unknown
}
