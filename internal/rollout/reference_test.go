package rollout

import (
	"sort"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// eventHandler is the interface of Step that a session drives. reference implements it
// as well.
type eventHandler interface {
	Handle(now time.Time, e Event) []Action
}

// reference is a simple model of Step that the sessions compare it with. It follows the
// same rules but keeps the samples in a map, scans all of them for each decision and
// has no memory limit. Two faults can be enabled, each a likely mistake of a naive
// implementation.
type reference struct {
	spec           Spec
	options        Options
	samples        map[SampleID]*referenceSample
	order          []SampleID // in which samples start
	heldGroups     map[int]bool
	failedGroups   map[int]string // reasons
	newestVersion  ident.Version
	stalenessBound int64
	actions        []Action // for the event being handled

	breakerOpen  bool
	trip         uint32
	failedProbes uint8
	nextProbeAt  time.Time
	firstProbeAt time.Time

	treatsSentAsDelivered     bool // fault: considers a group held by the trainer once it was sent
	skipsLaterStalenessChecks bool // fault: checks staleness only when the text is generated
}

type referenceSample struct {
	state        string // waiting, delayed, generating, score waiting, score delayed, scoring, ready, idle (closed in Step)
	attempt      uint32
	failures     int
	notBefore    time.Time
	firstVersion ident.Version
	probe        bool // the attempt started while the breaker was open
	text         string
	segments     []Segment
	reward       float64
}

func newReference(spec Spec, options Options) *reference {
	r := &reference{spec: spec, options: options.withDefaults(), samples: map[SampleID]*referenceSample{}, heldGroups: map[int]bool{}, failedGroups: map[int]string{}, newestVersion: spec.TrainerVersion, stalenessBound: spec.StalenessBound}
	for g := range spec.Prompts {
		for i := range spec.GroupSize {
			r.samples[SampleID{g, i}] = &referenceSample{state: "waiting"}
			r.order = append(r.order, SampleID{g, i})
		}
	}
	sort.SliceStable(r.order, func(a, b int) bool {
		return spec.Prompts[r.order[a].Group].ExpectedTokens > spec.Prompts[r.order[b].Group].ExpectedTokens
	})
	return r
}

func (r *reference) count(state string) (c int) {
	for _, s := range r.samples {
		if s.state == state {
			c++
		}
	}
	return c
}

func (r *reference) oldestAllowed() ident.Version {
	return r.newestVersion - ident.Version(r.stalenessBound)
}

func (r *reference) Handle(now time.Time, e Event) []Action {
	r.actions = nil
	switch e := e.(type) {
	case Tick:
		for _, s := range r.samples {
			if s.state == "delayed" && !s.notBefore.After(now) {
				s.state = "waiting"
			}
			if s.state == "score delayed" && !s.notBefore.After(now) {
				s.state = "score waiting"
			}
		}
	case Began:
		if s := r.running(e.ID, e.Attempt, "generating"); s != nil {
			s.firstVersion = e.Version
			if e.Version < r.oldestAllowed() {
				r.actions = append(r.actions, CancelAttempt{e.ID, e.Attempt})
				r.probeFailed(s, now)
				r.scheduleRetry(s, now, "delayed", Failure{})
			} else {
				r.probeSucceeded(s)
			}
		}
	case Generated:
		r.handleGenerated(now, e)
	case GenerateFailed:
		if s := r.running(e.ID, e.Attempt, "generating"); s != nil {
			s.state = "waiting"
			r.handleGenerateFailed(s, now, e)
		}
	case Scored:
		if s := r.running(e.ID, e.Attempt, "scoring"); s != nil {
			s.state, s.reward, s.failures = "ready", e.Reward, 0
		}
	case ScoreFailed:
		if s := r.running(e.ID, e.Attempt, "scoring"); s != nil {
			s.state = "score waiting"
			r.retryOrFailGroup(s, now, e.ID, "score delayed", e.Failure)
		}
	case NewestVersion:
		r.observeVersion(e.Version)
	case SetStalenessBound:
		r.stalenessBound = e.Bound
		r.dropStale()
	case Cursor:
		r.observeVersion(e.TrainerVersion)
		r.applyCursor(e.Have)
	case Pull:
		r.observeVersion(e.TrainerVersion)
		r.applyCursor(e.Have)
		r.answerPull(e)
	}
	r.startWork(now)
	return r.actions
}

func (r *reference) running(id SampleID, attempt uint32, state string) *referenceSample {
	if s := r.samples[id]; s != nil && s.state == state && s.attempt == attempt {
		return s
	}
	return nil
}

func (r *reference) scheduleRetry(s *referenceSample, now time.Time, state string, f Failure) {
	wait := r.options.BackoffMax
	if s.failures < 10 {
		wait = min(wait, r.options.BackoffBase<<s.failures)
	}
	s.failures++
	s.state, s.notBefore = state, now.Add(max(wait, f.RetryAfter))
}

func (r *reference) retryOrFailGroup(s *referenceSample, now time.Time, id SampleID, state string, f Failure) {
	if f.Kind == Transient || f.Kind == NotRun {
		r.scheduleRetry(s, now, state, f)
		return
	}
	s.state = "idle"
	r.closeGroup(id.Group)
	r.failedGroups[id.Group] = f.Reason
}

func (r *reference) handleGenerateFailed(s *referenceSample, now time.Time, e GenerateFailed) {
	switch {
	case e.Failure.Kind == Transient:
		r.probeFailed(s, now)
	case e.Failure.Kind == NotRun && r.breakerOpen:
		r.probeFailed(s, now)
	case e.Failure.Kind == NotRun:
		for _, other := range r.samples {
			other.probe = false
		}
		r.breakerOpen, r.failedProbes = true, 0
		r.trip++
		r.nextProbeAt = now.Add(probeDelay(&r.options, &r.spec, r.trip, 0))
	}
	if e.Failure.Kind != NotRun {
		r.retryOrFailGroup(s, now, e.ID, "delayed", e.Failure)
	} else if e.Failure.RetryAfter > 0 {
		s.state, s.notBefore = "delayed", now.Add(e.Failure.RetryAfter)
	}
}

func (r *reference) probeFailed(s *referenceSample, now time.Time) {
	if r.breakerOpen && s.probe {
		r.failedProbes = min(r.failedProbes+1, maxFailures)
		r.nextProbeAt = now.Add(probeDelay(&r.options, &r.spec, r.trip, r.failedProbes))
	}
}

func (r *reference) probeSucceeded(s *referenceSample) { r.breakerOpen = r.breakerOpen && !s.probe }

func (r *reference) canStart(now time.Time) bool {
	probes := 0
	for _, s := range r.samples {
		if s.state == "generating" && s.probe {
			probes++
		}
	}
	if !r.breakerOpen {
		return true
	}
	if probes == 0 {
		r.firstProbeAt = now
	}
	allowed := 1
	for t := r.firstProbeAt; !t.Add(r.options.MaxProbeInterval).After(now) && allowed < 1000; t = t.Add(r.options.MaxProbeInterval) {
		allowed *= 2
	}
	return !now.Before(r.nextProbeAt) && probes < allowed
}

func (r *reference) setState(id SampleID, to string) {
	s := r.samples[id]
	if s.state == "generating" || s.state == "scoring" {
		r.actions = append(r.actions, CancelAttempt{id, s.attempt})
	}
	s.state = to
}

func (r *reference) closeGroup(g int) {
	for i := range r.spec.GroupSize {
		r.setState(SampleID{g, i}, "idle")
	}
}

func (r *reference) handleGenerated(now time.Time, e Generated) {
	s := r.running(e.ID, e.Attempt, "generating")
	if s == nil {
		return
	}
	versions := make([]ident.Version, e.Tokens)
	for _, segment := range e.Segments {
		for token := segment.From; token < segment.To; token++ {
			versions[token] = segment.Version
		}
	}
	s.segments = nil
	for _, v := range versions {
		if v == 0 || v < r.oldestAllowed() {
			r.probeFailed(s, now)
			r.scheduleRetry(s, now, "delayed", Failure{})
			return
		}
		s.segments = AppendTokens(s.segments, v, 1)
	}
	r.probeSucceeded(s)
	s.state, s.text, s.failures = "score waiting", e.Text, 0
}

func (r *reference) observeVersion(v ident.Version) {
	if v > r.newestVersion {
		r.newestVersion = v
		r.dropStale()
	}
}

func (r *reference) dropStale() {
	for id, s := range r.samples {
		if r.skipsLaterStalenessChecks {
			return
		}
		switch s.state {
		case "generating":
			if s.firstVersion != 0 && s.firstVersion < r.oldestAllowed() {
				r.setState(id, "waiting")
			}
		case "score waiting", "score delayed", "scoring", "ready":
			if oldestVersion(s.segments) < r.oldestAllowed() {
				r.setState(id, "waiting")
			}
		}
	}
}

func (r *reference) applyCursor(have *roaring.Bitmap) {
	if r.treatsSentAsDelivered {
		return
	}
	for g := range r.spec.Prompts {
		inCursor := have.Contains(uint32(g))
		if inCursor && !r.heldGroups[g] {
			r.closeGroup(g)
		}
		if _, failed := r.failedGroups[g]; !inCursor && r.heldGroups[g] && !failed {
			for i := range r.spec.GroupSize {
				s := r.samples[SampleID{g, i}]
				s.state, s.failures = "waiting", 0
			}
		}
		r.heldGroups[g] = inCursor
	}
}

func (r *reference) answerPull(p Pull) {
	answer := Deliver{JudgedBy: r.newestVersion}
	held := 0
	for first := 0; first < len(r.order); first += r.spec.GroupSize {
		g := r.order[first].Group
		if r.heldGroups[g] {
			held++
			continue
		}
		group := Group{Number: g}
		if reason, ok := r.failedGroups[g]; ok {
			group.Failed, group.Reason = true, reason
		} else {
			for i := range r.spec.GroupSize {
				if s := r.samples[SampleID{g, i}]; s.state == "ready" {
					group.Samples = append(group.Samples, Sample{g, i, r.spec.Prompts[g].Text, s.text, s.reward, s.segments})
				}
			}
		}
		full := p.MaxGroups > 0 && len(answer.Groups) >= p.MaxGroups
		if full || !group.Failed && len(group.Samples) < r.spec.GroupSize {
			continue
		}
		answer.Groups = append(answer.Groups, group)
		r.heldGroups[g] = r.treatsSentAsDelivered
	}
	answer.Remaining = len(r.spec.Prompts) - held - len(answer.Groups)
	answer.Whole = answer.Remaining == 0
	r.actions = append(r.actions, answer)
}

func (r *reference) startWork(now time.Time) {
	minVersion := max(0, r.oldestAllowed()) // the staleness weight is 0 in all sessions
	for _, id := range r.order {
		s := r.samples[id]
		if s.state == "waiting" && r.count("generating") < r.options.MaxGenerating && r.canStart(now) {
			unfinished := len(r.samples) - r.count("ready") - r.count("idle")
			straggler := unfinished <= max(2, int(r.options.StragglerShare*float64(len(r.samples))))
			s.attempt++
			s.state, s.firstVersion, s.probe = "generating", 0, r.breakerOpen
			r.actions = append(r.actions, Generate{id, s.attempt, minVersion, r.spec.Prompts[id.Group].ExpectedTokens, straggler, minVersion})
		}
	}
	for _, id := range r.order {
		s := r.samples[id]
		if s.state == "score waiting" && r.count("scoring") < r.options.MaxScoring {
			s.state = "scoring"
			r.actions = append(r.actions, Score{id, s.attempt, s.text})
		}
	}
}
