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

// shard is the dispatch state of one upstream group, guarded by its own lock.
type shard struct {
	dispatcher *Dispatcher
	name       string

	mu                 sync.Mutex
	kind               config.GroupKind
	members            map[ident.Upstream]*member
	used               []*member // members that requests are sent to, by name
	polledOnly         []*member // the other members, which are only polled, by name
	droppedLeaving     []ident.Upstream
	daemonsPerUpstream int // daemons that use each upstream of a subset, 0: all daemons use the whole group
	routingTable       *routing.Table
	health             *health.Group
	admission          admission
	retryBudget        *retry.Budget
	hedgeBudget        *retry.Budget
	quarantine         quarantineTable
	modelCount         int // different models on the group's engines, by settings or reports
	roundRobinIndex    int // of the member picked last under the naive policy
	generationTimes    generationTimes
	reserveDemand      reserveDemand
	// unloadedTokenTime is the mean token time of requests on nearly idle engines.
	unloadedTokenTime time.Duration
	closed            bool
}

// member is one upstream of the group. Its fields are guarded by the shard's lock, except
// prober.
type member struct {
	target             upstream.Target
	dataCentre         ident.DataCentre
	used               bool      // requests are sent there; otherwise it is owned, or requests are still running there
	owned              bool      // this daemon gives it orders
	othersInFlight     int       // requests of other daemons, by its last report
	eligible           bool      // according to health
	ineligibleSince    time.Time // set while it isn't eligible
	quarantined        bool      // for a suspect of this daemon
	quarantinedForPeer bool      // for a suspect of a peer
	weight             float64   // fraction of its normal load that it may get, 0 to 1, set by health
	inFlight           int       // this daemon's requests in flight
	configuredLimit    int       // concurrency limit by settings, 0: the controller finds it
	controller         *limits.Controller
	limitShare         limits.ShareTracker             // this daemon's share of the concurrency limit
	bootID             string                          // of its process, by the last report
	serving            map[ident.Model]ident.Version   // version in use by model
	loaded             map[ident.Model][]ident.Version // versions loaded in memory
	nextProbe          time.Time
	probing            bool      // a regular probe is running
	reportedAt         time.Time // time of the last load report
	prober             prober
}

func newShard(d *Dispatcher, name string) *shard {
	now := d.options.Now()
	return &shard{
		dispatcher:   d,
		name:         name,
		members:      map[ident.Upstream]*member{},
		routingTable: routing.NewTable(routing.Options{DataCentre: d.options.DataCentre, Seed: d.options.Seed}),
		health:       health.New(d.options.Health),
		admission:    newAdmission(d.options.Policy),
		retryBudget:  retry.NewBudget(d.options.RetryBudget, now),
		hedgeBudget:  retry.NewBudget(d.options.HedgeBudget, now),
		quarantine:   newQuarantineTable(),
	}
}

// apply puts the group's settings into force.
func (s *shard) apply(settings config.Group, tree *config.Tree, daemons DaemonView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.dispatcher.options.Now()
	s.kind = settings.Kind
	s.modelCount = countModels(s.name, tree)
	choice := daemons.choose(s.dispatcher.options.Self, s.dispatcher.options.DataCentre, settings)
	s.daemonsPerUpstream = choice.daemonsPerUpstream
	for name := range s.members {
		if _, stays := settings.Upstreams[name]; !stays {
			s.removeMember(name)
		}
	}
	for name, u := range settings.Upstreams {
		s.applyMember(name, u, choice.upstreams[name], daemons.OwnedEngines[name])
	}
	s.dropUnused()
	s.rebuildMembers()
	for _, m := range s.polledMembers() {
		s.applyHealthActions(s.health.Step(health.Added{Upstream: m.target.Name}, now))
	}
	s.admission.configure(settings.Kind, tree)
	s.admitWaiting(now)
}

func (s *shard) applyMember(name ident.Upstream, settings config.Upstream, used, owned bool) {
	m := s.members[name]
	if m == nil && !used && !owned {
		return
	}
	if m == nil {
		m = newMember(name, s.kind)
		s.members[name] = m
	}
	if m.target.Address != settings.Address {
		m.target.Address = settings.Address
	}
	m.used, m.owned = used, owned
	m.dataCentre = settings.DataCentre
	m.configuredLimit = settings.MaxConcurrency
}

// rebuildMembers rebuilds the sorted member lists and the routing table's members.
func (s *shard) rebuildMembers() {
	s.used, s.polledOnly = s.used[:0:0], s.polledOnly[:0:0]
	for _, m := range s.members {
		if m.used {
			s.used = append(s.used, m)
		} else {
			s.polledOnly = append(s.polledOnly, m)
		}
	}
	slices.SortFunc(s.used, compareByName)
	slices.SortFunc(s.polledOnly, compareByName)
	list := make([]routing.Upstream, 0, len(s.used))
	for _, m := range s.used {
		u, _ := s.routingTable.Member(m.target.Name) // its load and reports are kept
		u.Name = m.target.Name
		u.DataCentre = m.dataCentre
		u.Eligible = m.usable()
		u.Weight = m.weight
		u.Limit = m.concurrencyLimit()
		u.OwnInFlight = m.inFlight
		u.Serving = newestVersion(m.serving)
		list = append(list, u)
	}
	s.routingTable.SetMembers(list)
}

func compareByName(a, b *member) int { return cmp.Compare(a.target.Name, b.target.Name) }

// close refuses the waiting requests. Running ones continue.
func (s *shard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.admitWaiting(s.dispatcher.options.Now())
}

// usable reports whether ordinary requests may be started there.
func (m *member) usable() bool { return m.eligible && !m.quarantined && !m.quarantinedForPeer }

// The lowest limits that the controller may set. A service's latency says little about its
// load, since it differs much between paths, so its limit stays higher.
const (
	minEngineLimit  = 2
	minServiceLimit = 8
)

func newMember(name ident.Upstream, kind config.GroupKind) *member {
	minLimit := minServiceLimit
	if kind == config.KindEngine {
		minLimit = minEngineLimit
	}
	m := &member{target: upstream.Target{Name: name}, eligible: true, weight: 1, prober: newProber()}
	m.controller = limits.NewController(limits.Options{Min: minLimit})
	m.limitShare.UpdatePeers(m.controller.Limit(), 0, 0, 1)
	return m
}

// updateRouting passes a member's current state to the routing table.
func (s *shard) updateRouting(m *member) {
	s.routingTable.Update(m.target.Name, func(u *routing.Upstream) {
		u.Eligible = m.usable()
		u.Weight = m.weight
		u.Limit = m.concurrencyLimit()
		u.Serving = newestVersion(m.serving)
	})
	if len(m.serving) > 1 {
		s.modelCount = max(s.modelCount, len(m.serving))
	}
	s.admission.capacityStale = true
}

func newestVersion(serving map[ident.Model]ident.Version) ident.Version {
	var newest ident.Version
	for _, v := range serving {
		newest = max(newest, v)
	}
	return newest
}

// countModels returns how many different models the teams run on the group.
func countModels(group string, tree *config.Tree) int {
	names := map[ident.Model]bool{}
	for _, team := range tree.Teams {
		for name, m := range team.Models {
			if m.Group == group {
				names[name] = true
			}
		}
	}
	return len(names)
}

// applyHealthEvent passes an event to health and carries out the resulting actions. The
// shard's lock is held.
func (s *shard) applyHealthEvent(e health.Event, now time.Time) {
	s.applyHealthActions(s.health.Step(e, now))
}

func (s *shard) applyHealthActions(actions []health.Action) {
	for _, a := range actions {
		s.applyHealthAction(a)
	}
}

func (s *shard) applyHealthAction(a health.Action) {
	switch a := a.(type) {
	case health.SetEligible:
		if m := s.members[a.Upstream]; m != nil {
			if m.eligible && !a.Eligible {
				m.ineligibleSince = s.dispatcher.options.Now()
			}
			m.eligible = a.Eligible
			s.updateRouting(m)
		}
	case health.SetWeight:
		if m := s.members[a.Upstream]; m != nil {
			m.weight = a.Weight
			s.updateRouting(m)
		}
	case health.ProbeAt:
		if m := s.members[a.Upstream]; m != nil {
			m.nextProbe = a.At
		}
	case health.Died:
		upstreamDeaths.Add(1)
		s.dispatcher.recordEvent("upstream-died", "", "", a.Upstream, a.BootID)
		s.dispatcher.options.Log.Warn().Str("group", s.name).Str("upstream", string(a.Upstream)).Str("boot", a.BootID).Msg("upstream process died")
	case health.Changed:
		s.recordHealthChange(a)
	}
}

func (s *shard) recordHealthChange(a health.Changed) {
	detail := a.State.String() + ": " + a.Cause
	s.dispatcher.recordEvent("upstream-health", "", "", a.Upstream, detail)
	s.dispatcher.options.Log.Info().Str("group", s.name).Str("upstream", string(a.Upstream)).
		Stringer("state", a.State).Bool("leaving", a.Leaving).Str("cause", a.Cause).Msg("upstream health changed")
	if a.Leaving || a.State == health.Down {
		s.dispatcher.signalUrgentDigest()
	}
}
