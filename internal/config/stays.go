package config

import (
	"fmt"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// validateStays refuses another data centre for an upstream that stays in the
// configuration.
//
// The leases on an engine stand in the log's stream of its data centre, and their
// offsets are its fencing numbers. In another stream they would begin lower: the
// engine, which remembers the highest, would refuse every order, and its former
// holder could still order one that ignores fencing. A VM doesn't move; one in
// another data centre is another upstream and gets another name. Who removes a name
// and then adds it with another data centre meets the same, unless the engine has
// started anew and an old holder's last order has run out (18 s).
func validateStays(before, after *Tree, changed Branch) *Error {
	if changed != FleetBranch {
		return nil
	}
	centres := map[ident.Upstream]ident.DataCentre{}
	for _, g := range before.Fleet.Groups {
		for name, u := range g.Upstreams {
			centres[name] = u.DataCentre
		}
	}
	const path = string(FleetBranch) + "/groups"
	return eachEntry(path, after.Fleet.Groups, func(path, _ string, g Group) *Error {
		return eachEntry(path+"/upstreams", g.Upstreams, func(path string, name ident.Upstream, u Upstream) *Error {
			if was, ok := centres[name]; ok && was != u.DataCentre {
				return fault(path+"/data_centre", fmt.Sprintf("must stay %s, or the upstream have another name", was))
			}
			return nil
		})
	})
}
