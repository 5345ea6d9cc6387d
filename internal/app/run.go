package app

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/dogwoodflow/dogwoodflow/internal/settings"
)

// Exit codes of the daemon.
const (
	ExitOK       = 0
	ExitSettings = 2 // no port was opened
	ExitStart    = 3
	ExitCut      = 4 // a second signal, or the drain timeout, cut requests off
)

// Run starts a daemon, waits for SIGTERM or SIGINT, stops it gracefully and
// returns the exit code. A second signal ends it at once.
func Run(d *settings.Daemon, log zerolog.Logger) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var ports *Ports
	application := fx.New(Options(d, log), fx.Populate(&ports))
	if err := start(application); err != nil {
		fmt.Fprintln(os.Stderr, "dogwoodflowd:", err)
		return ExitStart
	}
	<-signals
	stopped := make(chan error, 1)
	go func() { stopped <- stop(application) }()
	select {
	case err := <-stopped:
		return exitAfter(err, ports, log)
	case <-signals:
		logCut(ports, log, "second signal")
		return ExitCut
	}
}

func start(a *fx.App) error {
	if err := a.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.StartTimeout())
	defer cancel()
	return a.Start(ctx)
}

func stop(a *fx.App) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.StopTimeout())
	defer cancel()
	return a.Stop(ctx)
}

func exitAfter(err error, ports *Ports, log zerolog.Logger) int {
	if err == nil {
		return ExitOK
	}
	logCut(ports, log, err.Error())
	return ExitCut
}

// logCut says what is cut off, port by port.
func logCut(ports *Ports, log zerolog.Logger, why string) {
	event := log.Warn().Str("why", why)
	for name, n := range ports.InFlight() {
		event = event.Int64(name+"_requests_cut", n)
	}
	event.Msg("ended with requests in flight")
}
