package duties

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
)

// scalingDuty returns the name in claims of the duty to order a service's servers in a data
// centre.
func scalingDuty(service, dataCentre string) string {
	return "duty/scaling/" + service + "/" + dataCentre
}

// takeoverDelay times its rank is the time for which an order must have been needed before a
// standby places it. Rank 0 places it within a second.
const takeoverDelay = 3 * time.Second

var (
	ordersPlaced      = metrics.Counter("scaling_orders_given")
	ordersUnavailable = metrics.Counter("scaling_orders_unavailable")
)

// ScaledService describes a service whose servers may be ordered, and its servers now.
type ScaledService struct {
	Service     string
	Spec        scaling.ServiceSpec        // what may be ordered
	Servers     map[string]scaling.Servers // existing servers by data centre
	StepSamples int                        // total of one batch of each of the service's models
}

// scaler performs the duty of ordering servers.
type scaler struct {
	options     Options
	view        *view
	caller      *fencedCaller
	neededSince map[neededOrder]time.Duration // orders needed at the last run, and since when
}

// neededOrder is an order for a service.
type neededOrder struct {
	service string
	order   scaling.Order
}

func newScaler(o Options, v *view, c *fencedCaller) *scaler {
	return &scaler{options: o, view: v, caller: c, neededSince: map[neededOrder]time.Duration{}}
}

// runDue places the orders that are due now.
func (s *scaler) runDue(ctx context.Context, rank int) {
	now := s.options.Now()
	stillNeeded := map[neededOrder]time.Duration{}
	for _, service := range s.options.ScaledServices() {
		for _, o := range s.decide(service, now) {
			key := neededOrder{service.Service, o}
			since, known := s.neededSince[key]
			if !known {
				since = now
			}
			stillNeeded[key] = since
			if now-since < time.Duration(rank)*takeoverDelay || ctx.Err() != nil {
				continue
			}
			delete(stillNeeded, key) // after any outcome this daemon waits again, so that others go first
			if s.view.catchUp(ctx) {
				s.placeOrder(ctx, service, o)
			}
		}
	}
	s.neededSince = stillNeeded
}

// decide returns the orders that a service needs now.
func (s *scaler) decide(service ScaledService, now time.Duration) []scaling.Order {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	return s.view.plannerLocked(service.Service).Decide(service.Spec, scaling.State{Now: now, Servers: service.Servers, StepSamples: service.StepSamples})
}

// placeOrder places an order and records the outcome.
func (s *scaler) placeOrder(ctx context.Context, service ScaledService, o scaling.Order) {
	outcome, fence, made := s.caller.claimAndCall(ctx, scalingDuty(service.Service, o.DataCentre), func(ctx context.Context, c Claim) (Outcome, error) {
		return s.options.Platform.Scale(ctx, c, service.Service, o)
	})
	if !made {
		return
	}
	s.options.Logger.Info().Str("service", service.Service).Str("data_centre", o.DataCentre).Bool("spot", o.Spot).Int("count", o.Count).
		Int("regular_there", service.Servers[o.DataCentre].Regular).Int("spot_there", service.Servers[o.DataCentre].Spot).Int("samples", service.StepSamples).
		Int64("fence", fence).Str("outcome", outcome.String()).Msg("servers ordered")
	switch outcome {
	case Done, Unknown: // an order without an answer may be carried out
		ordersPlaced.Add(1)
		s.recordOrder(ctx, orderRecord{Service: service.Service, Order: o})
	default: // no servers available, or refused for another reason: don't order again at once
		ordersUnavailable.Add(1)
		s.recordOrder(ctx, orderRecord{Service: service.Service, Order: o, Unavailable: true})
	}
}

// recordOrder applies an order to this daemon's view at once, and appends it to the log for
// the other daemons.
func (s *scaler) recordOrder(ctx context.Context, o orderRecord) {
	s.view.mu.Lock()
	s.view.applyOrderLocked(o)
	s.view.mu.Unlock()
	s.view.append(ctx, logRecord{Ordered: &o}) // logs a failure; the others see the servers when they register
}
