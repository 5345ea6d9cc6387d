package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/adminclient"
)

// adminTokenEnv is the daemon's own variable, so that one secret file serves both.
const adminTokenEnv = "DOGWOODFLOW_ADMIN_TOKEN"

// globals are the flags of every command.
type globals struct {
	url       string
	tokenFile string
	json      bool
	version   bool
	out       io.Writer
}

func newRoot() *ff.Command {
	g := &globals{out: os.Stdout}
	fs := ff.NewFlagSet("dogwoodflowctl")
	fs.StringVar(&g.url, 'u', "url", "http://127.0.0.1:8082", "base URL of a daemon's administration port")
	fs.StringVar(&g.tokenFile, 0, "token-file", "", "file with the administrator's token or a team's operator key")
	fs.BoolVar(&g.json, 0, "json", "print JSON")
	fs.BoolVar(&g.version, 0, "version", "print the version and exit")
	return &ff.Command{
		Name:      "dogwoodflowctl",
		Usage:     "dogwoodflowctl [FLAGS] SUBCOMMAND ...",
		ShortHelp: "operates dogwoodflow daemons",
		LongHelp: "The token comes from --token-file or the environment variable " + adminTokenEnv + ".\n" +
			"Every flag can be set in the environment, as in " + envPrefix + "_URL.",
		Flags:       fs,
		Subcommands: []*ff.Command{configCommand(g, fs)},
		Exec: func(context.Context, []string) error {
			if !g.version {
				return ff.ErrNoExec
			}
			fmt.Fprintln(g.out, "dogwoodflowctl", version)
			return nil
		},
	}
}

func (g *globals) client() (*adminclient.Client, error) {
	token, err := g.token()
	if err != nil {
		return nil, err
	}
	return adminclient.New(g.url, token)
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
	return "", errors.New("no token: give --token-file or set " + adminTokenEnv)
}

// printJSON writes a value as indented JSON.
func (g *globals) printJSON(v any) error {
	enc := json.NewEncoder(g.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
