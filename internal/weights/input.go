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
