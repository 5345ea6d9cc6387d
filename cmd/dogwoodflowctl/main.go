// Command dogwoodflowctl is the operators' tool: configuration, jobs and steps,
// upstreams, daemons and the timeline.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// version is set by the linker; see the Makefile.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
