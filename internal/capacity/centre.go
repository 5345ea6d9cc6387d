package capacity

import "context"

const (
	// centreDaemons are the other daemons of the planned data centre.
	centreDaemons = 29
	// centreLeases is how many lease records a second they append, see renewSeconds.
	centreLeases = 6
)

// measureCentre: a data centre of 30 daemons and n engines, at rest. The daemon uses
// its subset, gives orders to its own engines and reads the others' leases. It has
// more links than it would dial: each fake is connected with it.
func measureCentre(ctx context.Context, w *World, n int) ([]Sample, error) {
	if err := w.startPeers(centreDaemons); err != nil {
		return nil, err
	}
	pause(ctx, 2*settle) // before there is an engine to be owned
	if err := w.begin(ctx, n); err != nil {
		return nil, err
	}
	renewing, stop := context.WithCancel(ctx)
	defer stop()
	go w.foreignLeases(renewing, centreLeases)
	pause(ctx, settle)
	s, err := w.measure(ctx, "data centre of 30 daemons, upstreams", n, rest(2*window))
	return []Sample{s}, err
}
