// Package bench benchmarks the dispatch policy with real daemons and simulated engines. It
// defines the scenarios and the processes that each of them needs, generates load on a running
// deployment, and summarizes the runs as a table, as JSON and as a plot. It starts no process:
// scripts/bench.sh does.
//
// A run is one scenario under one policy. Each run has a deployment of its own, so that no state
// (statistics, caches, crashed processes) carries over from one run to the next.
package bench
