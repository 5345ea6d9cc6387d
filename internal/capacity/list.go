package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/wire"
)

// listWindow is from the daemon's start on: its first read of the list counts.
const listWindow = 10 * time.Second

// measureList: the reads of a list of n VMs. The window begins with the daemon's
// life, since a long list is read once and then stands for minutes.
func measureList(ctx context.Context, w *World, n int) ([]Sample, error) {
	vms := make([]wire.VMEntry, n)
	for i := range vms {
		vms[i] = wire.VMEntry{Name: fmt.Sprintf("vm-of-the-fleet-%05d", i), Role: wire.VMRoleUpstream, DataCentre: dataCentre}
	}
	w.vms.Set(vms)
	began := time.Now()
	if err := w.begin(ctx, baseEngines); err != nil {
		return nil, err
	}
	pause(ctx, listWindow-time.Since(began))
	now, err := w.observe(ctx)
	if err != nil {
		return nil, err
	}
	return []Sample{{
		Series: "VMs on the list", Size: float64(n), Seconds: time.Since(began).Seconds(),
		RSS: float64(now.process.RSSBytes), Done: float64(now.traffic[meterVMs].Exchanges), Traffic: now.traffic,
	}}, nil
}
