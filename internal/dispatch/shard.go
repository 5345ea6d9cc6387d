package dispatch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/config"
	"github.com/dogwoodflow/dogwoodflow/internal/health"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/limits"
	"github.com/dogwoodflow/dogwoodflow/internal/retry"
	"github.com/dogwoodflow/dogwoodflow/internal/routing"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream"
)

// shard is one group: its upstreams and all that is decided about them, under
// one lock of its own.
type shard struct {
	d    *Dispatcher
	name string

	mu      sync.Mutex
	kind    config.Kind
	members map[ident.Upstream]*member
	order   []*member // those used, by name
	watched []*member // those only polled, by name
	gone    []ident.Upstream
	sharers int // daemons that use each of the group's subset, 0: no subset
	table   *routing.Table
	health  *health.Group
	gate    gate
	retries *retry.Budget
	hedges  *retry.Budget
	lanes   laneTable
	models  int // that the group's engines serve, by settings or reports
	robin   int // naive policy: next in turn
	pace    pace
	need    reserveNeed
	// unloaded is the token time of requests that ran nearly alone.
	unloaded time.Duration
	closed   bool
}

// member is one upstream of the group, guarded by the shard's lock save probes.
type member struct {
	target     upstream.Target
	dataCentre ident.DataCentre
	used       bool      // requests go there; else it is owned, or some still run there
	owned      bool      // this daemon gives it orders
	others     int       // that ran there beside ours, by its last report
	eligible   bool      // by health
	lostAt     time.Time // when it was eligible last, while it isn't
	held       bool      // by a quarantine lane
	peerHeld   bool      // by a peer's
	weight     float64
	inFlight   int
	configured int // limit by settings, 0: found by the controller
	controller *limits.Controller
	share      limits.Sharer // of the limit, between daemons
	bootID     string
	serving    map[ident.Model]ident.Version
	loaded     map[ident.Model][]ident.Version // held in memory
	nextProbe  time.Time
	probing    bool
	reported   time.Time // when its last report came
	probes     prober
}

func newShard(d *Dispatcher, name string) *shard {
	now := d.o.Now()
	return &shard{
		d:       d,
		name:    name,
		members: map[ident.Upstream]*member{},
		table:   routing.NewTable(routing.Options{Self: d.o.DataCentre, Seed: d.o.Seed}),
		health:  health.New(d.o.Health),
		gate:    newGate(d.o.Policy),
		retries: retry.NewBudget(d.o.RetryBudget, now),
		hedges:  retry.NewBudget(d.o.HedgeBudget, now),
		lanes:   newLaneTable(),
	}
}

// apply takes the group's settings over.
func (s *shard) apply(g config.Group, t *config.Tree, f Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.o.Now()
	s.kind = g.Kind
	s.models = modelsOf(s.name, t)
	c := f.choose(s.d.o.Self, s.d.o.DataCentre, g)
	s.sharers = c.sharers
	for name := range s.members {
		if _, stays := g.Upstreams[name]; !stays {
			s.remove(name)
		}
	}
	for name, u := range g.Upstreams {
		s.applyMember(name, u, c.used[name], f.Owned[name])
	}
	s.sweep()
	s.reorder()
	for _, m := range s.polled() {
		s.act(s.health.Step(health.Added{Upstream: m.target.Name}, now))
	}
	s.gate.configure(g.Kind, t)
	s.pump(now)
}

func (s *shard) applyMember(name ident.Upstream, u config.Upstream, used, owned bool) {
	m := s.members[name]
	if m == nil && !used && !owned {
		return
	}
	if m == nil {
		m = newMember(name, s.kind)
		s.members[name] = m
	}
	if m.target.Address != u.Address {
		m.target.Address = u.Address
	}
	m.used, m.owned = used, owned
	m.dataCentre = u.DataCentre
	m.configured = u.MaxConcurrency
}

// reorder renews the sorted list and the routing table's members.
func (s *shard) reorder() {
	s.order, s.watched = s.order[:0:0], s.watched[:0:0]
	for _, m := range s.members {
		if m.used {
			s.order = append(s.order, m)
		} else {
			s.watched = append(s.watched, m)
		}
	}
	slices.SortFunc(s.order, byName)
	slices.SortFunc(s.watched, byName)
	list := make([]routing.Upstream, 0, len(s.order))
	for _, m := range s.order {
		u, _ := s.table.Member(m.target.Name) // keeps load and reports
		u.Name = m.target.Name
		u.DataCentre = m.dataCentre
		u.Eligible = m.usable()
		u.Weight = m.weight
		u.Limit = m.concurrency()
		u.Own = m.inFlight
		u.Serving = newestOf(m.serving)
		list = append(list, u)
	}
	s.table.SetMembers(list)
}

func byName(a, b *member) int { return cmp.Compare(a.target.Name, b.target.Name) }

// close refuses what waits; what runs goes on.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.pump(s.d.o.Now())
}

// usable says whether normal work may start there.
func (m *member) usable() bool { return m.eligible && !m.held && !m.peerHeld }

// Least concurrency that latency may bring an upstream down to. Services answer
// in very different times by path, which says little about load.
const (
	minEngineLimit  = 2
	minServiceLimit = 8
)

func newMember(name ident.Upstream, kind config.Kind) *member {
	least := minServiceLimit
	if kind == config.KindEngine {
		least = minEngineLimit
	}
	m := &member{target: upstream.Target{Name: name}, eligible: true, weight: 1, probes: newProber()}
	m.controller = limits.NewController(limits.Options{Min: least})
	m.share.Heard(m.controller.Limit(), 0, 0, 1)
	return m
}

// refresh tells the routing table what changed about a member.
func (s *shard) refresh(m *member) {
	s.table.Update(m.target.Name, func(u *routing.Upstream) {
		u.Eligible = m.usable()
		u.Weight = m.weight
		u.Limit = m.concurrency()
		u.Serving = newestOf(m.serving)
	})
	if len(m.serving) > 1 {
		s.models = max(s.models, len(m.serving))
	}
	s.gate.stale = true
}

func newestOf(serving map[ident.Model]ident.Version) ident.Version {
	var newest ident.Version
	for _, v := range serving {
		newest = max(newest, v)
	}
	return newest
}

// modelsOf counts the different models that teams run on the group.
func modelsOf(group string, t *config.Tree) int {
	names := map[ident.Model]bool{}
	for _, team := range t.Teams {
		for name, m := range team.Models {
			if m.Group == group {
				names[name] = true
			}
		}
	}
	return len(names)
}

// step gives health an event and carries out what it says. The lock is held.
func (s *shard) step(e health.Event, now time.Time) {
	s.act(s.health.Step(e, now))
}

func (s *shard) act(actions []health.Action) {
	for _, a := range actions {
		s.actOne(a)
	}
}

func (s *shard) actOne(a health.Action) {
	switch a := a.(type) {
	case health.SetEligible:
		if m := s.members[a.Upstream]; m != nil {
			if m.eligible && !a.Eligible {
				m.lostAt = s.d.o.Now()
			}
			m.eligible = a.Eligible
			s.refresh(m)
		}
	case health.SetWeight:
		if m := s.members[a.Upstream]; m != nil {
			m.weight = a.Weight
			s.refresh(m)
		}
	case health.ProbeAt:
		if m := s.members[a.Upstream]; m != nil {
			m.nextProbe = a.At
		}
	case health.Died:
		deaths.Add(1)
		s.d.record("upstream-died", "", "", a.Upstream, a.BootID)
		s.d.o.Log.Warn().Str("group", s.name).Str("upstream", string(a.Upstream)).Str("boot", a.BootID).Msg("upstream process ended")
	case health.Changed:
		s.changed(a)
	}
}

func (s *shard) changed(a health.Changed) {
	detail := a.State.String() + ": " + a.Cause
	s.d.record("upstream-health", "", "", a.Upstream, detail)
	s.d.o.Log.Info().Str("group", s.name).Str("upstream", string(a.Upstream)).
		Stringer("state", a.State).Bool("leaving", a.Leaving).Str("cause", a.Cause).Msg("upstream health")
	if a.Leaving || a.State == health.Down {
		s.d.tellUrgent()
	}
}
