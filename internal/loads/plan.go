package loads

import (
	"cmp"
	"slices"
)

// Engine is the state of one engine that is allocated to a model.
type Engine struct {
	ID      string
	Version int64 // weight version of the model that it serves
	Running int   // samples of the model that it runs
	Slots   int   // samples that it can run at once
	Loading bool  // a load order is in progress
	// Evicted reports whether the engine's samples were evicted. It gets no new ones, so that
	// it can load when the last of them has ended.
	Evicted bool
	Usable  bool // reachable and not leaving
}

// Input is the state of a model and its engines.
type Input struct {
	Engines []Engine
	Newest  int64 // newest published version, 0 if there is none
	// MinVersion is the oldest version that all waiting samples may use, 0 if none wait.
	MinVersion int64
	// NextMinVersion is the oldest version that the next step is expected to use, 0 if unknown.
	NextMinVersion int64
	Waiting        int  // samples that no engine runs yet
	Active         bool // a batch of the model is open
	// Retain reports whether samples keep running while their engine loads, and continue with
	// the new version after that. The engine takes no new samples during the load.
	Retain bool
}

// Plan lists the engines to act on now, by ID.
type Plan struct {
	Load  []string // engines to order to load the newest version
	Evict []string // engines whose samples are to continue on others, so that they can load
}

const (
	// loadDivisor limits the loads of a model at a time to this fraction of its engines. The
	// weight store serves a fifth of all engines at full speed (2 of 9, 9 of 45, 10 of 48 on
	// the known deployments), for 0.9 s of the 1.2 s that a load takes with its claim and the
	// engine's report. With more loads at a time, each takes longer. With fewer, a version
	// reaches too few engines before the next one is published.
	loadDivisor = 4
	// minLoads is the lower bound on that limit. minLoadsActive is the bound while a step
	// runs, which needs the other engines.
	minLoads       = 2
	minLoadsActive = 1
)

// maxConcurrentLoads returns how many of the model's engines may load at a time.
func (in Input) maxConcurrentLoads() int {
	share := len(in.Engines) / loadDivisor
	if in.Active && (in.MinVersion == 0 || eligibleCount(in) > 0) {
		return max(minLoadsActive, share)
	}
	return max(minLoads, share)
}

// Decide chooses the engines that load the newest version now, and the engines whose
// samples are evicted for that. An engine is outdated if its version is too old for the
// waiting samples, and eligible otherwise.
//
// An outdated engine loads at once. Its samples, which belong to an earlier step, are moved
// to other engines if these have room, since a load begins when the last of them has ended.
//
// An eligible engine loads when it is idle. If no such engine is idle, the samples of the
// engine with the fewest are evicted: they continue on other engines, which have to process
// their prompts again. While samples wait for a slot, eligible engines load only if the
// model has many engines. Otherwise a version published at the beginning of a step wouldn't
// be loaded before the next step begins, whose samples would then find few engines that
// they may use.
func Decide(in Input) Plan {
	if in.Retain {
		return decideRetaining(in)
	}
	var plan Plan
	loadsLeft, eligibleLoadsLeft := in.maxConcurrentLoads(), in.maxEligibleLoads()
	for _, e := range in.Engines {
		if e.Loading || e.Evicted && e.Running > 0 {
			loadsLeft--
			eligibleLoadsLeft--
		}
	}
	for _, e := range candidates(in) {
		if loadsLeft <= 0 {
			return plan
		}
		if e.Evicted && e.Running > 0 {
			continue // its last samples are still ending
		}
		outdated := e.Version < in.MinVersion
		if outdated && e.Running > 0 && e.Running <= in.freeSlotsElsewhere(e) {
			plan.Evict = append(plan.Evict, e.ID)
			loadsLeft--
			eligibleLoadsLeft--
			continue
		}
		if !outdated && (e.Running > 0 || eligibleLoadsLeft <= 0 || in.canDefer(e, len(plan.Load))) {
			continue
		}
		plan.Load = append(plan.Load, e.ID)
		loadsLeft--
		eligibleLoadsLeft--
	}
	if loadsLeft > 0 && eligibleLoadsLeft > 0 && in.Active && len(plan.Load)+len(plan.Evict) == 0 {
		plan.Evict = planEviction(in)
	}
	return plan
}

// decideRetaining plans loads that samples keep running through, so none has to move. The
// only cost of a load is the second during which its engine takes no new samples. A full
// engine loses nothing by that, so full engines come first.
func decideRetaining(in Input) Plan {
	var plan Plan
	loadsLeft, eligibleLoadsLeft := in.maxConcurrentLoads(), in.maxEligibleLoads()
	for _, e := range in.Engines {
		if e.Loading {
			loadsLeft--
			eligibleLoadsLeft--
		}
	}
	ordered := candidates(in)
	slices.SortStableFunc(ordered, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(b.Running, a.Running))
	})
	for _, e := range ordered {
		outdated := e.Version < in.MinVersion
		full := e.Running >= e.Slots
		if loadsLeft <= 0 || !outdated && (!full && eligibleLoadsLeft <= 0 || in.canDefer(e, len(plan.Load))) {
			continue
		}
		plan.Load = append(plan.Load, e.ID)
		loadsLeft--
		eligibleLoadsLeft--
	}
	return plan
}

// maxEligibleLoads returns how many of the eligible engines may load at a time.
func (in Input) maxEligibleLoads() int {
	if in.Waiting == 0 {
		return len(in.Engines)
	}
	return len(in.Engines) / loadDivisor
}

// canDefer reports whether an engine need not load now. planned is the number of loads
// planned so far. A version is used during two steps, the one that requires it and the one
// before. So an engine that is new enough for the next step gains nothing from a load, and
// one that isn't gains more by waiting for the version that is published with that step, as
// long as enough others are ready. Loading every version on every engine would use the
// whole capacity of the weight store, and each load would take several times as long.
func (in Input) canDefer(e Engine, planned int) bool {
	if in.NextMinVersion == 0 {
		return false
	}
	if e.Version >= in.NextMinVersion {
		return true
	}
	return in.Newest == in.NextMinVersion && in.readyCount()+planned >= readyTarget(len(in.Engines))
}

// readyCount counts the engines that are new enough for the next step, or that are loading.
func (in Input) readyCount() int {
	n := 0
	for _, e := range in.Engines {
		if e.Loading || e.Version >= in.NextMinVersion {
			n++
		}
	}
	return n
}

// readyTarget returns how many of a model's engines should be ready when its next step
// begins. The others load during the step's first second.
func readyTarget(engines int) int { return (2*engines + 2) / 3 }

// eligibleCount counts the eligible engines that take new samples now.
func eligibleCount(in Input) int {
	n := 0
	for _, e := range in.Engines {
		if e.Usable && !e.Loading && e.Version >= in.MinVersion {
			n++
		}
	}
	return n
}

// candidates returns the usable engines that lack the newest version and aren't loading.
// Those with the oldest version come first, which includes all outdated ones, and among
// them those with the fewest samples.
func candidates(in Input) []Engine {
	var out []Engine
	for _, e := range in.Engines {
		if e.Usable && !e.Loading && e.Version < in.Newest {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// planEviction returns the engine whose samples are evicted, if any: the one with the fewest
// among those that should load. The other engines must have room for them, unless samples
// wait for a slot anyway: slots go to the longest samples first.
func planEviction(in Input) []string {
	due := slices.DeleteFunc(candidates(in), func(e Engine) bool { return e.Evicted || in.canDefer(e, 0) })
	if len(due) == 0 {
		return nil
	}
	least := slices.MinFunc(due, func(a, b Engine) int { return cmp.Compare(a.Running, b.Running) })
	if least.Running == 0 || least.Running > in.freeSlotsElsewhere(least) && in.Waiting == 0 {
		return nil
	}
	return []string{least.ID}
}

// freeSlotsElsewhere counts the free slots on other engines where the samples of an engine
// could continue.
func (in Input) freeSlotsElsewhere(e Engine) int {
	free := 0
	for _, other := range in.Engines {
		if other.ID != e.ID && other.Usable && !other.Loading && !other.Evicted && other.Version >= e.Version {
			free += max(0, other.Slots-other.Running)
		}
	}
	return free
}

// DecideWithoutLimits plans loads of the newest version on all engines that lack it at the same
// time. It is the baseline that the planning with limits is compared with.
func DecideWithoutLimits(in Input) Plan {
	var plan Plan
	for _, e := range candidates(in) {
		plan.Load = append(plan.Load, e.ID)
	}
	return plan
}
