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

// A model of three trainers on one service, to compare ways of ordering servers without any
// of the daemons' other decisions. Figures are those of a deployment with 48 servers:
// steps of some 240 samples each 4 s, a seventh of which are many times as long as the
// others; a token takes 0.632 ms and 0.0149 ms more for each sample beside; servers boot
// for 4 s; spot servers cost 0.22 of the others, and are taken away a data centre at a time.
const (
	tick        = 20 * time.Millisecond
	horizon     = 60 * time.Second
	stepEvery   = 4 * time.Second
	trainTakes  = 700 * time.Millisecond
	due         = 8200 * time.Millisecond
	groupSize   = 16
	eventTokens = 68
	maxEvents   = 123
)

type modelSample struct {
	group  int
	tokens float64 // left
}

type modelServer struct {
	dc    string
	spot  bool
	ready time.Duration
	gone  time.Duration // 0: stays
	slow  float64       // how many times longer a token takes
	runs  []*modelSample
	step  []*modelStep
}

type modelStep struct {
	began   time.Duration
	waiting []*modelSample
	open    map[int]int // samples left by group
	groups  int
	ended   time.Duration
}

// wanted is how many groups a trainer waits for.
func (s *modelStep) wanted() int { return int(math.Ceil(0.9 * float64(s.groups))) }

// worldModel is the service and its trainers.
type worldModel struct {
	random   *rand.Rand
	now      time.Duration
	servers  []*modelServer
	trainers [3][]*modelStep
	cost     float64 // of servers, in seconds of a regular one
	closed   map[string]time.Duration
}

func newModel(seed uint64) *worldModel {
	w := &worldModel{random: rand.New(rand.NewPCG(seed, 11)), closed: map[string]time.Duration{}}
	for _, dc := range []string{"a", "b", "c"} {
		for range 16 {
			w.servers = append(w.servers, &modelServer{dc: dc, slow: 1})
		}
	}
	return w
}

func (w *worldModel) events() float64 {
	n := 17 * math.Exp(0.75*w.random.NormFloat64()-0.28)
	if w.random.Float64() < 0.104 {
		n *= 5
	}
	return min(maxEvents, max(1, n))
}

func (w *worldModel) newStep(groups int) *modelStep {
	s := &modelStep{began: w.now, open: map[int]int{}, groups: groups}
	for g := range groups {
		for range groupSize {
			s.open[g]++
			s.waiting = append(s.waiting, &modelSample{group: g, tokens: eventTokens * w.events()})
		}
	}
	slices.SortFunc(s.waiting, func(a, b *modelSample) int { return cmp.Compare(b.tokens, a.tokens) })
	return s
}

func (w *worldModel) there() map[string]Servers {
	out := map[string]Servers{}
	for _, s := range w.servers {
		if s.gone > 0 {
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

// order carries an order out: servers boot, or leave at once.
func (w *worldModel) order(o Order) bool {
	have := 0
	for _, s := range w.servers {
		if s.dc == o.DataCentre && s.spot == o.Spot && s.gone == 0 {
			have++
		}
	}
	if o.Count > have && o.Spot && w.now < w.closed[o.DataCentre] {
		return false
	}
	for ; have < o.Count; have++ {
		w.servers = append(w.servers, &modelServer{dc: o.DataCentre, spot: o.Spot, ready: w.now + market.Boot, slow: 1})
	}
	for _, s := range w.servers {
		if have > o.Count && s.dc == o.DataCentre && s.spot == o.Spot && s.gone == 0 {
			s.gone = w.now + tick
			have--
		}
	}
	return true
}

// reclaim takes the spot servers of a data centre away after a notice; for ten seconds none
// is to be had there.
func (w *worldModel) reclaim(dc string) {
	for _, s := range w.servers {
		if s.dc == dc && s.spot && s.gone == 0 {
			s.gone = w.now + 2500*time.Millisecond
		}
	}
	w.closed[dc] = w.now + 10*time.Second
}

func (w *worldModel) run(p orderPolicy, trouble func(*worldModel)) {
	groups := [3]int{14, 16, 16}
	for ; w.now < horizon; w.now += tick {
		trouble(w)
		p.act(w)
		for i := range w.trainers {
			if w.asks(i) {
				w.trainers[i] = append(w.trainers[i], w.newStep(groups[i]))
			}
		}
		w.serve()
	}
}

// asks reports whether a trainer asks for its next step: on its schedule, or later if it
// hasn't trained on the step before the last one.
func (w *worldModel) asks(i int) bool {
	steps := w.trainers[i]
	if w.now < time.Duration(len(steps))*stepEvery {
		return false
	}
	if len(steps) < 2 {
		return true
	}
	before := steps[len(steps)-2]
	return before.ended > 0 && w.now >= before.ended+trainTakes
}

// serve places waiting samples and lets all servers work for a tick.
func (w *worldModel) serve() {
	w.servers = slices.DeleteFunc(w.servers, func(s *modelServer) bool {
		if s.gone == 0 || w.now < s.gone {
			return false
		}
		for i, x := range s.runs { // they go on elsewhere
			s.step[i].waiting = slices.Insert(s.step[i].waiting, 0, x)
		}
		return true
	})
	w.place()
	for _, s := range w.servers {
		w.cost += price(s) * tick.Seconds()
		if len(s.runs) == 0 {
			continue
		}
		perToken := (0.632 + 0.0149*float64(len(s.runs)-1)) * s.slow
		done := float64(tick) / float64(time.Millisecond) / perToken
		for i := len(s.runs) - 1; i >= 0; i-- {
			if s.runs[i].tokens -= done; s.runs[i].tokens <= 0 {
				w.finished(s.step[i], s.runs[i].group)
				s.runs, s.step = slices.Delete(s.runs, i, i+1), slices.Delete(s.step, i, i+1)
			}
		}
	}
}

func price(s *modelServer) float64 {
	if s.spot {
		return market.SpotPrice
	}
	return 1
}

// place starts samples, the longest first, each on the server with the fewest.
func (w *worldModel) place() {
	for {
		var step *modelStep
		for _, steps := range w.trainers {
			for _, s := range steps {
				if s.ended == 0 && len(s.waiting) > 0 && (step == nil || s.waiting[0].tokens > step.waiting[0].tokens) {
					step = s
				}
			}
		}
		var best *modelServer
		for _, s := range w.servers {
			if w.now >= s.ready && s.gone == 0 && len(s.runs) < market.Slots && (best == nil || float64(len(s.runs))+s.slow < float64(len(best.runs))+best.slow) {
				best = s
			}
		}
		if step == nil || best == nil {
			return
		}
		best.runs, best.step = append(best.runs, step.waiting[0]), append(best.step, step)
		step.waiting = step.waiting[1:]
	}
}

func (w *worldModel) finished(s *modelStep, group int) {
	s.open[group]--
	if s.open[group] == 0 {
		delete(s.open, group)
	}
	if s.ended == 0 && s.groups-len(s.open) >= s.wanted() {
		s.ended = w.now
		s.waiting = nil // the trainer wants no more of it
	}
}

// inTime returns the steps that were whole when they were due, those that should have come,
// and the mean time of those that ended.
func (w *worldModel) inTime() (right, all int, mean time.Duration) {
	ended := 0
	for _, steps := range w.trainers {
		all += 1 + int((horizon-due)/stepEvery)
		for _, s := range steps {
			if s.began > horizon-due {
				continue
			}
			if s.ended > 0 {
				ended++
				mean += s.ended - s.began
			}
			if s.ended > 0 && s.ended-s.began <= due {
				right++
			}
		}
	}
	return right, all, mean / time.Duration(max(1, ended))
}

// orderPolicy decides what is ordered.
type orderPolicy interface{ act(w *worldModel) }

// asFound orders nothing.
type asFound struct{}

func (asFound) act(*worldModel) {}

// byPlan is the policy in force, with the places for each sample of a step scaled.
type byPlan struct {
	ledger *Ledger
	factor float64
}

func (p *byPlan) act(w *worldModel) {
	view := View{Now: w.now, There: w.there(), Samples: int(p.factor * 736)}
	for _, o := range p.ledger.Decide(market, view) {
		if w.order(o) {
			p.ledger.Ordered(o, w.now)
		} else {
			p.ledger.Refused(o.Key, w.now)
		}
	}
}

// byUse orders more when most places are taken, and gives back what was idle for a while.
type byUse struct{ busy, idle time.Duration }

func (p *byUse) act(w *worldModel) {
	places, used, waiting := 0, 0, 0
	for _, s := range w.servers {
		places += market.Slots
		used += len(s.runs)
	}
	for _, steps := range w.trainers {
		for _, s := range steps {
			waiting += len(s.waiting)
		}
	}
	const high, low, longIdle = 0.8, 0.3, 10 * time.Second
	switch part := float64(used+waiting) / float64(max(1, places)); {
	case part > high && w.now-p.busy > market.Boot:
		p.busy, p.idle = w.now, w.now
		for dc, s := range w.there() {
			w.order(Order{Key{dc, true}, min(market.Max-s.Regular, s.Spot+4)})
		}
	case part > low:
		p.idle = w.now
	case w.now-p.idle > longIdle:
		p.idle = w.now
		for dc, s := range w.there() {
			w.order(Order{Key{dc, true}, max(0, s.Spot-4)})
		}
	}
}

// at does something once at a time.
func at(when time.Duration, do func(*worldModel)) func(*worldModel) {
	return func(w *worldModel) {
		if w.now == when {
			do(w)
		}
	}
}

// share of the servers, chosen by chance.
func (w *worldModel) share(part float64, do func(*modelServer)) {
	for _, s := range w.servers {
		if w.random.Float64() < part {
			do(s)
		}
	}
}

// The ways to order servers, each under the same troubles and seeds. With a place for each
// sample of a step, fewer steps are late than with the servers found, for a fifth more of
// their cost; following the use orders too late and gives back too early. The table is
// shown by go test -v -run Ways.
func TestWaysOfOrderingServers(t *testing.T) {
	troubles := []struct {
		name string
		do   func(*worldModel)
	}{
		{"none", func(*worldModel) {}},
		{"a fifth slow for 8 s", func(w *worldModel) {
			at(20*time.Second, func(w *worldModel) { w.share(0.2, func(s *modelServer) { s.slow = 3.5 }) })(w)
			at(28*time.Second, func(w *worldModel) { w.share(1, func(s *modelServer) { s.slow = 1 }) })(w)
		}},
		{"a sixth lost for good", at(20*time.Second, func(w *worldModel) {
			w.share(0.17, func(s *modelServer) { s.gone = w.now })
		})},
		{"spot servers of a data centre taken away, twice", func(w *worldModel) {
			at(20*time.Second, func(w *worldModel) { w.reclaim("a") })(w)
			at(36*time.Second, func(w *worldModel) { w.reclaim("c") })(w)
		}},
	}
	ways := []struct {
		name string
		new  func() orderPolicy
	}{
		{"as found", func() orderPolicy { return asFound{} }},
		{"by use", func() orderPolicy { return &byUse{} }},
		{"by plan, 1 place a sample", func() orderPolicy { return &byPlan{NewLedger(), 1} }},
		{"by plan, 0.75", func() orderPolicy { return &byPlan{NewLedger(), 0.75} }},
		{"by plan, 1.6", func() orderPolicy { return &byPlan{NewLedger(), 1.6} }},
	}
	g := NewWithT(t)
	for _, trouble := range troubles {
		late := map[string]int{}
		for _, way := range ways {
			right, all, mean, cost := 0, 0, time.Duration(0), 0.0
			const seeds = 6
			for seed := range uint64(seeds) {
				w := newModel(seed)
				w.run(way.new(), trouble.do)
				r, a, m := w.inTime()
				right, all, mean, cost = right+r, all+a, mean+m/seeds, cost+w.cost/seeds
			}
			late[way.name] = all - right
			t.Logf("%-48s %-26s %3d of %3d steps in time, mean %v, cost %4.0f", trouble.name, way.name, right, all, mean.Round(10*time.Millisecond), cost)
		}
		g.Expect(late["by plan, 1 place a sample"]).To(BeNumerically("<=", late["as found"]), trouble.name)
	}
}
