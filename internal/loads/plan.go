package loads

import (
	"cmp"
	"slices"
)

// Engine is what the plan knows of one engine of a model's share.
type Engine struct {
	ID      string
	Version int64 // of the model's weights that it serves
	Running int   // samples of the model there
	Slots   int
	Loading bool // an order is under way
	Usable  bool // reachable and not leaving
}

// Input of one look at a model's engines.
type Input struct {
	Engines []Engine
	Newest  int64 // published version, 0: none
	// Needed is the oldest version that waiting samples may use, 0 if none wait.
	Needed int64
	// Next is the oldest version that the next step is expected to use, 0 unknown.
	Next int64
	// Waiting counts samples that no engine runs yet.
	Waiting int
	// Active: a batch of the model is open.
	Active bool
}

// Plan is what to do now.
type Plan struct {
	Load   []string // engines to order
	Vacate string   // engine whose samples should go on elsewhere, "" for none
}

const (
	// loadShare: the weight store serves one in so many engines at full speed at once
	// (2 of 9, 9 of 45, 10 of 48 on the deployments' sheets). With more, each load
	// takes longer; with fewer, engines serve old weights while nothing loads.
	loadShare = 5
	// leastLoads is how many engines of a model load at once at least, and
	// leastLoadsActive the same while a step runs, which needs the others.
	leastLoads       = 2
	leastLoadsActive = 1
)

// atOnce is how many engines may load now.
func (in Input) atOnce() int {
	share := len(in.Engines) / loadShare
	if in.Active && (in.Needed == 0 || useful(in) > 0) {
		return max(leastLoadsActive, share)
	}
	return max(leastLoads, share)
}

// Decide chooses the engines that load the newest version now.
//
// An engine that waiting samples can't use loads at once. Any other waits until
// nothing waits for a place: a step's last seconds have few, long samples, so an
// engine that runs none loads then, and if there is none, the one with the fewest
// is vacated, as long as the others have room for its samples.
func Decide(in Input) Plan {
	var plan Plan
	room := in.atOnce()
	for _, e := range in.Engines {
		if e.Loading {
			room--
		}
	}
	for _, e := range candidates(in) {
		if room <= 0 {
			return plan
		}
		useless := e.Version < in.Needed
		if e.Running > 0 && !useless || !useless && in.Waiting > 0 {
			continue
		}
		if !useless && in.spared(e, len(plan.Load)) {
			continue
		}
		plan.Load = append(plan.Load, e.ID)
		room--
	}
	if room > 0 && in.Active && in.Waiting == 0 && len(plan.Load) == 0 {
		plan.Vacate = vacate(in)
	}
	return plan
}

// spared reports whether an engine may keep its weights for now. A version serves
// the step that names it and the one before the next, so an engine that is fresh
// enough for the next step gains nothing by a load; and one that isn't gains more by
// waiting for the version that comes with that step, as long as enough others are
// ready. Loading every version everywhere takes all that the weight store gives, and
// each load then takes several times as long.
func (in Input) spared(e Engine, chosen int) bool {
	if in.Next == 0 {
		return false
	}
	if e.Version >= in.Next {
		return true
	}
	return in.Newest == in.Next && in.ready()+chosen >= quorum(len(in.Engines))
}

// ready counts the engines that are fresh enough for the next step, or will be.
func (in Input) ready() int {
	n := 0
	for _, e := range in.Engines {
		if e.Loading || e.Version >= in.Next {
			n++
		}
	}
	return n
}

// quorum of a model's engines should be ready when its next step comes: the others
// load during its first second.
func quorum(engines int) int { return (2*engines + 2) / 3 }

// useful counts the engines that waiting samples can use.
func useful(in Input) int {
	n := 0
	for _, e := range in.Engines {
		if e.Usable && !e.Loading && e.Version >= in.Needed {
			n++
		}
	}
	return n
}

// candidates are the engines that lack the newest version, those first that
// nobody misses: useless ones, then idle ones.
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

// vacate returns the candidate with the fewest samples if the other engines have
// room for them.
func vacate(in Input) string {
	list := candidates(in)
	if len(list) == 0 {
		return ""
	}
	list = slices.DeleteFunc(list, func(e Engine) bool { return in.spared(e, 0) })
	if len(list) == 0 {
		return ""
	}
	least := slices.MinFunc(list, func(a, b Engine) int { return cmp.Compare(a.Running, b.Running) })
	room := 0
	for _, e := range in.Engines {
		if e.ID != least.ID && e.Usable && !e.Loading {
			room += max(0, e.Slots-e.Running)
		}
	}
	if least.Running == 0 || least.Running > room {
		return ""
	}
	return least.ID
}
