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
	day           = 24 * time.Hour
	authorityName = "ca" // of the authority's two files
	secretFile    = 0o600
	// maxSecretBytes bounds what "keys hash" reads.
	maxSecretBytes = 64 << 10
)

func keysCommand(g *globals, parent *ff.FlagSet) *ff.Command {
	return group("keys", "makes the keys of a small fleet; speaks to no daemon", parent,
		keysCA(g, parent), keysIssue(g, parent), keysHash(g, parent))
}

// keyFlags are those of the commands that write a pair of files.
type keyFlags struct {
	dir  string
	days int
}

func newKeyFlags(fs *ff.FlagSet, days int) *keyFlags {
	f := &keyFlags{}
	fs.StringVar(&f.dir, 'd', "dir", ".", "directory of the authority's ca.pem and ca.key, and for what is made")
	fs.IntVar(&f.days, 0, "days", days, "how many days the certificate is good")
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
	name := fs.String('n', "name", "dogwoodflow peers", "the authority's name, for people")
	flags := newKeyFlags(fs, 3650)
	return &ff.Command{
		Name: "ca", Usage: "dogwoodflowctl keys ca [--dir D] [--days N]", Flags: fs,
		ShortHelp: "makes an authority, ca.pem and ca.key; ca.pem goes to every VM, ca.key to none",
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
		ShortHelp: "makes a VM's certificate and key, VM.pem and VM.key, signed by the authority",
		LongHelp: "VM is the daemon's --vm: its peers look for that name. Further names and IP numbers\n" +
			"are of use if the HTTP ports serve the same certificate.",
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
		ShortHelp: "prints the sha256 of a secret read from the standard input, for a team's keys",
		LongHelp:  "A line end behind the secret isn't part of it.",
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
			return g.show(map[string]string{"sha256": hash}, func(t table) { t.text("%s", hash) })
		}),
	}
}

func pairFiles(dir, name string) (certificate, key string) {
	return filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
}

func readPair(dir, name string) (pair keys.KeyPair, err error) {
	certificate, key := pairFiles(dir, name)
	if pair.Certificate, err = os.ReadFile(certificate); err != nil {
		return pair, fmt.Errorf("--dir: %w", err)
	}
	if pair.Key, err = os.ReadFile(key); err != nil {
		return pair, fmt.Errorf("--dir: %w", err)
	}
	return pair, nil
}

// writePair writes both files or leaves none of its own behind.
func (g *globals) writePair(dir, name string, pair keys.KeyPair) error {
	certificate, key := pairFiles(dir, name)
	if err := writeNew(key, pair.Key); err != nil {
		return err
	}
	if err := writeNew(certificate, pair.Certificate); err != nil {
		return errors.Join(err, os.Remove(key))
	}
	return g.show(map[string]string{"certificate": certificate, "key": key}, func(t table) {
		t.text("wrote %s and %s", certificate, key)
	})
}

// writeNew never overwrites: a key that is lost can't be made again.
func writeNew(name string, data []byte) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretFile)
	if err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	_, err = file.Write(data)
	if err = errors.Join(err, file.Close()); err != nil {
		return errors.Join(fmt.Errorf("--dir: %w", err), os.Remove(name))
	}
	return nil
}
