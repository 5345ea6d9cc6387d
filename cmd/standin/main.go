// Command standin simulates the systems around dogwoodflow on loopback, for demos, tests
// and trials: engines, services, scorers, the platform's log, weight store and list of VMs,
// trainers and callers. Each is a subcommand. Further subcommands inject faults, send
// requests and check results.
package main

import (
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/cli"
)

// envPrefix precedes a flag's name in the environment, e.g. STANDIN_LISTEN.
const envPrefix = "STANDIN"

func main() { os.Exit(cli.Main(newRoot(), envPrefix)) }

func newRoot() *ff.Command {
	flags := ff.NewFlagSet("standin")
	return &ff.Command{
		Name:      "standin",
		Usage:     "standin SUBCOMMAND ...",
		ShortHelp: "simulates the systems around dogwoodflow, on loopback",
		LongHelp: "Every flag can be set in the environment, as " + envPrefix + "_ and the flag's name in\n" +
			"upper case with _ for -, e.g. " + envPrefix + "_LISTEN.",
		Flags: flags,
		Subcommands: []*ff.Command{
			engineCommand(), serviceCommand(), scorerCommand(),
			logCommand(), weightsCommand(), vmlistCommand(),
			trainerCommand(), callersCommand(),
			faultCommand(), getCommand(), waitCommand(), reportCommand(),
			versionsCommand(), inForceCommand(), fencesCommand(),
		},
	}
}
