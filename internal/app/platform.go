package app

import (
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/platform"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

var platformModule = fx.Module("platform", fx.Provide(newLog, newWeightStore, newVMLister, newUpstreamClient))

func newLog(d *settings.Daemon) (platform.Log, error) {
	return platform.NewHTTPLog(d.LogURL, platform.Options{})
}

func newWeightStore(d *settings.Daemon) (platform.WeightStore, error) {
	return platform.NewHTTPWeightStore(d.WeightsURL, platform.Options{})
}

func newVMLister(d *settings.Daemon) (platform.VMLister, error) {
	return platform.NewHTTPVMLister(d.VMListURL, platform.Options{})
}

func newUpstreamClient() *upstream.Client { return upstream.New(upstream.Options{}) }
