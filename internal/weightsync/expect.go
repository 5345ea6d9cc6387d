package weightsync

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// maxPendingPolls bounds the models queued for an immediate poll.
const maxPendingPolls = 64

// expectedVersions holds the versions that trainers named and that the weight store didn't list
// yet.
type expectedVersions struct {
	newest  map[ident.Model]ident.Version // newest version named; guarded by Syncer.mu
	pollNow chan ident.Model              // models to poll at once
}

func newExpectedVersions() expectedVersions {
	return expectedVersions{newest: map[ident.Model]ident.Version{}, pollNow: make(chan ident.Model, maxPendingPolls)}
}

// Expect polls the versions of a model at once if a trainer names a newer one than is known,
// since the trainer's next step waits for engines to load it. There is one such poll for each
// version named, however often trainers name it. Any further polls are the regular ones.
func (s *Syncer) Expect(model ident.Model, v ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v <= s.newest[model] || v <= s.expected.newest[model] {
		return
	}
	s.expected.newest[model] = v
	select {
	case s.expected.pollNow <- model:
	default: // left to the regular polls
	}
}

// waitAndPoll waits for d. Meanwhile it polls the models of which trainers expect new versions.
func (s *Syncer) waitAndPoll(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case model := <-s.expected.pollNow:
			s.poll(ctx, model)
		}
	}
}
