package weights

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Engine is what is known of one engine of the group.
type Engine struct {
	Name    ident.Upstream
	Serving ident.Version   // 0: none
	Loaded  []ident.Version // held in memory
	Up      bool
	Leaving bool
	Mine    bool // this daemon may order it
}

// holds reports whether the engine could serve version v or serves a newer one.
func (e *Engine) holds(v ident.Version) bool {
	return e.Serving >= v || slices.Contains(e.Loaded, v)
}

// reaches reports whether the engine serves version v or a newer one, or could at once.
func (e *Engine) reaches(v ident.Version) bool { return e.newest() >= v }

// newest returns the newest version that the engine serves or could serve at once.
func (e *Engine) newest() ident.Version {
	return slices.Max(append([]ident.Version{e.Serving}, e.Loaded...))
}

// target returns the version to switch to when v is ready, 0 for none: the newest
// that the engine holds up to v, or else the oldest above. While versions follow
// each other faster than loads, hardly two engines hold the same one.
func (e *Engine) target(v ident.Version) ident.Version {
	var below, above ident.Version
	for _, held := range e.Loaded {
		switch {
		case held <= e.Serving:
		case held <= v:
			below = max(below, held)
		case above == 0 || held < above:
			above = held
		}
	}
	if below != 0 || e.Serving >= v {
		return below
	}
	return above
}

func (e *Engine) usable() bool { return e.Up && !e.Leaving }

// Input is what one step looks at.
type Input struct {
	Engines         []Engine      // the whole group, any order
	Newest          ident.Version // published; only grows
	Interval        time.Duration // between publications, estimated; 0 unknown
	StalenessWeight float64       // 0: let steps finish, 1: switch at once
	// Needed is the oldest version that a sample begun now may name, 0 when unknown.
	// Engines that serve older ones can begin none.
	Needed ident.Version
}
