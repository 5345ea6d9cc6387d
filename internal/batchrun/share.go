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
// the division of a thousand engines took more than a core; it depends on the addresses of
// the engines that the models can use, a part of a large fleet's, which change seldom. What
// the engines serve changes with each load, and is filled in then. It is safe for concurrent
// use.
type shares struct {
	view *fleet.View

	mu        sync.Mutex
	byService map[string]*share
	divisions int // made so far
}

// share is what is known of one service.
type share struct {
	members uint64 // of the service, see registry.Members
	input   division
	ids     map[string][]string // by model, as they were divided
	filled  map[string]filled   // by model
}

// filled is a model's engines as they are now.
type filled struct {
	changes uint64 // of the upstreams
	engines []registry.Upstream
}

// division is what a service's engines are divided by.
type division struct {
	shape   *routes.Engine
	demand  map[string]int // samples of a batch by model, nil: equally
	engines []string       // addresses, sorted
	byModel map[string][]string
}

// divide sets byModel, which depends on the other fields alone, and reports whether it had to
// be made anew.
func (d *division) divide(before *share) bool {
	if before != nil && before.input.shape == d.shape && maps.Equal(before.input.demand, d.demand) && slices.Equal(before.input.engines, d.engines) {
		d.byModel = before.input.byModel
		return false
	}
	d.byModel = loads.Share(d.engines, d.shape.Models, d.demand, d.shape.Slots)
	return true
}

func newShares(view *fleet.View) *shares {
	return &shares{view: view, byService: map[string]*share{}}
}

// of returns the engines that serve a model. The list must not be changed.
func (s *shares) of(service string, shape *routes.Engine, demand map[string]int, model string) []registry.Upstream {
	members, changes := s.view.Members(service), s.view.UpstreamChanges()
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.byService[service]
	if known == nil || known.members != members || known.input.shape != shape || !maps.Equal(known.input.demand, demand) {
		known = s.divide(service, shape, demand, known)
		known.members = members
		s.byService[service] = known
	}
	if f, ok := known.filled[model]; ok && f.changes == changes {
		return f.engines
	}
	engines := s.view.List(known.ids[model])
	for i := range engines {
		if engines[i].Slots == 0 {
			engines[i].Slots = shape.Slots
		}
	}
	known.filled[model] = filled{changes, engines}
	return engines
}

// divide divides a service's engines, by addresses that divided before as they were then.
func (s *shares) divide(service string, shape *routes.Engine, demand map[string]int, before *share) *share {
	byAddress := map[string]string{}
	for _, u := range s.view.Sample(service, loads.Useful(shape.Models, demand, shape.Slots)) {
		byAddress[u.Address] = u.ID
	}
	out := &share{input: division{shape: shape, demand: demand, engines: slices.Sorted(maps.Keys(byAddress))}, ids: map[string][]string{}, filled: map[string]filled{}}
	if out.input.divide(before) {
		s.divisions++
	}
	for model, addresses := range out.input.byModel {
		for _, a := range addresses {
			out.ids[model] = append(out.ids[model], byAddress[a])
		}
	}
	return out
}
