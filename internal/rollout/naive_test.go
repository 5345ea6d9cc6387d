package rollout

import (
	"sort"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// owner is what a session talks to: a Step, or the naive one.
type owner interface {
	Step(now time.Time, e Event) []Action
}

// naive follows the same rules as Step with a map of samples and full scans,
// without a memory limit. Two faults can be switched on; each is what
// a first version would do.
type naive struct {
	spec    Spec
	options Options
	samples map[SampleID]*naiveSample
	order   []SampleID
	held    map[int]bool
	failed  map[int]string
	newest  ident.Version
	bound   int64
	out     []Action

	holding  bool
	round    uint32
	refusals uint8
	until    time.Time
	since    time.Time

	sentMeansDelivered bool // fault: a group is the trainer's once it was sent
	judgesWhenMade     bool // fault: staleness is looked at when the text is made
}

type naiveSample struct {
	state    string // waiting, delayed, generating, toscore, scoredelayed, scoring, ready, idle
	attempt  uint32
	failures int
	until    time.Time
	began    ident.Version
	probe    bool // while the step was held
	text     string
	segments []Segment
	reward   float64
}

func newNaive(spec Spec, options Options) *naive {
	n := &naive{spec: spec, options: options.withDefaults(), samples: map[SampleID]*naiveSample{}, held: map[int]bool{}, failed: map[int]string{}, newest: spec.TrainerVersion, bound: spec.Bound}
	for g := range spec.Prompts {
		for i := range spec.GroupSize {
			n.samples[SampleID{g, i}] = &naiveSample{state: "waiting"}
			n.order = append(n.order, SampleID{g, i})
		}
	}
	sort.SliceStable(n.order, func(a, b int) bool {
		return spec.Prompts[n.order[a].Group].ExpectedTokens > spec.Prompts[n.order[b].Group].ExpectedTokens
	})
	return n
}

func (n *naive) count(state string) (c int) {
	for _, s := range n.samples {
		if s.state == state {
			c++
		}
	}
	return c
}

func (n *naive) oldestAllowed() ident.Version { return n.newest - ident.Version(n.bound) }

func (n *naive) Step(now time.Time, e Event) []Action {
	n.out = nil
	switch e := e.(type) {
	case Tick:
		for _, s := range n.samples {
			if s.state == "delayed" && !s.until.After(now) {
				s.state = "waiting"
			}
			if s.state == "scoredelayed" && !s.until.After(now) {
				s.state = "toscore"
			}
		}
	case Began:
		if s := n.running(e.ID, e.Attempt, "generating"); s != nil {
			s.began = e.Version
			if e.Version < n.oldestAllowed() {
				n.out = append(n.out, CancelAttempt{e.ID, e.Attempt})
				n.holdLonger(s, now)
				n.delay(s, now, "delayed", Failure{})
			} else {
				n.lift(s)
			}
		}
	case Generated:
		n.generated(now, e)
	case GenerateFailed:
		if s := n.running(e.ID, e.Attempt, "generating"); s != nil {
			s.state = "waiting"
			n.generateFailed(s, now, e)
		}
	case Scored:
		if s := n.running(e.ID, e.Attempt, "scoring"); s != nil {
			s.state, s.reward, s.failures = "ready", e.Reward, 0
		}
	case ScoreFailed:
		if s := n.running(e.ID, e.Attempt, "scoring"); s != nil {
			s.state = "toscore"
			n.fail(s, now, e.ID, "scoredelayed", e.Failure)
		}
	case NewestVersion:
		n.observe(e.Version)
	case SetBound:
		n.bound = e.Bound
		n.dropStale()
	case Cursor:
		n.observe(e.TrainerVersion)
		n.cursor(e.Have)
	case Pull:
		n.observe(e.TrainerVersion)
		n.cursor(e.Have)
		n.deliver(e)
	}
	n.start(now)
	return n.out
}

func (n *naive) running(id SampleID, attempt uint32, state string) *naiveSample {
	if s := n.samples[id]; s != nil && s.state == state && s.attempt == attempt {
		return s
	}
	return nil
}

func (n *naive) delay(s *naiveSample, now time.Time, state string, f Failure) {
	wait := n.options.BackoffMax
	if s.failures < 10 {
		wait = min(wait, n.options.BackoffBase<<s.failures)
	}
	s.failures++
	s.state, s.until = state, now.Add(max(wait, f.RetryAfter))
}

func (n *naive) fail(s *naiveSample, now time.Time, id SampleID, state string, f Failure) {
	if f.Kind == Transient || f.Kind == NotRun {
		n.delay(s, now, state, f)
		return
	}
	s.state = "idle"
	n.stopGroup(id.Group)
	n.failed[id.Group] = f.Reason
}

func (n *naive) generateFailed(s *naiveSample, now time.Time, e GenerateFailed) {
	switch {
	case e.Failure.Kind == Transient:
		n.holdLonger(s, now)
	case e.Failure.Kind == NotRun && n.holding:
		n.holdLonger(s, now)
	case e.Failure.Kind == NotRun:
		for _, other := range n.samples {
			other.probe = false
		}
		n.holding, n.refusals = true, 0
		n.round++
		n.until = now.Add(holdTime(&n.options, &n.spec, n.round, 0))
	}
	if e.Failure.Kind != NotRun {
		n.fail(s, now, e.ID, "delayed", e.Failure)
	} else if e.Failure.RetryAfter > 0 {
		s.state, s.until = "delayed", now.Add(e.Failure.RetryAfter)
	}
}

func (n *naive) holdLonger(s *naiveSample, now time.Time) {
	if n.holding && s.probe {
		n.refusals = min(n.refusals+1, maxFailures)
		n.until = now.Add(holdTime(&n.options, &n.spec, n.round, n.refusals))
	}
}

func (n *naive) lift(s *naiveSample) { n.holding = n.holding && !s.probe }

func (n *naive) mayStart(now time.Time) bool {
	probes := 0
	for _, s := range n.samples {
		if s.state == "generating" && s.probe {
			probes++
		}
	}
	if !n.holding {
		return true
	}
	if probes == 0 {
		n.since = now
	}
	allowed := 1
	for t := n.since; !t.Add(n.options.HoldMax).After(now) && allowed < 1000; t = t.Add(n.options.HoldMax) {
		allowed *= 2
	}
	return !now.Before(n.until) && probes < allowed
}

func (n *naive) stop(id SampleID, to string) {
	s := n.samples[id]
	if s.state == "generating" || s.state == "scoring" {
		n.out = append(n.out, CancelAttempt{id, s.attempt})
	}
	s.state = to
}

func (n *naive) stopGroup(g int) {
	for i := range n.spec.GroupSize {
		n.stop(SampleID{g, i}, "idle")
	}
}

func (n *naive) generated(now time.Time, e Generated) {
	s := n.running(e.ID, e.Attempt, "generating")
	if s == nil {
		return
	}
	labelled := make([]ident.Version, e.Tokens)
	for _, g := range e.Segments {
		for t := g.From; t < g.To; t++ {
			labelled[t] = g.Version
		}
	}
	s.segments = nil
	for _, v := range labelled {
		if v == 0 || v < n.oldestAllowed() {
			n.holdLonger(s, now)
			n.delay(s, now, "delayed", Failure{})
			return
		}
		s.segments = AppendTokens(s.segments, v, 1)
	}
	n.lift(s)
	s.state, s.text, s.failures = "toscore", e.Text, 0
}

func (n *naive) observe(v ident.Version) {
	if v > n.newest {
		n.newest = v
		n.dropStale()
	}
}

func (n *naive) dropStale() {
	for id, s := range n.samples {
		if n.judgesWhenMade {
			return
		}
		switch s.state {
		case "generating":
			if s.began != 0 && s.began < n.oldestAllowed() {
				n.stop(id, "waiting")
			}
		case "toscore", "scoredelayed", "scoring", "ready":
			if oldestVersion(s.segments) < n.oldestAllowed() {
				n.stop(id, "waiting")
			}
		}
	}
}

func (n *naive) cursor(have *roaring.Bitmap) {
	if n.sentMeansDelivered {
		return
	}
	for g := range n.spec.Prompts {
		names := have.Contains(uint32(g))
		if names && !n.held[g] {
			n.stopGroup(g)
		}
		if _, failed := n.failed[g]; !names && n.held[g] && !failed {
			for i := range n.spec.GroupSize {
				s := n.samples[SampleID{g, i}]
				s.state, s.failures = "waiting", 0
			}
		}
		n.held[g] = names
	}
}

func (n *naive) deliver(p Pull) {
	d := Deliver{JudgedBy: n.newest}
	held := 0
	for at := 0; at < len(n.order); at += n.spec.GroupSize {
		g := n.order[at].Group
		if n.held[g] {
			held++
			continue
		}
		group := Group{Number: g}
		if reason, ok := n.failed[g]; ok {
			group.Failed, group.Reason = true, reason
		} else {
			for i := range n.spec.GroupSize {
				if s := n.samples[SampleID{g, i}]; s.state == "ready" {
					group.Samples = append(group.Samples, Sample{g, i, n.spec.Prompts[g].Text, s.text, s.reward, s.segments})
				}
			}
		}
		full := p.MaxGroups > 0 && len(d.Groups) >= p.MaxGroups
		if full || !group.Failed && len(group.Samples) < n.spec.GroupSize {
			continue
		}
		d.Groups = append(d.Groups, group)
		n.held[g] = n.sentMeansDelivered
	}
	d.Remaining = len(n.spec.Prompts) - held - len(d.Groups)
	d.Whole = d.Remaining == 0
	n.out = append(n.out, d)
}

func (n *naive) start(now time.Time) {
	minVersion := max(0, n.oldestAllowed()) // the sessions' staleness weight is 0
	for _, id := range n.order {
		s := n.samples[id]
		if s.state == "waiting" && n.count("generating") < n.options.Window && n.mayStart(now) {
			open := len(n.samples) - n.count("ready") - n.count("idle")
			straggler := open <= max(2, int(n.options.StragglerShare*float64(len(n.samples))))
			s.attempt++
			s.state, s.began, s.probe = "generating", 0, n.holding
			n.out = append(n.out, Generate{id, s.attempt, minVersion, n.spec.Prompts[id.Group].ExpectedTokens, straggler, minVersion})
		}
	}
	for _, id := range n.order {
		s := n.samples[id]
		if s.state == "toscore" && n.count("scoring") < n.options.ScoreWindow {
			s.state = "scoring"
			n.out = append(n.out, Score{id, s.attempt, s.text})
		}
	}
}
