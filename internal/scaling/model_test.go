package scaling

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// This file simulates three trainers that use one service, to compare policies for ordering
// servers independently of the daemons' other decisions. The parameters are those of a
// deployment with 48 servers: a step of about 240 samples every 4 s, of which a seventh are
// many times as long as the others; 0.632 ms per token, and 0.0149 ms more for each other
// sample on the server; 4 s to boot a server; spot servers at 0.22 of the regular price, which
// are reclaimed for a whole data centre at a time.
const (
	tick           = 20 * time.Millisecond
	duration       = 60 * time.Second
	stepInterval   = 4 * time.Second
	trainingTime   = 700 * time.Millisecond  // on one step, after its samples
	stepTimeLimit  = 8200 * time.Millisecond // for a step to count as in time
	groupSize      = 16
	tokensPerEvent = 68
	maxEvents      = 123 // of a sample
)

// modelSample is a sample that waits or runs.
type modelSample struct {
	group           int // within the step
	remainingTokens float64
}

// modelServer is a server with its running samples.
type modelServer struct {
	dc        string
	spot      bool
	readyAt   time.Duration
	removedAt time.Duration // 0 if it stays
	slowdown  float64       // factor on the time per token
	running   []*modelSample
	steps     []*modelStep // of the samples in running
}

// modelStep is a step of one trainer.
type modelStep struct {
	startedAt  time.Duration
	waiting    []*modelSample
	unfinished map[int]int // number of unfinished samples by group
	groups     int
	endedAt    time.Duration // 0 while it runs
}

// neededGroups returns the number of finished groups with which the step ends.
func (s *modelStep) neededGroups() int { return int(math.Ceil(0.9 * float64(s.groups))) }

// serviceModel simulates the service and its trainers.
type serviceModel struct {
	random               *rand.Rand
	now                  time.Duration
	servers              []*modelServer
	trainers             [3][]*modelStep // steps of each trainer
	cost                 float64         // of all servers, in seconds of a regular one
	spotUnavailableUntil map[string]time.Duration
}

// newModel returns a model with 16 regular servers in each of three data centres.
func newModel(seed uint64) *serviceModel {
	w := &serviceModel{random: rand.New(rand.NewPCG(seed, 11)), spotUnavailableUntil: map[string]time.Duration{}}
	for _, dc := range []string{"a", "b", "c"} {
		for range 16 {
			w.servers = append(w.servers, &modelServer{dc: dc, slowdown: 1})
		}
	}
	return w
}

// events returns a random number of events of a sample.
func (w *serviceModel) events() float64 {
	n := 17 * math.Exp(0.75*w.random.NormFloat64()-0.28)
	if w.random.Float64() < 0.104 {
		n *= 5
	}
	return min(maxEvents, max(1, n))
}

// newStep returns a step of random samples, longest first.
func (w *serviceModel) newStep(groups int) *modelStep {
	s := &modelStep{startedAt: w.now, unfinished: map[int]int{}, groups: groups}
	for g := range groups {
		for range groupSize {
			s.unfinished[g]++
			s.waiting = append(s.waiting, &modelSample{group: g, remainingTokens: tokensPerEvent * w.events()})
		}
	}
	slices.SortFunc(s.waiting, func(a, b *modelSample) int { return cmp.Compare(b.remainingTokens, a.remainingTokens) })
	return s
}

// currentServers returns the servers that are not leaving, by data centre.
func (w *serviceModel) currentServers() map[string]Servers {
	out := map[string]Servers{}
	for _, s := range w.servers {
		if s.removedAt > 0 {
			continue // leaving
		}
		x := out[s.dc]
		if s.spot {
			x.Spot++
		} else {
			x.Regular++
		}
		out[s.dc] = x
	}
	return out
}

// execute carries out an order: servers start to boot, or are removed at once. It returns
// false if no spot server is available.
func (w *serviceModel) execute(o Order) bool {
	existing := 0
	for _, s := range w.servers {
		if s.dc == o.DataCentre && s.spot == o.Spot && s.removedAt == 0 {
			existing++
		}
	}
	if o.Count > existing && o.Spot && w.now < w.spotUnavailableUntil[o.DataCentre] {
		return false
	}
	for ; existing < o.Count; existing++ {
		w.servers = append(w.servers, &modelServer{dc: o.DataCentre, spot: o.Spot, readyAt: w.now + market.BootTime, slowdown: 1})
	}
	for _, s := range w.servers {
		if existing > o.Count && s.dc == o.DataCentre && s.spot == o.Spot && s.removedAt == 0 {
			s.removedAt = w.now + tick
			existing--
		}
	}
	return true
}

// reclaim removes the spot servers of a data centre after a notice period. No spot server is
// available there for ten seconds.
func (w *serviceModel) reclaim(dc string) {
	for _, s := range w.servers {
		if s.dc == dc && s.spot && s.removedAt == 0 {
			s.removedAt = w.now + 2500*time.Millisecond
		}
	}
	w.spotUnavailableUntil[dc] = w.now + 10*time.Second
}

// run simulates the whole duration. fault is called at every tick.
func (w *serviceModel) run(p orderPolicy, fault func(*serviceModel)) {
	groups := [3]int{14, 16, 16}
	for ; w.now < duration; w.now += tick {
		fault(w)
		p.apply(w)
		for i := range w.trainers {
			if w.wantsStep(i) {
				w.trainers[i] = append(w.trainers[i], w.newStep(groups[i]))
			}
		}
		w.advance()
	}
}

// wantsStep reports whether a trainer requests its next step: at the step interval, or later
// if it has not finished training on the step before the last one.
func (w *serviceModel) wantsStep(i int) bool {
	steps := w.trainers[i]
	if w.now < time.Duration(len(steps))*stepInterval {
		return false
	}
	if len(steps) < 2 {
		return true
	}
	before := steps[len(steps)-2]
	return before.endedAt > 0 && w.now >= before.endedAt+trainingTime
}

// advance removes servers, places waiting samples, and simulates all servers for one tick.
func (w *serviceModel) advance() {
	w.servers = slices.DeleteFunc(w.servers, func(s *modelServer) bool {
		if s.removedAt == 0 || w.now < s.removedAt {
			return false
		}
		for i, x := range s.running { // they resume on other servers
			s.steps[i].waiting = slices.Insert(s.steps[i].waiting, 0, x)
		}
		return true
	})
	w.placeSamples()
	for _, s := range w.servers {
		w.cost += price(s) * tick.Seconds()
		if len(s.running) == 0 {
			continue
		}
		perToken := (0.632 + 0.0149*float64(len(s.running)-1)) * s.slowdown
		done := float64(tick) / float64(time.Millisecond) / perToken
		for i := len(s.running) - 1; i >= 0; i-- {
			if s.running[i].remainingTokens -= done; s.running[i].remainingTokens <= 0 {
				w.sampleEnded(s.steps[i], s.running[i].group)
				s.running, s.steps = slices.Delete(s.running, i, i+1), slices.Delete(s.steps, i, i+1)
			}
		}
	}
}

// price returns the price of a server relative to a regular one.
func price(s *modelServer) float64 {
	if s.spot {
		return market.SpotPrice
	}
	return 1
}

// placeSamples starts waiting samples, longest first, each on the server with the lowest sum
// of running samples and slowdown.
func (w *serviceModel) placeSamples() {
	for {
		var step *modelStep
		for _, steps := range w.trainers {
			for _, s := range steps {
				if s.endedAt == 0 && len(s.waiting) > 0 && (step == nil || s.waiting[0].remainingTokens > step.waiting[0].remainingTokens) {
					step = s
				}
			}
		}
		var best *modelServer
		for _, s := range w.servers {
			if w.now >= s.readyAt && s.removedAt == 0 && len(s.running) < market.SlotsPerServer && (best == nil || float64(len(s.running))+s.slowdown < float64(len(best.running))+best.slowdown) {
				best = s
			}
		}
		if step == nil || best == nil {
			return
		}
		best.running, best.steps = append(best.running, step.waiting[0]), append(best.steps, step)
		step.waiting = step.waiting[1:]
	}
}

// sampleEnded records that a sample ended. It ends the step if enough groups are finished.
func (w *serviceModel) sampleEnded(s *modelStep, group int) {
	s.unfinished[group]--
	if s.unfinished[group] == 0 {
		delete(s.unfinished, group)
	}
	if s.endedAt == 0 && s.groups-len(s.unfinished) >= s.neededGroups() {
		s.endedAt = w.now
		s.waiting = nil // the trainer needs no more samples
	}
}

// results returns the number of steps that ended in time, the number expected, and the mean
// time of those that ended.
func (w *serviceModel) results() (inTime, expected int, mean time.Duration) {
	ended := 0
	for _, steps := range w.trainers {
		expected += 1 + int((duration-stepTimeLimit)/stepInterval)
		for _, s := range steps {
			if s.startedAt > duration-stepTimeLimit {
				continue
			}
			if s.endedAt > 0 {
				ended++
				mean += s.endedAt - s.startedAt
			}
			if s.endedAt > 0 && s.endedAt-s.startedAt <= stepTimeLimit {
				inTime++
			}
		}
	}
	return inTime, expected, mean / time.Duration(max(1, ended))
}

// orderPolicy decides which servers to order. apply is called at every tick.
type orderPolicy interface{ apply(w *serviceModel) }

// noOrders keeps the initial servers.
type noOrders struct{}

func (noOrders) apply(*serviceModel) {}

// planned is the policy of this package, with the number of slots for each sample of a step
// scaled by a factor.
type planned struct {
	planner        *Planner
	slotsPerSample float64
}

func (p *planned) apply(w *serviceModel) {
	view := State{Now: w.now, Servers: w.currentServers(), StepSamples: int(p.slotsPerSample * 736)}
	for _, o := range p.planner.Decide(market, view) {
		if w.execute(o) {
			p.planner.RecordOrder(o, w.now)
		} else {
			p.planner.RecordUnavailable(o.Pool, w.now)
		}
	}
}

// utilisationBased orders more spot servers when most slots are taken, and releases some after
// utilisation was low for a while.
type utilisationBased struct{ grownAt, lowSince time.Duration }

func (p *utilisationBased) apply(w *serviceModel) {
	slots, used, waiting := 0, 0, 0
	for _, s := range w.servers {
		slots += market.SlotsPerServer
		used += len(s.running)
	}
	for _, steps := range w.trainers {
		for _, s := range steps {
			waiting += len(s.waiting)
		}
	}
	const high, low, lowTime = 0.8, 0.3, 10 * time.Second
	switch utilisation := float64(used+waiting) / float64(max(1, slots)); {
	case utilisation > high && w.now-p.grownAt > market.BootTime:
		p.grownAt, p.lowSince = w.now, w.now
		for dc, s := range w.currentServers() {
			w.execute(Order{Pool{dc, true}, min(market.MaxPerDataCentre-s.Regular, s.Spot+4)})
		}
	case utilisation > low:
		p.lowSince = w.now
	case w.now-p.lowSince > lowTime:
		p.lowSince = w.now
		for dc, s := range w.currentServers() {
			w.execute(Order{Pool{dc, true}, max(0, s.Spot-4)})
		}
	}
}

// atTime returns a fault that calls do once, at the given time.
func atTime(when time.Duration, do func(*serviceModel)) func(*serviceModel) {
	return func(w *serviceModel) {
		if w.now == when {
			do(w)
		}
	}
}

// forRandomServers calls do for each server with the given probability.
func (w *serviceModel) forRandomServers(probability float64, do func(*modelServer)) {
	for _, s := range w.servers {
		if w.random.Float64() < probability {
			do(s)
		}
	}
}

// Compares order policies with the same faults and seeds. With one slot for each sample of a
// step, fewer steps are late than with the initial servers only, at a fifth more of their
// cost. A policy based on utilisation orders too late and releases too early. The table is
// printed by go test -v -run OrderPolicies.
func TestOrderPolicies(t *testing.T) {
	faults := []struct {
		name string
		do   func(*serviceModel)
	}{
		{"none", func(*serviceModel) {}},
		{"a fifth of the servers slow for 8 s", func(w *serviceModel) {
			atTime(20*time.Second, func(w *serviceModel) { w.forRandomServers(0.2, func(s *modelServer) { s.slowdown = 3.5 }) })(w)
			atTime(28*time.Second, func(w *serviceModel) { w.forRandomServers(1, func(s *modelServer) { s.slowdown = 1 }) })(w)
		}},
		{"a sixth of the servers lost", atTime(20*time.Second, func(w *serviceModel) {
			w.forRandomServers(0.17, func(s *modelServer) { s.removedAt = w.now })
		})},
		{"spot servers of a data centre reclaimed, twice", func(w *serviceModel) {
			atTime(20*time.Second, func(w *serviceModel) { w.reclaim("a") })(w)
			atTime(36*time.Second, func(w *serviceModel) { w.reclaim("c") })(w)
		}},
	}
	policies := []struct {
		name string
		new  func() orderPolicy
	}{
		{"no orders", func() orderPolicy { return noOrders{} }},
		{"by utilisation", func() orderPolicy { return &utilisationBased{} }},
		{"planned, 1 slot a sample", func() orderPolicy { return &planned{NewPlanner(), 1} }},
		{"planned, 0.75", func() orderPolicy { return &planned{NewPlanner(), 0.75} }},
		{"planned, 1.6", func() orderPolicy { return &planned{NewPlanner(), 1.6} }},
	}
	g := NewWithT(t)
	for _, fault := range faults {
		late := map[string]int{}
		for _, policy := range policies {
			inTime, expected, mean, cost := 0, 0, time.Duration(0), 0.0
			const seeds = 6
			for seed := range uint64(seeds) {
				w := newModel(seed)
				w.run(policy.new(), fault.do)
				i, e, m := w.results()
				inTime, expected, mean, cost = inTime+i, expected+e, mean+m/seeds, cost+w.cost/seeds
			}
			late[policy.name] = expected - inTime
			t.Logf("%-48s %-26s %3d of %3d steps in time, mean %v, cost %4.0f", fault.name, policy.name, inTime, expected, mean.Round(10*time.Millisecond), cost)
		}
		g.Expect(late["planned, 1 slot a sample"]).To(BeNumerically("<=", late["no orders"]), fault.name)
	}
}
