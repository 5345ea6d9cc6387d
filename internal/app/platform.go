package app

import (
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/infra"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

var platformModule = fx.Module("platform", fx.Provide(newLog, newWeightStore, newVMLister, newUpstreamClient))

func newLog(d *settings.Daemon) (infra.Log, error) {
	return infra.NewHTTPLog(d.LogURL, infra.Options{})
}

func newWeightStore(d *settings.Daemon) (infra.WeightStore, error) {
	return infra.NewHTTPWeightStore(d.WeightsURL, infra.Options{})
}

func newVMLister(d *settings.Daemon) (infra.VMLister, error) {
	return infra.NewHTTPVMLister(d.VMListURL, infra.Options{})
}

func newUpstreamClient() *upstream.Client { return upstream.New(upstream.Options{}) }
