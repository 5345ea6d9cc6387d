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

// engineAllocator allocates the live engines of each service to its models, and caches the
// result. An owner asks for a model's engines in each reconcile pass, dozens of times a
// second. Computed in each pass, the split of a thousand engines took more than a core. The
// split depends on the addresses of the engines that the models can use, which are a part
// of a large fleet's and rarely change. The weights that engines serve change with each
// load, and only the engines' entries are looked up again then. It is safe for concurrent
// use.
type engineAllocator struct {
	view *fleet.View

	mu             sync.Mutex
	byService      map[string]*allocation
	splitsComputed int // counts the splits that weren't taken from the cache
}

// allocation is the cached result for one service.
type allocation struct {
	members   uint64 // change count of the service's upstreams, see registry.Members
	split     split
	engineIDs map[string][]string        // by model
	resolved  map[string]resolvedEngines // by model
}

// resolvedEngines holds the current entries of a model's engines.
type resolvedEngines struct {
	changes uint64 // change count of all upstreams when they were looked up
	engines []registry.Upstream
}

// split is how a service's engines are divided among its models, and the inputs of that.
type split struct {
	settings  *routes.Engine
	demand    map[string]int      // samples in a batch by model, nil for an equal split
	addresses []string            // of the engines, sorted
	byModel   map[string][]string // addresses of each model's engines
}

// compute sets byModel, which depends only on the other fields. It reports false if the
// result could be taken from the allocation before.
func (s *split) compute(before *allocation) bool {
	if before != nil && before.split.settings == s.settings && maps.Equal(before.split.demand, s.demand) && slices.Equal(before.split.addresses, s.addresses) {
		s.byModel = before.split.byModel
		return false
	}
	s.byModel = loads.Split(s.addresses, s.settings.Models, s.demand, s.settings.Slots)
	return true
}

func newEngineAllocator(view *fleet.View) *engineAllocator {
	return &engineAllocator{view: view, byService: map[string]*allocation{}}
}

// enginesFor returns the engines that are allocated to a model. The list must not be
// changed. demand is the number of samples in a batch by model, nil for an equal split.
func (a *engineAllocator) enginesFor(service string, settings *routes.Engine, demand map[string]int, model string) []registry.Upstream {
	members, changes := a.view.MemberChanges(service), a.view.UpstreamChanges()
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.byService[service]
	if known == nil || known.members != members || known.split.settings != settings || !maps.Equal(known.split.demand, demand) {
		known = a.allocate(service, settings, demand, known)
		known.members = members
		a.byService[service] = known
	}
	if f, ok := known.resolved[model]; ok && f.changes == changes {
		return f.engines
	}
	engines := a.view.List(known.engineIDs[model])
	for i := range engines {
		if engines[i].Slots == 0 {
			engines[i].Slots = settings.Slots
		}
	}
	known.resolved[model] = resolvedEngines{changes, engines}
	return engines
}

// allocate splits a service's engines among its models. The split of the allocation before
// is used again if its inputs are the same.
func (a *engineAllocator) allocate(service string, settings *routes.Engine, demand map[string]int, before *allocation) *allocation {
	byAddress := map[string]string{}
	for _, u := range a.view.Sample(service, loads.MaxUsefulEngines(settings.Models, demand, settings.Slots)) {
		byAddress[u.Address] = u.ID
	}
	out := &allocation{split: split{settings: settings, demand: demand, addresses: slices.Sorted(maps.Keys(byAddress))}, engineIDs: map[string][]string{}, resolved: map[string]resolvedEngines{}}
	if out.split.compute(before) {
		a.splitsComputed++
	}
	for model, addresses := range out.split.byModel {
		for _, address := range addresses {
			out.engineIDs[model] = append(out.engineIDs[model], byAddress[address])
		}
	}
	return out
}
