package peer

import (
	"github.com/dogwoodflow/dogwoodflow/internal/dispatch"
	"github.com/dogwoodflow/dogwoodflow/internal/ident"
	"github.com/dogwoodflow/dogwoodflow/internal/membership"
	"github.com/dogwoodflow/dogwoodflow/internal/timeline"
)

// Snapshot is what a daemon has to say at one moment. Digests carry the
// difference between two of them. Read only once made.
type Snapshot struct {
	Dispatch  dispatch.Digest
	Published map[ident.Model]ident.Version // newest in the weight store
	Config    ConfigPoint
	Draining  bool
	HLC       timeline.Stamp
	// Known are the daemons that this one hears itself, by VM. Two that start
	// at once through one seed learn of each other by it.
	Known []membership.Contact
}

// ConfigPoint says how far a daemon's configuration has come.
type ConfigPoint struct {
	Through ident.Offset `json:"through"`
	Version ident.Offset `json:"version"`
}
