package weightsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

// pollLoop asks the weight store for the versions of each model in turn.
func (s *Syncer) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		models := s.models()
		for _, model := range models {
			s.poll(ctx, model)
		}
		s.pause(ctx, jitter(s.pollInterval(len(models))))
	}
	return nil
}

// pollInterval keeps all daemons together within PollBudget.
func (s *Syncer) pollInterval(models int) time.Duration {
	perSecond := float64(models*max(s.opts.Daemons(), 1)) / s.opts.PollBudget
	return max(s.opts.PollInterval, time.Duration(perSecond*float64(time.Second)))
}

// jitter varies d by up to a quarter either way, so that daemons started together
// don't poll together.
func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }

func (s *Syncer) models() []ident.Model {
	var models []ident.Model
	for _, t := range s.opts.Targets() {
		if !slices.Contains(models, t.Model) {
			models = append(models, t.Model)
		}
	}
	return models
}

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
