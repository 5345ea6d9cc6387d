package weights

import (
	"slices"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// Engine is the state of one engine of the group.
type Engine struct {
	Name     ident.Upstream
	Serving  ident.Version   // version served, 0 if none
	Loaded   []ident.Version // versions held in memory
	Up       bool
	Leaving  bool
	MayOrder bool // this daemon may send it orders
}

// holds reports whether the engine has version v in memory, or serves it or a newer one.
func (e *Engine) holds(v ident.Version) bool {
	return e.Serving >= v || slices.Contains(e.Loaded, v)
}

// reaches reports whether the engine serves, or has in memory, version v or a newer one.
func (e *Engine) reaches(v ident.Version) bool { return e.newest() >= v }

// newest returns the newest version that the engine serves or has in memory.
func (e *Engine) newest() ident.Version {
	return slices.Max(append([]ident.Version{e.Serving}, e.Loaded...))
}

// switchTarget returns the version that the engine should switch to when v is ready, 0 for
// none. That is the newest version in its memory up to v, or else the oldest one above v:
// while versions are published faster than they load, hardly any two engines hold the same
// one.
func (e *Engine) switchTarget(v ident.Version) ident.Version {
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

// Input is the state that orders are planned from.
type Input struct {
	Engines         []Engine      // the whole group, in any order
	Newest          ident.Version // newest published version, 0 if none; it only grows
	Interval        time.Duration // estimated time between publications, 0 if unknown
	StalenessWeight float64       // from 0, let running steps finish, to 1, switch at once
	// MinVersion is the oldest version that a new sample may use, 0 if unknown. An engine that
	// serves an older one can't start any.
	MinVersion ident.Version
}
