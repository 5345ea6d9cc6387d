// Package fleet holds a daemon's view of the system: the configuration in force, the upstreams
// and the published weights versions. Other packages base their decisions on it.
package fleet

import (
	"maps"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
	"github.com/dogwoodflow/dogwoodflow/internal/registry"
	"github.com/dogwoodflow/dogwoodflow/internal/routes"
)

// View is a daemon's current view of the system. It is safe for concurrent use.
type View struct {
	now func() time.Duration

	mu          sync.Mutex
	config      *routes.Config
	configSetAt time.Duration    // when it came into force
	published   map[string]int64 // newest weights version by model
	upstreams   *registry.Registry
	changed     chan struct{} // closed and replaced at each change
}

// New returns an empty view. now returns the time of a clock that goes on while the VM is
// suspended.
func New(now func() time.Duration) *View {
	return &View{now: now, published: map[string]int64{}, upstreams: registry.New(), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// update calls change with the lock held, and signals a change.
func (v *View) update(change func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change()
	v.signalLocked()
}

// signalLocked wakes those that wait for a change.
func (v *View) signalLocked() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Config returns the configuration in force, nil before the first one.
func (v *View) Config() *routes.Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

// MaxConnections returns how many connections an upstream of a service accepts, 0 if that is unknown.
func (v *View) MaxConnections(service string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config == nil {
		return 0
	}
	return v.config.Services[service].MaxConnections
}

// ConfigAge returns the time since the configuration came into force in this daemon.
func (v *View) ConfigAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now() - v.configSetAt
}

// All returns every upstream, including those that are leaving.
func (v *View) All() []registry.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Expire(v.now())
	return v.upstreams.All()
}

// SetConfig puts a configuration in force and returns true, unless its version isn't newer than
// the one in force. A configuration that is read again, for example, may be older than one that
// this process has acted on.
func (v *View) SetConfig(c *routes.Config) bool {
	accepted := false
	v.update(func() {
		if v.config == nil || c.Version > v.config.Version {
			v.config = c
			v.configSetAt = v.now()
			impossibleUpstreams.Add(int64(len(v.upstreams.SetMaxConnections(maxConnections(c), v.now()))))
			accepted = true
		}
	})
	return accepted
}

// impossibleUpstreams counts upstreams that had more slots than a new configuration allows connections.
var impossibleUpstreams = metrics.Counter("upstreams_slots_above_connections")

func maxConnections(c *routes.Config) map[string]int {
	out := make(map[string]int, len(c.Services))
	for name, s := range c.Services {
		out[name] = s.MaxConnections
	}
	return out
}

// SetPublished sets the newest weights version of a model and returns true, unless the version isn't
// newer than the one before.
func (v *View) SetPublished(model string, version int64) bool {
	accepted := false
	v.update(func() {
		if version > v.published[model] {
			v.published[model] = version
			accepted = true
		}
	})
	return accepted
}

// Published returns the newest weights version by model. A model without a published version is
// missing.
func (v *View) Published() map[string]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.published)
}

// UpdateUpstreams calls change with the registry. It signals a change only if the registry has
// changed, since most entries of servers and most responses contain nothing new.
func (v *View) UpdateUpstreams(change func(r *registry.Registry, now time.Duration)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.upstreams.Changes()
	change(v.upstreams, v.now())
	if v.upstreams.Changes() != before {
		v.signalLocked()
	}
}

// UpstreamChanges returns the number of changes of upstreams so far. While it is the same, so
// are the upstreams.
func (v *View) UpstreamChanges() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Expire(v.now())
	return v.upstreams.Changes()
}

// CountUpstreams returns the number of upstreams, including those that are leaving.
func (v *View) CountUpstreams() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.Count()
}

// ByService returns the upstreams of a service, including those that are leaving. The caller must not
// modify the list.
func (v *View) ByService(service string) []registry.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Expire(v.now())
	return v.upstreams.ByService(service)
}

// MemberChanges returns the number of changes of a service's upstreams so far, except changes of
// their weights versions.
func (v *View) MemberChanges(service string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Expire(v.now())
	return v.upstreams.MemberChanges(service)
}

// Sample returns up to n of a service's upstreams that aren't leaving, the same ones in all
// daemons that know the same upstreams.
func (v *View) Sample(service string, n int) []registry.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.upstreams.Sample(service, n)
}

// List returns the upstreams with the given IDs, without those that aren't known.
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

// Get returns an upstream by its ID. It returns false if the upstream isn't known.
func (v *View) Get(id string) (registry.Upstream, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Expire(v.now())
	return v.upstreams.Get(id)
}
