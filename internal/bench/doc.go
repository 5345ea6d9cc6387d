// Package bench measures the dispatch policy on real daemons and stand-in
// engines. It defines the scenarios, says which processes each needs, drives
// the load against a running world, and sums the runs up in a table, as JSON
// and as a plot. It starts no process: scripts/bench.sh does.
//
// Each run is one scenario under one policy in a world of its own, so that
// nothing learnt, cached or broken carries over from one run to the next.
package bench
