package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/dogwoodflow/dogwoodflow/internal/keys"
)

const (
	day            = 24 * time.Hour
	authorityName  = "ca" // base name of the authority's two files
	secretFileMode = 0o600
	// maxSecretBytes is the longest input that "keys hash" accepts.
	maxSecretBytes = 64 << 10
)

func keysCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	return commandGroup("keys", "creates the keys of a small fleet; calls no daemon", parent,
		keysCA(g, parent), keysIssue(g, parent), keysHash(g, parent))
}

// keyFlags are the flags of commands that write a certificate and its key.
type keyFlags struct {
	dir  string
	days int
}

func newKeyFlags(fs *ff.FlagSet, days int) *keyFlags {
	f := &keyFlags{}
	fs.StringVar(&f.dir, 'd', "dir", ".", "directory of the authority's ca.pem and ca.key, and of the files written")
	fs.IntVar(&f.days, 0, "days", days, "number of days for which the certificate is valid")
	return f
}

func (f *keyFlags) validity() (keys.Validity, error) {
	if f.days < 1 || f.days > 100*365 {
		return keys.Validity{}, usagef("--days must be 1 to 36500")
	}
	return keys.Validity{IssuedAt: time.Now(), Duration: time.Duration(f.days) * day}, nil
}

func keysCA(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("ca").SetParent(parent)
	name := fs.String('n', "name", "dogwoodflow peers", "name of the authority, for people only")
	flags := newKeyFlags(fs, 3650)
	return &ff.Command{
		Name: "ca", Usage: "dogwoodflowctl keys ca [--dir D] [--days N]", Flags: fs,
		ShortHelp: "creates an authority, ca.pem and ca.key; copy ca.pem to every VM, ca.key to none",
		Exec: noArgs(func(context.Context) error {
			validity, err := flags.validity()
			if err != nil {
				return err
			}
			pair, err := keys.NewAuthority(*name, validity)
			if err != nil {
				return err
			}
			return g.writePair(flags.dir, authorityName, pair)
		}),
	}
}

func keysIssue(g *globals, parent *ff.FlagSet) *ff.Command {
	fs := ff.NewFlagSet("issue").SetParent(parent)
	flags := newKeyFlags(fs, 365)
	return &ff.Command{
		Name: "issue", Usage: "dogwoodflowctl keys issue [--dir D] [--days N] VM [NAME|IP ...]", Flags: fs,
		ShortHelp: "creates a VM's certificate and key, VM.pem and VM.key, signed by the authority",
		LongHelp: "VM is the daemon's --vm, the name that its peers require. Further DNS names and IP\n" +
			"addresses are needed if the HTTP ports serve the same certificate.",
		Exec: func(_ context.Context, names []string) error {
			if len(names) == 0 || names[0] != filepath.Base(names[0]) || names[0] == "." || names[0] == ".." {
				return usagef("give the VM's name first, as in: entry-1 10.0.0.1")
			}
			if names[0] == authorityName {
				return usagef("a VM called %s would have the authority's files", authorityName)
			}
			validity, err := flags.validity()
			if err != nil {
				return err
			}
			authority, err := readPair(flags.dir, authorityName)
			if err != nil {
				return err
			}
			pair, err := keys.Issue(authority, names, validity)
			if err != nil {
				return err
			}
			return g.writePair(flags.dir, names[0], pair)
		},
	}
}

func keysHash(g *globals, parent *ff.FlagSet) *ff.Command {
	return &ff.Command{
		Name: "hash", Usage: "dogwoodflowctl keys hash < FILE", Flags: ff.NewFlagSet("hash").SetParent(parent),
		ShortHelp: "prints the SHA-256 hash of a secret read from standard input, for a team's keys",
		LongHelp:  "A line break at the end of the input isn't part of the secret.",
		Exec: noArgs(func(context.Context) error {
			secret, err := io.ReadAll(io.LimitReader(g.in, maxSecretBytes+1))
			if err != nil {
				return fmt.Errorf("read the secret: %w", err)
			}
			if len(secret) > maxSecretBytes {
				return fmt.Errorf("the secret has more than %d bytes", maxSecretBytes)
			}
			hash, err := keys.Hash(secret)
			if err != nil {
				return err
			}
			return g.printResult(map[string]string{"sha256": hash}, func(t table) { t.text("%s", hash) })
		}),
	}
}

// pairPaths returns the paths of a certificate and its key.
func pairPaths(dir, name string) (certificate, key string) {
	return filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
}

func readPair(dir, name string) (pair keys.KeyPair, err error) {
	certificate, key := pairPaths(dir, name)
	if pair.Certificate, err = os.ReadFile(certificate); err != nil {
		return pair, fmt.Errorf("--dir: %w", err)
	}
	if pair.Key, err = os.ReadFile(key); err != nil {
		return pair, fmt.Errorf("--dir: %w", err)
	}
	return pair, nil
}

// writePair writes a certificate and its key, or neither of them if one can't be written.
func (g *globals) writePair(dir, name string, pair keys.KeyPair) error {
	certificate, key := pairPaths(dir, name)
	if err := writeNewFile(key, pair.Key); err != nil {
		return err
	}
	if err := writeNewFile(certificate, pair.Certificate); err != nil {
		return errors.Join(err, os.Remove(key))
	}
	return g.printResult(map[string]string{"certificate": certificate, "key": key}, func(t table) {
		t.text("wrote %s and %s", certificate, key)
	})
}

// writeNewFile creates a file. It never overwrites one, since a lost key can't be recreated.
func writeNewFile(name string, data []byte) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretFileMode)
	if err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	_, err = file.Write(data)
	if err = errors.Join(err, file.Close()); err != nil {
		return errors.Join(fmt.Errorf("--dir: %w", err), os.Remove(name))
	}
	return nil
}
