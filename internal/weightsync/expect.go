package weightsync

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// maxHints bounds the models that wait for a poll at once.
const maxHints = 64

// expectations are versions that trainers name and the store hasn't shown yet.
type expectations struct {
	newest map[ident.Model]ident.Version // under the syncer's lock
	polls  chan ident.Model              // to be polled at once
}

func newExpectations() expectations {
	return expectations{newest: map[ident.Model]ident.Version{}, polls: make(chan ident.Model, maxHints)}
}

// Expect has the store asked for a model's versions at once, since a trainer names a
// newer one than is known: its next step waits for engines to load it. It is asked
// once for each version named, whatever trainers say; the rest is up to the
// regular polls.
func (s *Syncer) Expect(model ident.Model, v ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v <= s.newest[model] || v <= s.expected.newest[model] {
		return
	}
	s.expected.newest[model] = v
	select {
	case s.expected.polls <- model:
	default: // the regular polls will do
	}
}

// pause waits for d and polls the models that trainers expect news of meanwhile.
func (s *Syncer) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case model := <-s.expected.polls:
			s.poll(ctx, model)
		}
	}
}
