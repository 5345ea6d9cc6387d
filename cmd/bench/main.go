// Command bench runs the scenarios of the dispatch policy's benchmark and prints the table of
// results. It starts no process: scripts/bench.sh starts those that "bench plan" lists.
package main

import (
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/cli"
)

// envPrefix precedes the names of flags in environment variables, as in BENCH_JSON.
const envPrefix = "BENCH"

func main() {
	os.Exit(cli.Main(&ff.Command{
		Name:        "bench",
		Usage:       "bench SUBCOMMAND ...",
		ShortHelp:   "benchmarks the dispatch policy against the naive policy",
		Flags:       ff.NewFlagSet("bench"),
		Subcommands: []*ff.Command{listCommand(), planCommand(), driveCommand(), tableCommand()},
	}, envPrefix))
}
