package duties

import (
	"context"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/scaling"
)

// scalingDuty names the duty for a service in a data centre in claims.
func scalingDuty(service, dataCentre string) string {
	return "duty/scaling/" + service + "/" + dataCentre
}

// standIn is how long an order is wanted, for each rank, before a daemon that stands in
// gives it: the holder gives it within a second.
const standIn = 3 * time.Second

var (
	scalingOrders  = metrics.Counter("scaling_orders_given")
	scalingRefused = metrics.Counter("scaling_orders_unavailable")
)

// Scaled is a service whose servers may be ordered, as it is now.
type Scaled struct {
	Service string
	Market  scaling.Market
	There   map[string]scaling.Servers // by data centre
	Samples int                        // of one batch of each of its models together
}

// scaler orders servers.
type scaler struct {
	options Options
	view    *view
	caller  *caller
	wished  map[wish]time.Duration // since when an order is wanted
}

// wish is an order for a service.
type wish struct {
	service string
	order   scaling.Order
}

func newScaler(o Options, v *view, c *caller) *scaler {
	return &scaler{options: o, view: v, caller: c, wished: map[wish]time.Duration{}}
}

// act gives the orders that are due now.
func (s *scaler) act(ctx context.Context, rank int) {
	now := s.options.Now()
	still := map[wish]time.Duration{}
	for _, x := range s.options.Scaled() {
		for _, o := range s.decide(x, now) {
			w := wish{x.Service, o}
			since, known := s.wished[w]
			if !known {
				since = now
			}
			still[w] = since
			if now-since < time.Duration(rank)*standIn || ctx.Err() != nil {
				continue
			}
			delete(still, w) // whatever comes of it, others get their turn before the next try
			if s.view.catchUp(ctx) {
				s.order(ctx, x, o)
			}
		}
	}
	s.wished = still
}

func (s *scaler) decide(x Scaled, now time.Duration) []scaling.Order {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	return s.view.ledgerLocked(x.Service).Decide(x.Market, scaling.View{Now: now, There: x.There, Samples: x.Samples})
}

// order gives an order and notes the outcome for everybody.
func (s *scaler) order(ctx context.Context, x Scaled, o scaling.Order) {
	outcome, fence, made := s.caller.do(ctx, scalingDuty(x.Service, o.DataCentre), func(ctx context.Context, c Call) (Outcome, error) {
		return s.options.Platform.Scale(ctx, c, x.Service, o)
	})
	if !made {
		return
	}
	s.options.Logger.Info().Str("service", x.Service).Str("data_centre", o.DataCentre).Bool("spot", o.Spot).Int("count", o.Count).
		Int("regular_there", x.There[o.DataCentre].Regular).Int("spot_there", x.There[o.DataCentre].Spot).Int("samples", x.Samples).
		Int64("fence", fence).Str("outcome", outcome.String()).Msg("servers ordered")
	switch outcome {
	case Done, Unknown: // what got no answer may be carried out
		scalingOrders.Add(1)
		s.note(ctx, ordered{Service: x.Service, Order: o})
	default: // there are none, or the order isn't taken for another reason: not again at once
		scalingRefused.Add(1)
		s.note(ctx, ordered{Service: x.Service, Order: o, Unavailable: true})
	}
}

// note has this daemon know of an order at once, and the others by the log.
func (s *scaler) note(ctx context.Context, o ordered) {
	s.view.mu.Lock()
	s.view.orderedLocked(o)
	s.view.mu.Unlock()
	s.view.append(ctx, entry{Ordered: &o}) // it logs a failure; the others then see the servers
}
