package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/standin/fault"
	"github.com/dogwoodflow/dogwoodflow/internal/standin/host"
)

// crashStatus is the exit status after a Crash fault. It is the same as that of a process
// killed by SIGKILL.
const crashStatus = 137

func listenFlag(fs *ff.FlagSet) *string {
	return fs.StringLong("listen", "127.0.0.1:0", "loopback ip:port to serve on; port 0 picks a free port and prints it")
}

// serve serves a stand-in until the context ends.
func serve(ctx context.Context, name, address string, handler http.Handler, faults *fault.Injector) error {
	server, err := host.Start(address, handler, faults)
	if err != nil {
		return err
	}
	faults.OnCrash(func() { os.Exit(crashStatus) })
	fmt.Printf("standin %s: serving on %s\n", name, server.URL)
	<-ctx.Done()
	server.Close()
	return nil
}

// parseModelVersions parses a list of models and versions such as "model=1,other=2".
func parseModelVersions(text string) (map[string]int64, error) {
	out := map[string]int64{}
	for _, part := range splitList(text) {
		name, number, found := strings.Cut(part, "=")
		version, err := strconv.ParseInt(number, 10, 64)
		if !found || err != nil || version <= 0 || name == "" {
			return nil, fmt.Errorf("models: %q isn't of the form model=version, with a positive version", part)
		}
		out[name] = version
	}
	return out, nil
}

// splitList splits a comma-separated list and drops empty items.
func splitList(text string) []string {
	var out []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
