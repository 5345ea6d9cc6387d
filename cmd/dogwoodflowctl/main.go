// Command dogwoodflowctl is the command-line tool for operators. It manages configuration, jobs,
// steps and keys, and shows upstreams, daemons, the timeline and the state of daemons on the
// platform.
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
