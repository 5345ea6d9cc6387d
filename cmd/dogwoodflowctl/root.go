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

// envPrefix is the prefix of the environment variables that set flags, as in DOGWOODFLOWCTL_URL.
const envPrefix = "DOGWOODFLOWCTL"

// adminTokenEnv is the environment variable that the daemon reads too, so that both can share one
// file of secrets.
const adminTokenEnv = "DOGWOODFLOW_ADMIN_TOKEN"

// globals holds the flags and the streams that all commands share.
type globals struct {
	url        string // comma-separated base URLs of administration ports
	trainerURL string // base URL of a trainer port, "" to use the administration port
	tokenFile  string
	caFile     string // PEM, "" for the system's authorities
	json       bool   // print results as JSON
	version    bool   // print the version and exit

	in     io.Reader
	out    io.Writer
	errOut io.Writer // messages for people, not results
}

const longHelp = `The token is the administrator's or a team's operator key. It comes from
--token-file or the environment variable ` + adminTokenEnv + `.
Every flag can be set in the environment, as in ` + envPrefix + `_URL.

Exit codes: 0 done; 1 refused or failed, nothing was changed; 2 invalid command
line; 3 a change's outcome is unknown, repeating it with its --id is safe.`

func newRoot(g *globals) *ff.Command {
	fs := ff.NewFlagSet("dogwoodflowctl")
	fs.StringVar(&g.url, 'u', "url", "http://127.0.0.1:8082", "base URL of a daemon's administration port; 'config watch' uses several, separated by commas")
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
	return g.printResult(map[string]string{"version": version}, func(t table) { t.text("dogwoodflowctl %s", version) })
}

// commandGroup returns a command that only has subcommands.
func commandGroup(name, help string, parent *ff.FlagSet, subcommands ...*ff.Command) *ff.Command {
	names := make([]string, len(subcommands))
	for i, child := range subcommands {
		names[i] = child.Name
	}
	return &ff.Command{
		Name: name, Usage: "dogwoodflowctl " + name + " " + strings.Join(names, "|") + " ...", ShortHelp: help,
		Flags: ff.NewFlagSet(name).SetParent(parent), Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("%s has no command %q", name, args[0])
			}
			return ff.ErrNoExec
		},
	}
}

// noArgs returns the Exec function of a command without arguments. It rejects arguments, so that
// a mistyped flag isn't ignored.
func noArgs(exec func(context.Context) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usagef("unexpected argument %q", args[0])
		}
		return exec(ctx)
	}
}

// client returns a client for the first daemon of --url.
func (g *globals) client() (*adminclient.Client, error) {
	token, err := g.token()
	if err != nil {
		return nil, err
	}
	return adminclient.New(g.urls()[0], token, g.caFile)
}

// urls returns the base URLs in --url. All commands except "config watch" use only the first.
func (g *globals) urls() []string {
	urls := strings.Split(g.url, ",")
	for i, u := range urls {
		urls[i] = strings.TrimSpace(u)
	}
	return urls
}

// token returns the token from --token-file or else from the environment.
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

// printResult prints a result as JSON with --json, otherwise with printTable.
func (g *globals) printResult(v any, printTable func(table)) error {
	if g.json {
		return g.printJSON(v)
	}
	w := tabwriter.NewWriter(g.out, 0, 0, 2, ' ', 0)
	printTable(table{w})
	return w.Flush()
}

// printJSON prints a value as indented JSON.
func (g *globals) printJSON(v any) error {
	enc := json.NewEncoder(g.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printJSONLine prints a value as one line of JSON, for commands that print several results.
func (g *globals) printJSONLine(v any) error { return json.NewEncoder(g.out).Encode(v) }

// table prints rows with aligned columns.
type table struct{ w *tabwriter.Writer }

// row prints one row. An empty column is printed as "-".
func (t table) row(columns ...any) {
	cells := make([]string, len(columns))
	for i, c := range columns {
		if cells[i] = fmt.Sprint(c); cells[i] == "" {
			cells[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

// text prints a line without columns.
func (t table) text(format string, args ...any) { _, _ = fmt.Fprintf(t.w, format+"\n", args...) }
