package batchrun

import (
	"maps"
	"slices"
	"sync"

	"github.com/dogwoodflow/dogwoodflow/internal/fleet"
	"github.com/dogwoodflow/dogwoodflow/internal/loads"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// shares holds the live engines of each service as they are divided among its models. An
// owner asks for its share at each look, dozens of times a second. Made anew at each look,
// the division of a thousand engines took more than a core; it depends on their addresses
// alone, which change a few times a minute. What the engines serve changes with each load,
// and is filled in then. It is safe for concurrent use.
type shares struct {
	view *fleet.View

	mu        sync.Mutex
	byService map[string]share
}

// share is what is known of one service.
type share struct {
	changes   uint64 // of the upstreams
	input     division
	addresses map[string][]string // by model, as they were divided
	engines   map[string][]registry.Upstream
}

// division is what a service's engines are divided by.
type division struct {
	shape   *routes.Engine
	demand  map[string]int // samples of a batch by model, nil: equally
	engines []string       // addresses, sorted
}

func newShares(view *fleet.View) *shares {
	return &shares{view: view, byService: map[string]share{}}
}

// sameOutcome reports whether two divisions have the same outcome.
func (d division) sameOutcome(o division) bool {
	return d.shape == o.shape && maps.Equal(d.demand, o.demand) && slices.Equal(d.engines, o.engines)
}

// of returns the engines that serve a model. The list must not be changed.
func (s *shares) of(service string, shape *routes.Engine, demand map[string]int, model string) []registry.Upstream {
	changes := s.view.UpstreamChanges()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byService[service]
	if known.engines != nil && known.changes == changes && known.input.shape == shape && maps.Equal(known.input.demand, demand) {
		return known.engines[model]
	}
	byAddress := liveByAddress(s.view.Of(service))
	input := division{shape: shape, demand: demand, engines: slices.Sorted(maps.Keys(byAddress))}
	if known.engines == nil || !known.input.sameOutcome(input) {
		known.input = input
		known.addresses = loads.Share(input.engines, shape.Models, demand, shape.Slots)
	}
	known.changes = changes
	known.engines = fill(known.addresses, byAddress, shape)
	s.byService[service] = known
	return known.engines[model]
}

// liveByAddress returns the engines that aren't leaving, the newest one of an address: the
// entry of the one before may not have lapsed yet.
func liveByAddress(engines []registry.Upstream) map[string]registry.Upstream {
	out := map[string]registry.Upstream{}
	for _, u := range engines {
		if u.Leaving {
			continue
		}
		if other, twice := out[u.Address]; !twice || u.Started >= other.Started {
			out[u.Address] = u
		}
	}
	return out
}

// fill names the engines behind divided addresses.
func fill(divided map[string][]string, byAddress map[string]registry.Upstream, shape *routes.Engine) map[string][]registry.Upstream {
	out := map[string][]registry.Upstream{}
	for model, addresses := range divided {
		for _, a := range addresses {
			u := byAddress[a]
			if u.Slots == 0 {
				u.Slots = shape.Slots
			}
			out[model] = append(out[model], u)
		}
	}
	return out
}
