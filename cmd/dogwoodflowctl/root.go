package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
)

// envPrefix precedes a flag's name in the environment, as in DOGWOODFLOWCTL_URL.
const envPrefix = "DOGWOODFLOWCTL"

// adminTokenEnv is the daemon's own variable, so that one secret file serves both.
const adminTokenEnv = "DOGWOODFLOW_ADMIN_TOKEN"

// globals are the flags and streams of every command.
type globals struct {
	url        string
	trainerURL string
	tokenFile  string
	caFile     string
	json       bool
	version    bool

	in       io.Reader
	out      io.Writer
	progress io.Writer // for people; never part of the result
}

const longHelp = `The token is the administrator's or a team's operator key. It comes from
--token-file or the environment variable ` + adminTokenEnv + `.
Every flag can be set in the environment, as in ` + envPrefix + `_URL.

Exit codes: 0 done; 1 refused or failed, nothing was changed; 2 the command line
is wrong; 3 a change's outcome is unknown, repeating it with its --id is safe.`

func newRoot(g *globals) *ff.Command {
	fs := ff.NewFlagSet("dogwoodflowctl")
	fs.StringVar(&g.url, 'u', "url", "http://127.0.0.1:8082", "base URL of a daemon's administration port; several, separated by commas, for 'config watch' to move on")
	fs.StringVar(&g.trainerURL, 0, "trainer-url", "", "base URL of a daemon's trainer port, for 'step' with a team's key")
	fs.StringVar(&g.tokenFile, 0, "token-file", "", "file with the administrator's token or a team's key")
	fs.StringVar(&g.caFile, 0, "ca-file", "", "PEM file with the authorities to trust for https URLs (default: the system's)")
	fs.BoolVar(&g.json, 0, "json", "print JSON")
	fs.BoolVar(&g.version, 0, "version", "print the version and exit")
	return &ff.Command{
		Name:      "dogwoodflowctl",
		Usage:     "dogwoodflowctl [FLAGS] SUBCOMMAND ...",
		ShortHelp: "operates dogwoodflow daemons",
		LongHelp:  longHelp,
		Flags:     fs,
		Subcommands: []*ff.Command{
			configCommand(g, fs), jobCommand(g, fs), stepCommand(g, fs),
			upstreamsCommand(g, fs), daemonsCommand(g, fs), timelineCommand(g, fs), platformCommand(g, fs), explainCommand(g, fs), keysCommand(g, fs), versionCommand(g, fs),
		},
		Exec: func(_ context.Context, args []string) error {
			switch {
			case len(args) > 0:
				return usagef("no command %q; see dogwoodflowctl --help", args[0])
			case g.version:
				return g.printVersion()
			}
			return ff.ErrNoExec
		},
	}
}

func versionCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name: "version", Usage: "dogwoodflowctl version", ShortHelp: "prints the version",
		Flags: ff.NewFlagSet("version").SetParent(parent),
		Exec:  noArgs(func(context.Context) error { return g.printVersion() }),
	}
}

func (g *globals) printVersion() error {
	return g.show(map[string]string{"version": version}, func(t table) { t.text("dogwoodflowctl %s", version) })
}

// group is a command that only has sub-commands.
func group(name, help string, parent *ff.FlagSet, children ...*ff.Command) *ff.Command {
	names := make([]string, len(children))
	for i, child := range children {
		names[i] = child.Name
	}
	return &ff.Command{
		Name: name, Usage: "dogwoodflowctl " + name + " " + strings.Join(names, "|") + " ...", ShortHelp: help,
		Flags: ff.NewFlagSet(name).SetParent(parent), Subcommands: children,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("%s has no command %q", name, args[0])
			}
			return ff.ErrNoExec
		},
	}
}

// noArgs is for commands that take flags only: a mistyped flag must not be
// taken for nothing.
func noArgs(exec func(context.Context) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("unexpected argument %q", args[0])
		}
		return exec(ctx)
	}
}

func (g *globals) client() (*adminclient.Client, error) {
	token, err := g.token()
	if err != nil {
		return nil, err
	}
	return adminclient.New(g.urls()[0], token, g.caFile)
}

// urls lists the daemons of --url. All commands but "config watch" take the first.
func (g *globals) urls() []string {
	urls := strings.Split(g.url, ",")
	for i, u := range urls {
		urls[i] = strings.TrimSpace(u)
	}
	return urls
}

func (g *globals) token() (string, error) {
	if g.tokenFile != "" {
		data, err := os.ReadFile(g.tokenFile)
		if err != nil {
			return "", fmt.Errorf("--token-file: %w", err)
		}
		return strings.TrimSpace(string(data)), nil
	}
	if token := os.Getenv(adminTokenEnv); token != "" {
		return token, nil
	}
	return "", usagef("no token: give --token-file or set %s", adminTokenEnv)
}

// show prints a result: as JSON if that was asked for, else as a table.
func (g *globals) show(v any, human func(table)) error {
	if g.json {
		return g.printJSON(v)
	}
	w := tabwriter.NewWriter(g.out, 0, 0, 2, ' ', 0)
	human(table{w})
	return w.Flush()
}

// printJSON writes a value as indented JSON.
func (g *globals) printJSON(v any) error {
	enc := json.NewEncoder(g.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printLine writes a value as one line of JSON, for results that go on.
func (g *globals) printLine(v any) error { return json.NewEncoder(g.out).Encode(v) }

// table aligns columns.
type table struct{ w *tabwriter.Writer }

// row writes one line. Columns are as they print, an empty one as "-".
func (t table) row(columns ...any) {
	cells := make([]string, len(columns))
	for i, c := range columns {
		if cells[i] = fmt.Sprint(c); cells[i] == "" {
			cells[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

// text writes a line outside the columns.
func (t table) text(format string, args ...any) { _, _ = fmt.Fprintf(t.w, format+"\n", args...) }
