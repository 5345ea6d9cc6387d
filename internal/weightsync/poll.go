package weightsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

// pollLoop polls the weight store for the versions of all models, one after the other.
func (s *Syncer) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		models := s.models()
		for _, model := range models {
			s.poll(ctx, model)
		}
		s.waitAndPoll(ctx, jitter(s.pollInterval(len(models))))
	}
	return nil
}

// pollInterval returns the time between two rounds of polls, which keeps all daemons together
// within MaxPollsPerSecond. models is the number of models polled in a round.
func (s *Syncer) pollInterval(models int) time.Duration {
	seconds := float64(models*max(s.opts.Daemons(), 1)) / s.opts.MaxPollsPerSecond
	return max(s.opts.PollInterval, time.Duration(seconds*float64(time.Second)))
}

// jitter varies d by up to a quarter in either direction, so that daemons that started
// together don't poll together.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }

// models returns the models of the targets.
func (s *Syncer) models() []ident.Model {
	var models []ident.Model
	for _, t := range s.opts.Targets() {
		if !slices.Contains(models, t.Model) {
			models = append(models, t.Model)
		}
	}
	return models
}

// poll asks the weight store for the versions of a model.
func (s *Syncer) poll(ctx context.Context, model ident.Model) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	versions, err := s.opts.Store.Versions(ctx, model)
	if err != nil {
		metrics.Counter("weights_poll_failures").Add(1)
		return
	}
	if len(versions) > 0 {
		s.OfferNewest(model, slices.Max(versions))
	}
}
