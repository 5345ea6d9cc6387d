// Command dogwoodflowd is the daemon that runs on every entry VM.
package main

import (
	"errors"
	"fmt"
	stdlog "log"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"

	"github.com/dogwoodflow/dogwoodflow/internal/app"
	"github.com/dogwoodflow/dogwoodflow/internal/logline"
	"github.com/dogwoodflow/dogwoodflow/internal/policy"
	"github.com/dogwoodflow/dogwoodflow/internal/settings"
	"github.com/dogwoodflow/dogwoodflow/platform"
)

// version is set by the linker; see the Makefile.
var version = "dev"

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	d, err := settings.Parse(args)
	var help *settings.HelpError
	if errors.As(err, &help) {
		fmt.Println(help.Text)
		return app.ExitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodflowd:", err)
		return app.ExitSettings
	}
	if d.PrintVersion {
		fmt.Println("dogwoodflowd", version, goVersion())
		return app.ExitOK
	}
	if d.BootFile != "" {
		return runOnPlatform(d)
	}
	return app.Run(d, newLogger(d))
}

// millisecondTime is the time format of log lines, precise enough to sort the lines of several
// daemons.
const millisecondTime = "2006-01-02T15:04:05.000Z07:00"

// runOnPlatform runs the daemon on the platform. It logs to standard output, which the platform
// collects, and never blocks on it.
func runOnPlatform(d *settings.Daemon) int {
	level, err := zerolog.ParseLevel(d.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = millisecondTime
	out := logline.New(os.Stdout)
	defer out.Close()
	log := zerolog.New(out).Level(level).With().Timestamp().Logger()
	logStandardLines(log)
	disabled, err := policy.Parse(d.DisabledMechanisms)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodflowd:", err)
		return app.ExitSettings
	}
	return platform.Run(platform.Options{Policy: disabled, BootPath: d.BootFile, MetricsAddress: d.MetricsAddress, Logger: log, Naive: d.Policy == settings.PolicyNaive})
}

// newLogger returns the logger of a daemon outside the platform, which writes to standard error.
func newLogger(d *settings.Daemon) zerolog.Logger {
	level, err := zerolog.ParseLevel(d.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = millisecondTime
	log := zerolog.New(os.Stderr)
	if d.LogFormat == "console" {
		log = log.Output(zerolog.ConsoleWriter{Out: os.Stderr})
	}
	log = log.Level(level).With().Timestamp().Str("vm", string(d.VM)).Logger()
	logStandardLines(log)
	return log
}

// logStandardLines makes the standard log package, which net/http uses, write structured lines.
func logStandardLines(log zerolog.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(logline.StdWriter{Logger: log})
}

func goVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	return info.GoVersion
}
