package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Options configure the health of a group. Zero fields have the defaults.
type Options struct {
	MaxSuspectShare float64       // largest share of the group excluded on suspicion alone; default 0.34
	SlowStart       time.Duration // time in which a weight rises from InitialWeight to 1; default 5 s
	InitialWeight   float64       // default 0.1
	SuspectWeight   float64       // weight of a suspect that isn't excluded; default 0.25
	MinProbeDelay   time.Duration // delay of the first probe after an upstream went down, which then doubles; default 200 ms
	MaxProbeDelay   time.Duration // default 3 s
	SilentHold      time.Duration // time after the second silent fault in a row before a probe ends the suspicion; doubles with each further one, up to 16 times; default 1 s
	StalePeerWindow time.Duration // time after a restart in which peers that say "leaving" mean the previous process; default 30 s
	MalformedLimit  int           // malformed answers in a row that make a suspect; default 3
}

func (o Options) withDefaults() Options {
	o.MaxSuspectShare = orDefault(o.MaxSuspectShare, 0.34)
	o.SlowStart = orDefault(o.SlowStart, 5*time.Second)
	o.InitialWeight = orDefault(o.InitialWeight, 0.1)
	o.SuspectWeight = orDefault(o.SuspectWeight, 0.25)
	o.MinProbeDelay = orDefault(o.MinProbeDelay, 200*time.Millisecond)
	o.MaxProbeDelay = orDefault(o.MaxProbeDelay, 3*time.Second)
	o.SilentHold = orDefault(o.SilentHold, time.Second)
	o.StalePeerWindow = orDefault(o.StalePeerWindow, 30*time.Second)
	o.MalformedLimit = orDefault(o.MalformedLimit, 3)
	return o
}

func orDefault[T int | float64 | time.Duration](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}

// member is one upstream of the group.
type member struct {
	name    ident.Upstream
	state   State
	bootID  string // as last reported, "" if not known
	leaving bool
	// leavingFirstHand: a source other than a peer said that it is leaving.
	leavingFirstHand bool
	// leavingBootID is the boot ID of the process that is leaving, "" while unknown.
	leavingBootID string
	restartedAt   time.Time // when the present process was first seen in place of another

	excluded        bool          // a suspect that gets no new work
	silentFaults    int           // in a row
	malformedFaults int           // in a row
	holdUntil       time.Time     // no probe ends the suspicion before
	probeDelay      time.Duration // before the next probe while down
	slowStartSince  time.Time
	eligible        bool    // as in the last action
	weight          float64 // as in the last action
}

// Group tracks the health of the upstreams of one group. It is not safe for concurrent use.
//
// Invariants:
//   - upstreams that are Down or leaving are never eligible;
//   - at most MaxSuspectShare of the group, rounded down, is excluded on suspicion; hard
//     evidence isn't limited;
//   - the weight of an upstream that was Down starts at InitialWeight and doesn't reach 1
//     before SlowStart has passed;
//   - leaving ends only with a report of another process.
type Group struct {
	options Options
	members []*member // sorted by name
}

// New returns an empty group.
func New(o Options) *Group { return &Group{options: o.withDefaults()} }

// Step handles one event and returns what to do, in a fixed order.
func (g *Group) Step(e Event, now time.Time) []Action {
	var actions []Action
	switch e := e.(type) {
	case Added:
		actions = g.add(e.Upstream, now)
	case Removed:
		g.members = slices.DeleteFunc(g.members, func(m *member) bool { return m.name == e.Upstream })
	case Tick:
	default:
		if m := g.find(upstreamOf(e)); m != nil {
			actions = g.stepMember(m, e, now)
		}
	}
	return append(actions, g.updateEligibility(now)...)
}

func upstreamOf(e Event) ident.Upstream {
	switch e := e.(type) {
	case Succeeded:
		return e.Upstream
	case Faulted:
		return e.Upstream
	case Reported:
		return e.Upstream
	case ProbeFailed:
		return e.Upstream
	case SaidLeaving:
		return e.Upstream
	case Doubted:
		return e.Upstream
	}
	return ""
}

func (g *Group) stepMember(m *member, e Event, now time.Time) []Action {
	switch e := e.(type) {
	case Succeeded:
		m.silentFaults, m.malformedFaults = 0, 0
	case Faulted:
		return g.handleFault(m, e.Kind, now)
	case Reported:
		return g.handleReport(m, e, now)
	case ProbeFailed:
		return g.handleProbeFailure(m, e.Refused, now)
	case SaidLeaving:
		return g.markLeaving(m, e.Source, now)
	case Doubted:
		return []Action{ProbeAt{m.name, now}}
	}
	return nil
}

func (g *Group) add(name ident.Upstream, now time.Time) []Action {
	i, found := g.search(name)
	if found {
		return nil
	}
	m := &member{name: name, eligible: true, weight: 1}
	g.members = slices.Insert(g.members, i, m)
	return []Action{SetEligible{name, true}, SetWeight{name, 1}, ProbeAt{name, now}}
}

func (g *Group) find(name ident.Upstream) *member {
	i, found := g.search(name)
	if !found {
		return nil
	}
	return g.members[i]
}

func (g *Group) search(name ident.Upstream) (int, bool) {
	return slices.BinarySearchFunc(g.members, name, func(m *member, n ident.Upstream) int {
		return cmp.Compare(m.name, n)
	})
}

// CanSkipSuccess reports whether a success of the upstream would change nothing, so that the
// caller need not call Step for each answer.
func (g *Group) CanSkipSuccess(name ident.Upstream) bool {
	m := g.find(name)
	return m == nil || m.state == Up && m.silentFaults == 0 && m.malformedFaults == 0
}

// View is the health of one upstream.
type View struct {
	State   State
	Leaving bool
	// LeavingFirstHand: a source other than a peer says that the upstream is leaving.
	LeavingFirstHand bool
	Eligible         bool    // new work may start there
	Weight           float64 // share (0 to 1) of its usual load that it may get
	BootID           string  // as last reported, "" if not known
}

// View returns the health of an upstream, false if it isn't in the group.
func (g *Group) View(name ident.Upstream) (View, bool) {
	m := g.find(name)
	if m == nil {
		return View{}, false
	}
	return View{
		State:            m.state,
		Leaving:          m.leaving,
		LeavingFirstHand: m.leavingFirstHand,
		Eligible:         m.eligible,
		Weight:           m.weight,
		BootID:           m.bootID,
	}, true
}
