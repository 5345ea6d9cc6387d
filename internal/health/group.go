package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Options of a group's health.
type Options struct {
	SuspectShare float64       // most of a group out by suspicion alone; default 0.34
	SlowStart    time.Duration // from StartWeight to 1; default 5 s
	StartWeight  float64       // default 0.1
	SuspectLoad  float64       // weight of a suspect that must stay in; default 0.25
	ProbeFirst   time.Duration // first wait between probes of a dead one; default 200 ms
	ProbeMax     time.Duration // default 3 s
	HoldSilent   time.Duration // wait after a repeated silence before a probe counts; default 1 s
	PeerGrace    time.Duration // peers' "leaving" is old news this long after a restart; default 30 s
	GarbledLimit int           // garbled answers in a row that make a suspect; default 3
}

func (o Options) withDefaults() Options {
	o.SuspectShare = orDefault(o.SuspectShare, 0.34)
	o.SlowStart = orDefault(o.SlowStart, 5*time.Second)
	o.StartWeight = orDefault(o.StartWeight, 0.1)
	o.SuspectLoad = orDefault(o.SuspectLoad, 0.25)
	o.ProbeFirst = orDefault(o.ProbeFirst, 200*time.Millisecond)
	o.ProbeMax = orDefault(o.ProbeMax, 3*time.Second)
	o.HoldSilent = orDefault(o.HoldSilent, time.Second)
	o.PeerGrace = orDefault(o.PeerGrace, 30*time.Second)
	o.GarbledLimit = orDefault(o.GarbledLimit, 3)
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
	bootID  string
	leaving bool
	// firstHand: leaving was said by another source than a peer.
	firstHand bool
	// leavingBoot is the process that leaves, "" while it isn't known.
	leavingBoot string
	restarted   time.Time // when another process was first seen

	out       bool // a suspect that is kept off new work
	silences  int  // in a row
	garbled   int  // in a row
	holdUntil time.Time
	probeWait time.Duration
	slowSince time.Time
	eligible  bool    // as last told
	weight    float64 // as last told
}

// Group is the health of one group's upstreams.
//
// Invariants:
//   - Down and leaving upstreams are never eligible;
//   - suspects that are out number at most SuspectShare of the group, rounded
//     down; hard evidence isn't limited;
//   - an upstream that left Down has a weight that starts at StartWeight and
//     reaches 1 not before SlowStart has passed;
//   - leaving ends only by a report of another process.
type Group struct {
	options Options
	members []*member // sorted by name
}

// New returns an empty group.
func New(o Options) *Group { return &Group{options: o.withDefaults()} }

// Step takes one event and returns what to do, in a fixed order.
func (g *Group) Step(e Event, now time.Time) []Action {
	var acts []Action
	switch e := e.(type) {
	case Added:
		acts = g.add(e.Upstream, now)
	case Removed:
		g.members = slices.DeleteFunc(g.members, func(m *member) bool { return m.name == e.Upstream })
	case Tick:
	default:
		if m := g.find(nameOf(e)); m != nil {
			acts = g.stepMember(m, e, now)
		}
	}
	return append(acts, g.settle(now)...)
}

func nameOf(e Event) ident.Upstream {
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
		m.silences, m.garbled = 0, 0
	case Faulted:
		return g.faulted(m, e.Kind, now)
	case Reported:
		return g.reported(m, e, now)
	case ProbeFailed:
		return g.probeFailed(m, e.Refused, now)
	case SaidLeaving:
		return g.saidLeaving(m, e.Source, now)
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

// Spotless says that a success of the upstream would tell nothing new, so that
// the runtime can spare a Step for each answer.
func (g *Group) Spotless(name ident.Upstream) bool {
	m := g.find(name)
	return m == nil || m.state == Up && m.silences == 0 && m.garbled == 0
}

// View is what is known of one upstream.
type View struct {
	State   State
	Leaving bool
	// FirstHand says that Leaving doesn't rest on a peer's word alone.
	FirstHand bool
	Eligible  bool
	Weight    float64
	BootID    string
}

// View returns what is known of an upstream, false if it isn't in the group.
func (g *Group) View(name ident.Upstream) (View, bool) {
	m := g.find(name)
	if m == nil {
		return View{}, false
	}
	return View{
		State:     m.state,
		Leaving:   m.leaving,
		FirstHand: m.firstHand,
		Eligible:  m.eligible,
		Weight:    m.weight,
		BootID:    m.bootID,
	}, true
}
