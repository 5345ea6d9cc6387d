// Package fleet holds what a daemon knows of the world around it, for all parts
// that decide: the configuration in force, the upstreams, the published weights.
package fleet

import (
	"maps"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// View is the current knowledge. It is safe for concurrent use.
type View struct {
	now func() time.Duration

	mu        sync.Mutex
	config    *routes.Config
	configAt  time.Duration // when it came into force
	published map[string]int64
	upstreams *registry.Registry
	changed   chan struct{}
}

// New returns an empty view. now is a clock that goes on while the VM is suspended.
func New(now func() time.Duration) *View {
	return &View{now: now, published: map[string]int64{}, upstreams: registry.New(), changed: make(chan struct{})}
}

// Changed is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *View) update(change func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change()
	v.signalLocked()
}

func (v *View) signalLocked() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Config is the configuration in force, nil before the first one.
func (v *View) Config() *routes.Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

// ConfigAge is the time since the configuration came into force here.
func (v *View) ConfigAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now() - v.configAt
}

// All returns every upstream, leaving ones included.
func (v *View) All() []registry.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Expire(v.now())
	return v.upstreams.All()
}

// SetConfig puts a configuration in force unless it is older than the present
// one: a view that was read anew may lag behind what this process acted on.
func (v *View) SetConfig(c *routes.Config) bool {
	taken := false
	v.update(func() {
		if v.config == nil || c.Version > v.config.Version {
			v.config = c
			v.configAt = v.now()
			taken = true
		}
	})
	return taken
}

// Publish notes the newest weights of a model; an older version changes nothing.
func (v *View) Publish(model string, version int64) bool {
	taken := false
	v.update(func() {
		if version > v.published[model] {
			v.published[model] = version
			taken = true
		}
	})
	return taken
}

// Published returns the newest weights of each model. A model that was never
// named is missing.
func (v *View) Published() map[string]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.published)
}

// Upstreams applies a change to the registry. Who waits for a change hears of it only if
// it was one: most entries of servers and most answers tell nothing new.
func (v *View) Upstreams(change func(r *registry.Registry, now time.Duration)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.upstreams.Changes()
	change(v.upstreams, v.now())
	if v.upstreams.Changes() != before {
		v.signalLocked()
	}
}

// UpstreamChanges counts the changes of the upstreams: while it stays the same, so do they.
func (v *View) UpstreamChanges() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Expire(v.now())
	return v.upstreams.Changes()
}

// CountUpstreams counts the upstreams, leaving ones included.
func (v *View) CountUpstreams() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.Count()
}

// Of returns the live upstreams of a service, leaving ones included. The list must not be
// changed.
func (v *View) Of(service string) []registry.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Expire(v.now())
	return v.upstreams.ByService(service)
}

// Members counts the changes of a service's upstreams but for those of their weights.
func (v *View) Members(service string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Expire(v.now())
	return v.upstreams.MemberChanges(service)
}

// Sample returns so many of a service's upstreams that aren't leaving, see registry.Sample.
func (v *View) Sample(service string, n int) []registry.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.Sample(service, n)
}

// List returns upstreams by their IDs, without those that aren't known.
func (v *View) List(ids []string) []registry.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]registry.Upstream, 0, len(ids))
	for _, id := range ids {
		if u, ok := v.upstreams.Get(id); ok {
			out = append(out, u)
		}
	}
	return out
}

// Get returns one upstream.
func (v *View) Get(id string) (registry.Upstream, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Expire(v.now())
	return v.upstreams.Get(id)
}
