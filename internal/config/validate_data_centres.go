package config

import (
	"fmt"

	"github.com/dogwoodflow/dogwoodflow/internal/ident"
)

// validateDataCentresUnchanged rejects a new data centre for an upstream that the
// configuration already has.
//
// The leases on an engine are records in the log stream of its data centre, and
// their offsets are its fencing tokens. In another stream the offsets would start
// lower: the engine, which remembers the highest token, would refuse every order,
// while an engine that ignores fencing could still be ordered by its former lease
// holder. A VM doesn't move between data centres: one in another data centre is a
// different upstream and needs a different name. Removing an upstream and adding the
// name again with another data centre causes the same problem, unless the engine was
// restarted in between and the last order of the former holder has expired (18 s).
func validateDataCentresUnchanged(before, after *Tree, changed Branch) *Error {
	if changed != FleetBranch {
		return nil
	}
	dataCentres := map[ident.Upstream]ident.DataCentre{}
	for _, g := range before.Fleet.Groups {
		for name, u := range g.Upstreams {
			dataCentres[name] = u.DataCentre
		}
	}
	const path = string(FleetBranch) + "/groups"
	return checkEntries(path, after.Fleet.Groups, func(path, _ string, g Group) *Error {
		return checkEntries(path+"/upstreams", g.Upstreams, func(path string, name ident.Upstream, u Upstream) *Error {
			if previous, ok := dataCentres[name]; ok && previous != u.DataCentre {
				return newError(path+"/data_centre", fmt.Sprintf("must stay %s, or the upstream have another name", previous))
			}
			return nil
		})
	})
}
